// Package affinity assigns the endpoints of each service to the gateways. Each gateway prefers
// the endpoints that are assigned to it, so that few gateways choose the same endpoint at the
// same moment. All gateways compute the same assignment from the same lists.
package affinity

import (
	"cmp"
	"slices"

	"github.com/silverdeck/silverdeck/member"
	"github.com/silverdeck/silverdeck/roster"
)

// Numbers of endpoints per service that a gateway prefers, as far as its zone has that many.
const (
	// minPreferred is the minimum of a gateway that receives as many requests as others of its
	// zone. With few endpoints, several gateways share each of them.
	minPreferred = 3
	// fewestPreferred is the minimum of any gateway. With a single preferred endpoint, it would
	// send what exceeds its share to endpoints whose load it hardly knows.
	fewestPreferred = 2
)

// Preferred returns the IDs of the endpoints that the gateway named self prefers. The endpoints
// of each service and zone are assigned to the live gateways of that zone, or to all gateways
// if the zone has none. Each endpoint is preferred by as many gateways as others, or one more,
// and few assignments change with one gateway or endpoint. weights are the weights of gateways by
// name, those of weight 0 may be left out; a gateway that receives more requests prefers more
// endpoints. Preferred sorts live.
func Preferred(list *roster.List, live []member.Entry, weights map[string]int, self string) map[string]bool {
	out := map[string]bool{}
	if list == nil {
		return out
	}
	slices.SortFunc(live, func(a, b member.Entry) int { return cmp.Compare(a.Name, b.Name) })
	for g, ids := range byServiceZone(list) {
		near := zoneOrAll(live, g.zone)
		i := slices.IndexFunc(near, func(e member.Entry) bool { return e.Name == self })
		if i < 0 {
			continue
		}
		for _, endpoint := range assign(ids, weighted(near, weights))[i] {
			out[ids[endpoint]] = true
		}
	}
	return out
}

func weighted(entries []member.Entry, weights map[string]int) []gateway {
	out := make([]gateway, 0, len(entries))
	for _, e := range entries {
		out = append(out, gateway{name: e.Name, rate: rateOf(weights[e.Name])})
	}
	return out
}

// serviceZone identifies the endpoints that are assigned together.
type serviceZone struct {
	service, zone string
}

// zoneOrAll returns the gateways of a zone, or all gateways if it has none.
func zoneOrAll(live []member.Entry, zone string) []member.Entry {
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
