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

// preferences returns which gateways prefer which endpoints, as gateway and endpoint.
func preferences(list *roster.List, live []member.Entry) map[[2]string]bool {
	return preferencesBy(list, live, nil)
}

func preferencesBy(list *roster.List, live []member.Entry, weights map[string]int) map[[2]string]bool {
	out := map[[2]string]bool{}
	for _, e := range live {
		for id := range affinity.Preferred(list, slices.Clone(live), weights, e.Name) {
			out[[2]string{e.Name, id}] = true
		}
	}
	return out
}

// share returns the share of pairs that are in others.
func share(pairs, others map[[2]string]bool) float64 {
	n := 0
	for p := range pairs {
		if others[p] {
			n++
		}
	}
	return float64(n) / float64(len(pairs))
}

// A gateway knows its own requests at the endpoints that it prefers, and has connections to them. One
// that joins or goes must leave most of them to the others, and so must an endpoint.
func TestMostPreferencesStay(t *testing.T) {
	for _, x := range []struct{ gateways, endpoints int }{{13, 15}, {23, 12}, {30, 24}, {45, 13}, {40, 211}} {
		t.Run(fmt.Sprintf("%+v", x), func(t *testing.T) {
			g := NewWithT(t)
			list, live := endpointsInZones(x.endpoints, "a"), gateways(x.gateways, "a")
			before := preferences(list, live)
			const rounds = 6
			withoutGateway, withoutEndpoint := 0.0, 0.0
			for i := range rounds {
				k := i * x.gateways / rounds
				withoutGateway += share(preferences(list, slices.Delete(slices.Clone(live), k, k+1)), before) / rounds
				fewer := endpointsInZones(x.endpoints, "a")
				delete(fewer.Endpoints, fmt.Sprintf("a-%02d", i*x.endpoints/rounds))
				withoutEndpoint += share(preferences(fewer, live), before) / rounds
			}
			t.Logf("stay: %.2f with a gateway less, %.2f with an endpoint less", withoutGateway, withoutEndpoint)
			g.Expect(withoutGateway).To(BeNumerically(">=", 0.75))
			g.Expect(withoutEndpoint).To(BeNumerically(">=", 0.75))
		})
	}
}

// All gateways compute the assignment for themselves, from lists in any order.
func TestTheOrderOfGatewaysDoesNotMatter(t *testing.T) {
	g := NewWithT(t)
	list, live := endpointsInZones(12, "a"), gateways(23, "a")
	before := preferences(list, live)
	slices.Reverse(live)
	g.Expect(preferences(list, live)).To(Equal(before))
}
