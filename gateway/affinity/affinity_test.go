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

// endpointsInZones returns a list with n endpoints in each of the given zones.
func endpointsInZones(n int, zones ...string) *roster.List {
	list := &roster.List{Endpoints: map[string]*roster.Endpoint{}}
	for _, zone := range zones {
		for i := range n {
			id := fmt.Sprintf("%s-%02d", zone, i)
			list.Endpoints[id] = &roster.Endpoint{ID: id, Service: "s", Zone: zone}
		}
	}
	return list
}

// gateways returns n live gateways in a zone.
func gateways(n int, zone string) []member.Entry {
	var out []member.Entry
	for i := range n {
		out = append(out, member.Entry{Name: fmt.Sprintf("%s%02d", zone, i), Zone: zone})
	}
	return out
}

// preferredBy returns the number of live gateways that prefer each endpoint.
func preferredBy(list *roster.List, live []member.Entry) map[string]int {
	out := map[string]int{}
	for _, e := range slices.Clone(live) {
		for id := range affinity.Preferred(list, live, nil, e.Name) {
			out[id]++
		}
	}
	return out
}

func TestEndpointsArePreferredByGatewaysOfTheirZone(t *testing.T) {
	g := NewWithT(t)
	list := endpointsInZones(4, "a", "b", "c")
	live := append(gateways(2, "a"), gateways(1, "b")...)
	for _, e := range slices.Clone(live) {
		for id := range affinity.Preferred(list, live, nil, e.Name) {
			if zone := list.Endpoints[id].Zone; zone != "c" {
				g.Expect(zone).To(Equal(e.Zone))
			}
		}
	}
	g.Expect(preferredBy(list, live)).To(HaveLen(12))
	g.Expect(affinity.Preferred(nil, live, nil, "a00")).To(BeEmpty())
}

// With only one preferred endpoint, or one for some gateways and two for others, gateways that
// receive more than their share of the requests send the excess to endpoints whose load they
// hardly know.
func TestEndpointsAreDealtOutEvenly(t *testing.T) {
	for _, n := range []int{1, 2, 3, 4, 12, 15, 24, 60} {
		for _, count := range []int{1, 2, 3, 5, 12, 19, 24, 30, 61} {
			g := NewWithT(t)
			list, live := endpointsInZones(n, "a"), gateways(count, "a")
			for _, e := range slices.Clone(live) {
				mine := affinity.Preferred(list, live, nil, e.Name)
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

// If there are at least minPreferred endpoints for each gateway, each endpoint is preferred by
// exactly one.
func TestEndpointsArePreferredByOneGatewayOfTheirZone(t *testing.T) {
	g := NewWithT(t)
	list := endpointsInZones(24, "a", "b", "c")
	live := append(gateways(4, "a"), gateways(3, "b")...)
	preferring := preferredBy(list, live)
	g.Expect(preferring).To(HaveLen(3 * 24))
	for id, n := range preferring {
		g.Expect(n).To(Equal(1), id)
	}
	for _, e := range slices.Clone(live) {
		own := 24 / map[string]int{"a": 4, "b": 3}[e.Zone]
		g.Expect(len(affinity.Preferred(list, live, nil, e.Name))-own).To(Or(Equal(24/7), Equal(24/7+1)), e.Name)
	}
}
