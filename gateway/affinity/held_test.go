package affinity_test

import (
	"fmt"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/silverdeck/silverdeck/gateway/affinity"
	"github.com/silverdeck/silverdeck/member"
	"github.com/silverdeck/silverdeck/roster"
)

// limitAwareGateways returns two limit-aware gateways in each zone; a zone is one character.
func limitAwareGateways(zones string) []member.Entry {
	var out []member.Entry
	for _, z := range zones {
		for i := range 2 {
			out = append(out, member.Entry{Name: fmt.Sprintf("g-%c-%d", z, i), Zone: string(z), Heeds: true})
		}
	}
	return out
}

// endpointsIn returns a list with n endpoints in each zone; a zone is one character.
func endpointsIn(zones string, n int) *roster.List {
	list := &roster.List{Endpoints: map[string]*roster.Endpoint{}}
	for _, z := range zones {
		for i := range n {
			id := fmt.Sprintf("e-%c-%d", z, i)
			list.Endpoints[id] = &roster.Endpoint{ID: id, Zone: string(z)}
		}
	}
	return list
}

// holders returns the names of the gateways that consider themselves the holder of each endpoint.
func holders(list *roster.List, live []member.Entry) map[string][]string {
	out := map[string][]string{}
	for _, e := range live {
		for id := range affinity.Held(list, live, e.Name) {
			out[id] = append(out[id], e.Name)
		}
	}
	return out
}

// If two gateways held an endpoint, both would send requests at its full rate limit.
func TestOneGatewayHoldsAnEndpoint(t *testing.T) {
	g := NewWithT(t)
	list, live := endpointsIn("abc", 20), limitAwareGateways("ab")
	for id, by := range holders(list, live) {
		g.Expect(by).To(HaveLen(1), id)
		if id[2] != 'c' {
			g.Expect(by[0][2]).To(Equal(id[2]), "a gateway of its zone")
		}
	}
	g.Expect(holders(list, live)).To(HaveLen(60))
	g.Expect(holders(list, nil)).To(BeEmpty())
}

// An older version that does not know rate limits must not be chosen to enforce one.
func TestGatewaysThatIgnoreLimitsHoldNoEndpoint(t *testing.T) {
	g := NewWithT(t)
	list, live := endpointsIn("a", 20), limitAwareGateways("ab")
	live[0].Heeds, live[1].Heeds = false, false
	for id, by := range holders(list, live) {
		g.Expect(by).To(HaveLen(1), id)
		g.Expect(by[0]).To(HavePrefix("g-b"))
	}
	g.Expect(holders(list, live)).To(HaveLen(20))
}

// Gateways learn of a new endpoint at different times and must agree on the holders of the others
// meanwhile.
func TestNewEndpointsDoNotChangeHolders(t *testing.T) {
	g := NewWithT(t)
	live := limitAwareGateways("a")
	few, many := holders(endpointsIn("a", 20), live), holders(endpointsIn("a", 30), live)
	for id, by := range few {
		g.Expect(many[id]).To(Equal(by))
	}
}

// Guards against work that grows with the number of availability zones: only the endpoints of the
// gateway's own zone can be assigned to it. The number of allocations stands for that of steps.
func TestEndpointsOfOtherZonesCostNoSteps(t *testing.T) {
	g := NewWithT(t)
	steps := func(zones string) float64 {
		live := limitAwareGateways(zones)
		list := &roster.List{Endpoints: map[string]*roster.Endpoint{}}
		for id, e := range endpointsIn(zones, 100).Endpoints {
			list.Endpoints[id+strings.Repeat("x", 100)] = e // hashing a long key allocates
		}
		return testing.AllocsPerRun(20, func() {
			affinity.Held(list, live, "g-a-0")
			affinity.Preferred(list, live, nil, "g-a-0")
		})
	}
	g.Expect(steps("abcdefgh")).To(BeNumerically("<", 3*steps("a")))
}
