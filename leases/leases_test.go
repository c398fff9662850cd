package leases_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/silverdeck/silverdeck/leases"
)

// fleet returns n endpoints with 16 slots and so many requests each.
func fleet(n, inFlight int) []leases.Endpoint {
	out := make([]leases.Endpoint, n)
	for i := range out {
		out[i] = leases.Endpoint{VM: string(rune('a' + i)), Slots: 16, InFlight: inFlight}
	}
	return out
}

// away marks the first n of the endpoints as such that take no requests.
func away(n int, endpoints []leases.Endpoint) []leases.Endpoint {
	for i := range n {
		endpoints[len(endpoints)-1-i].Away = true
	}
	return endpoints
}

// Guards against more endpoints that drain at once than the rest can carry.
func TestAsManyDrainAsTheRestCanCarry(t *testing.T) {
	for name, c := range map[string]struct {
		endpoints []leases.Endpoint
		held      []string
		want      bool
	}{
		"one of eight with little work":          {fleet(8, 4), nil, true},
		"one of eight with much":                 {fleet(8, 10), nil, true},
		"at the bound":                           {fleet(4, 9), nil, true},
		"beyond it":                              {fleet(4, 10), nil, false},
		"a fourth where work is little":          {fleet(8, 5), []string{"b", "c", "d"}, true},
		"a third where work is more":             {fleet(8, 8), []string{"b", "c"}, false},
		"not more than half, however idle":       {fleet(8, 0), []string{"b", "c", "d", "e"}, false},
		"one that has a lease":                   {fleet(8, 0), []string{"a", "b", "c", "d"}, true},
		"others are away without a lease":        {away(4, fleet(8, 0)), nil, false},
		"others are away, and the rest are idle": {away(3, fleet(8, 0)), nil, true},
		"it is the only one":                     {fleet(1, 0), nil, false},
		"nothing is known":                       {nil, nil, true},
	} {
		t.Run(name, func(t *testing.T) {
			held := map[string]bool{}
			for _, addr := range c.held {
				held[addr] = true
			}
			NewWithT(t).Expect(leases.Grants(c.endpoints, held, "a")).To(Equal(c.want))
		})
	}
}

func TestALeaseComesWhereThereIsRoomButForThoseThatAreAway(t *testing.T) {
	g := NewWithT(t)
	g.Expect(leases.Comes(away(4, fleet(8, 4)), "a")).To(BeTrue())
	g.Expect(leases.Comes(fleet(4, 9), "a")).To(BeTrue())
	g.Expect(leases.Comes(fleet(4, 10), "a")).To(BeFalse(), "the others are too full")
	g.Expect(leases.Comes(fleet(1, 1), "a")).To(BeFalse(), "there is no other")
}

func TestALeaseEndsWithTheLoadOrRunsOut(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	endpoints := fleet(2, 0)
	table := leases.NewTable()
	g.Expect(table.Begin("s", "a", endpoints, time.Second, now)).To(BeTrue())
	g.Expect(table.Begin("s", "b", endpoints, time.Second, now)).To(BeFalse())
	g.Expect(table.Begin("t", "b", endpoints, time.Second, now)).To(BeTrue(), "of another service")
	table.End("a")
	g.Expect(table.Begin("s", "b", endpoints, time.Second, now)).To(BeTrue())
	g.Expect(table.Begin("s", "a", endpoints, time.Second, now.Add(999*time.Millisecond))).To(BeFalse())
	g.Expect(table.Begin("s", "a", endpoints, time.Second, now.Add(time.Second))).To(BeTrue())
}

// Guards against an owner that is asked the more often the more endpoints there are.
func TestTheOwnerIsAskedTwoHundredTimesASecondAtTheMost(t *testing.T) {
	g := NewWithT(t)
	for _, n := range []int{0, 8, 20, 120, 1900} {
		asked := float64(n) / leases.Again(n).Seconds()
		g.Expect(asked).To(BeNumerically("<=", 200.1))
	}
	g.Expect(leases.Again(0)).To(Equal(100 * time.Millisecond))
}

func TestOneGatewayOwnsTheLeasesOfAService(t *testing.T) {
	g := NewWithT(t)
	gateways := []string{"g1:1", "g2:1", "g3:1"}
	owner := leases.Owner("s", gateways)
	g.Expect(gateways).To(ContainElement(owner))
	g.Expect(leases.Owner("s", []string{"g3:1", "g1:1", "g2:1"})).To(Equal(owner))
	g.Expect(leases.Owner("s", nil)).To(BeEmpty())
	owners := map[string]bool{}
	for _, service := range []string{"s", "t", "u", "v", "w", "x", "y", "z"} {
		owners[leases.Owner(service, gateways)] = true
	}
	g.Expect(len(owners)).To(BeNumerically(">", 1))
}
