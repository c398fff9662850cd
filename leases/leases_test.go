package leases_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/silverdeck/silverdeck/leases"
)

// newEndpoints returns n endpoints with 16 slots and inFlight requests each.
func newEndpoints(n, inFlight int) *leases.Fleet {
	out := make([]leases.Endpoint, n)
	for i := range out {
		out[i] = leases.Endpoint{VM: string(rune('a' + i)), Slots: 16, InFlight: inFlight}
	}
	return &leases.Fleet{Endpoints: out}
}

// withUnavailable marks the last n endpoints as unavailable.
func withUnavailable(n int, f *leases.Fleet) *leases.Fleet {
	for i := range n {
		f.Endpoints[len(f.Endpoints)-1-i].Unavailable = true
	}
	return f
}

// Guards against draining more endpoints at once than the remaining ones have capacity for.
func TestCanGrantLeavesCapacityForAllRequests(t *testing.T) {
	for name, c := range map[string]struct {
		endpoints *leases.Fleet
		held      []string
		want      bool
	}{
		"one of eight at low load":         {newEndpoints(8, 4), nil, true},
		"one of eight at high load":        {newEndpoints(8, 10), nil, true},
		"at the utilization limit":         {newEndpoints(4, 9), nil, true},
		"above the utilization limit":      {newEndpoints(4, 10), nil, false},
		"four of eight at low load":        {newEndpoints(8, 5), []string{"b", "c", "d"}, true},
		"three of eight at higher load":    {newEndpoints(8, 8), []string{"b", "c"}, false},
		"five of eight while idle":         {newEndpoints(8, 0), []string{"b", "c", "d", "e"}, false},
		"already holds a lease":            {newEndpoints(8, 0), []string{"a", "b", "c", "d"}, true},
		"half unavailable without a lease": {withUnavailable(4, newEndpoints(8, 0)), nil, false},
		"three unavailable, the rest idle": {withUnavailable(3, newEndpoints(8, 0)), nil, true},
		"only endpoint":                    {newEndpoints(1, 0), nil, false},
		"no endpoints known":               {&leases.Fleet{}, nil, true},
	} {
		t.Run(name, func(t *testing.T) {
			held := map[string]bool{}
			for _, addr := range c.held {
				held[addr] = true
			}
			NewWithT(t).Expect(leases.CanGrant(c.endpoints, held, "a")).To(Equal(c.want))
		})
	}
}

func TestCanGrantLaterIgnoresUnavailability(t *testing.T) {
	g := NewWithT(t)
	g.Expect(leases.CanGrantLater(withUnavailable(4, newEndpoints(8, 4)), "a")).To(BeTrue())
	g.Expect(leases.CanGrantLater(newEndpoints(4, 9), "a")).To(BeTrue())
	g.Expect(leases.CanGrantLater(newEndpoints(4, 10), "a")).To(BeFalse(), "the other endpoints lack capacity")
	g.Expect(leases.CanGrantLater(newEndpoints(1, 1), "a")).To(BeFalse(), "there is no other endpoint")
}

func TestLeaseEndsOnReleaseOrExpiry(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	endpoints := newEndpoints(2, 0)
	table := leases.NewTable()
	g.Expect(table.Acquire("s", "a", endpoints, time.Second, now)).To(BeTrue())
	g.Expect(table.Acquire("s", "b", endpoints, time.Second, now)).To(BeFalse())
	g.Expect(table.Acquire("t", "b", endpoints, time.Second, now)).To(BeTrue(), "lease of another service")
	table.Release("a")
	g.Expect(table.Acquire("s", "b", endpoints, time.Second, now)).To(BeTrue())
	g.Expect(table.Acquire("s", "a", endpoints, time.Second, now.Add(999*time.Millisecond))).To(BeFalse())
	g.Expect(table.Acquire("s", "a", endpoints, time.Second, now.Add(time.Second))).To(BeTrue())
}

// Guards against a request rate at the owner that grows with the number of endpoints.
func TestRetryAfterLimitsRequestsToTwoHundredPerSecond(t *testing.T) {
	g := NewWithT(t)
	for _, n := range []int{0, 8, 20, 120, 1900} {
		rate := float64(n) / leases.RetryAfter(n).Seconds()
		g.Expect(rate).To(BeNumerically("<=", 200.1))
	}
	g.Expect(leases.RetryAfter(0)).To(Equal(100 * time.Millisecond))
}

func TestOwnerIsIndependentOfGatewayOrder(t *testing.T) {
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
