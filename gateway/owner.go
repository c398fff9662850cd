package gateway

import (
	"cmp"
	"slices"

	"github.com/silverdeck/silverdeck/member"
	"github.com/silverdeck/silverdeck/roster"
)

// owned returns the endpoints that the entry named self prefers: the endpoints
// of each service and zone are dealt out to the live entries of that zone, or
// to all entries where the zone has none.
func owned(list *roster.List, live []member.Entry, self string) map[string]bool {
	out := map[string]bool{}
	if list == nil {
		return out
	}
	slices.SortFunc(live, func(a, b member.Entry) int { return cmp.Compare(a.Name, b.Name) })
	groups := map[string][]string{}
	zones := map[string]string{}
	for id, e := range list.Endpoints {
		group := e.Service + "\x00" + e.Zone
		groups[group] = append(groups[group], id)
		zones[group] = e.Zone
	}
	for group, ids := range groups {
		slices.Sort(ids)
		owners := inZone(live, zones[group])
		for i, id := range ids {
			if owners[i%len(owners)].Name == self {
				out[id] = true
			}
		}
	}
	return out
}

// inZone returns the entries of zone, or all where there are none.
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
