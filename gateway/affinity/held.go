package affinity

import (
	"github.com/silverdeck/silverdeck/member"
	"github.com/silverdeck/silverdeck/rendezvous"
	"github.com/silverdeck/silverdeck/roster"
)

// Held returns the endpoints that the gateway named self holds, by ID: it alone sends requests
// there while they name a limit. Each is held by one of the live gateways of its zone that keep
// to limits, or of all such gateways where the zone has none. Which one follows from its ID and
// who is alive, not from the other endpoints: gateways whose lists differ for a while still
// choose the same.
func Held(list *roster.List, live []member.Entry, self string) map[string]bool {
	out := map[string]bool{}
	if list == nil {
		return out
	}
	zones := map[string][]string{}
	for id, e := range list.Endpoints {
		near, known := zones[e.Zone]
		if !known {
			near = names(inZone(heeding(live), e.Zone))
			zones[e.Zone] = near
		}
		if rendezvous.Choose(id, near) == self {
			out[id] = true
		}
	}
	return out
}

// Holder returns the gateway that holds an endpoint, or false where none does.
func Holder(e *roster.Endpoint, live []member.Entry) (member.Entry, bool) {
	near := inZone(heeding(live), e.Zone)
	chosen := rendezvous.Choose(e.ID, names(near))
	for _, m := range near {
		if m.Name == chosen {
			return m, true
		}
	}
	return member.Entry{}, false
}

// heeding returns the gateways that keep to what endpoints say in answers.
func heeding(live []member.Entry) []member.Entry {
	var out []member.Entry
	for _, e := range live {
		if e.Heeds {
			out = append(out, e)
		}
	}
	return out
}

func names(entries []member.Entry) []string {
	out := make([]string, 0, len(entries))
	for _, e := range entries {
		out = append(out, e.Name)
	}
	return out
}
