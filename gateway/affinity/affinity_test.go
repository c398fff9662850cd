package affinity_test

import (
	"fmt"
	"slices"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/silverdeck/silverdeck/gateway/affinity"
	"github.com/silverdeck/silverdeck/member"
	"github.com/silverdeck/silverdeck/roster"
)

// zones returns a list of n endpoints in each of zones.
func zones(n int, zones ...string) *roster.List {
	list := &roster.List{Endpoints: map[string]*roster.Endpoint{}}
	for _, zone := range zones {
		for i := range n {
			id := fmt.Sprintf("%s-%02d", zone, i)
			list.Endpoints[id] = &roster.Endpoint{ID: id, Service: "s", Zone: zone}
		}
	}
	return list
}

// gateways returns n live gateways of zone.
func gateways(n int, zone string) []member.Entry {
	var out []member.Entry
	for i := range n {
		out = append(out, member.Entry{Name: fmt.Sprintf("%s%02d", zone, i), Zone: zone})
	}
	return out
}

// preferredBy returns how many of live prefer each endpoint of list.
func preferredBy(list *roster.List, live []member.Entry) map[string]int {
	out := map[string]int{}
	for _, e := range slices.Clone(live) {
		for id := range affinity.Preferred(list, live, e.Name) {
			out[id]++
		}
	}
	return out
}

func TestAZonesEndpointsArePreferredByItsGateways(t *testing.T) {
	g := NewWithT(t)
	list := zones(4, "a", "b", "c")
	live := append(gateways(2, "a"), gateways(1, "b")...)
	for _, e := range slices.Clone(live) {
		for id := range affinity.Preferred(list, live, e.Name) {
			if zone := list.Endpoints[id].Zone; zone != "c" {
				g.Expect(zone).To(Equal(e.Zone))
			}
		}
	}
	g.Expect(preferredBy(list, live)).To(HaveLen(12))
	g.Expect(affinity.Preferred(nil, live, "a00")).To(BeEmpty())
}

// With one endpoint for each gateway, or one for some and two for others, those who had
// more than their part of the requests sent them on to endpoints of which they knew little.
func TestEndpointsAreDealtOutEvenly(t *testing.T) {
	for _, n := range []int{1, 2, 3, 4, 12, 15, 24, 60} {
		for _, count := range []int{1, 2, 3, 5, 12, 19, 24, 30, 61} {
			g := NewWithT(t)
			list, live := zones(n, "a"), gateways(count, "a")
			for _, e := range slices.Clone(live) {
				mine := affinity.Preferred(list, live, e.Name)
				g.Expect(len(mine)).To(BeNumerically(">=", min(3, n)), "%d endpoints, %d gateways", n, count)
				g.Expect(len(mine)).To(BeNumerically("<=", max(3, n/count+1)), "%d endpoints, %d gateways", n, count)
			}
			var by []int
			for _, m := range preferredBy(list, live) {
				by = append(by, m)
			}
			g.Expect(by).To(HaveLen(n))
			g.Expect(slices.Max(by)-slices.Min(by)).To(BeNumerically("<=", 1), "%d endpoints, %d gateways", n, count)
		}
	}
}

// Where there are endpoints enough for all gateways, each has one that prefers it.
func TestEveryEndpointHasOneOwnerOfItsZone(t *testing.T) {
	g := NewWithT(t)
	list := zones(24, "a", "b", "c")
	live := append(gateways(4, "a"), gateways(3, "b")...)
	owners := preferredBy(list, live)
	g.Expect(owners).To(HaveLen(3 * 24))
	for id, n := range owners {
		g.Expect(n).To(Equal(1), id)
	}
	g.Expect(affinity.Preferred(list, live, "a00")).To(HaveLen(24/4 + 4))
}
