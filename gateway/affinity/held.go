package affinity

import (
	"slices"

	"github.com/silverdeck/silverdeck/member"
	"github.com/silverdeck/silverdeck/rendezvous"
	"github.com/silverdeck/silverdeck/roster"
)

// Held returns the IDs of the endpoints whose holder is the gateway named self. While an
// endpoint announces a rate limit, only its holder sends requests there. The holder is one of
// the live limit-aware gateways of the endpoint's zone, or of all zones if that zone has none.
// It depends only on the endpoint's ID and the live gateways, not on the other endpoints, so
// that gateways whose endpoint lists differ for a while still agree.
func Held(list *roster.List, live []member.Entry, self string) map[string]bool {
	out := map[string]bool{}
	if list == nil {
		return out
	}
	zones := map[string][]string{}
	for id, e := range list.Endpoints {
		near, known := zones[e.Zone]
		if !known {
			near = names(zoneOrAll(limitAware(live), e.Zone))
			if !slices.Contains(near, self) {
				near = nil // the holders of the zone's endpoints are other gateways
			}
			zones[e.Zone] = near
		}
		if len(near) > 0 && rendezvous.Choose(id, near) == self {
			out[id] = true
		}
	}
	return out
}

// Holder returns the gateway that holds an endpoint, or false if there is none.
func Holder(e *roster.Endpoint, live []member.Entry) (member.Entry, bool) {
	near := zoneOrAll(limitAware(live), e.Zone)
	chosen := rendezvous.Choose(e.ID, names(near))
	for _, m := range near {
		if m.Name == chosen {
			return m, true
		}
	}
	return member.Entry{}, false
}

// limitAware returns the gateways that respect the limits which endpoints announce in responses.
func limitAware(live []member.Entry) []member.Entry {
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
