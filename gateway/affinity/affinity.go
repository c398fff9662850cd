// Package affinity deals the endpoints of each service out to the gateways, so that
// each gateway has some that it prefers and two seldom choose the same one at the
// same moment. All gateways come to the same result from the same lists.
package affinity

import (
	"cmp"
	"slices"

	"github.com/silverdeck/silverdeck/member"
	"github.com/silverdeck/silverdeck/roster"
)

// Preferred returns the endpoints that the gateway named self prefers, by ID: the
// endpoints of each service and zone are dealt out to the live gateways of that
// zone, or to all gateways where the zone has none. It sorts live.
func Preferred(list *roster.List, live []member.Entry, self string) map[string]bool {
	out := map[string]bool{}
	if list == nil {
		return out
	}
	slices.SortFunc(live, func(a, b member.Entry) int { return cmp.Compare(a.Name, b.Name) })
	groups := map[group][]string{}
	for id, e := range list.Endpoints {
		g := group{service: e.Service, zone: e.Zone}
		groups[g] = append(groups[g], id)
	}
	for g, ids := range groups {
		slices.Sort(ids)
		near := inZone(live, g.zone)
		for i, id := range ids {
			if near[i%len(near)].Name == self {
				out[id] = true
			}
		}
	}
	return out
}

// group is the endpoints that are dealt out together.
type group struct {
	service, zone string
}

// inZone returns the gateways of zone, or all where there are none.
func inZone(live []member.Entry, zone string) []member.Entry {
	var out []member.Entry
	for _, e := range live {
		if e.Zone == zone {
			out = append(out, e)
		}
	}
	if len(out) == 0 {
		return live
	}
	return out
}
