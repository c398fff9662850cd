package member_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/silverdeck/silverdeck/gateway/advisory"
	"github.com/silverdeck/silverdeck/gateway/balance"
	"github.com/silverdeck/silverdeck/roster"
)

// advisingEndpoint is a roster whose endpoint states limits in its responses.
var advisingEndpoint = &roster.List{Endpoints: map[string]*roster.Endpoint{"e": {ID: "e", Service: "s", Addr: "e", Slots: 4}}}

// receiveAnswer makes the gateway receive a response with advice from the endpoint.
func (n *node) receiveAnswer(f *fleet, a advisory.Advisory) {
	lease, err := n.balancer.Pick(&balance.Query{Service: "s"}, time.Now())
	f.Expect(err).NotTo(HaveOccurred())
	lease.ApplyAdvisory(a, time.Now(), time.Now())
	lease.Done(balance.Served, time.Now())
}

// countSending returns how many of nodes send requests to the endpoint.
func countSending(nodes []*node) int {
	count := 0
	for _, n := range nodes {
		if lease, err := n.balancer.Pick(&balance.Query{Service: "s"}, time.Now()); err == nil {
			lease.Done(balance.Neutral, time.Now())
			count++
		}
	}
	return count
}

// Gateways that have not learned of a limit keep sending, so a slow spread costs more in a
// larger fleet.
func TestALimitIsKnownByAllSoon(t *testing.T) {
	for _, c := range propagationCases {
		t.Run(fmt.Sprintf("%d gateways, loss %g", c.size, c.loss), func(t *testing.T) {
			runFleet(t, c.size, func(f *fleet, nodes []*node) {
				holder := nodes[0]
				holder.balancer.SetHeld(map[string]bool{"e": true}, time.Now())
				f.mu.Lock()
				f.loss = c.loss
				f.mu.Unlock()
				nodes[c.size-1].receiveAnswer(f, advisory.Advisory{Limit: advisory.PerSecond(1)})
				time.Sleep(c.within)
				f.Expect(countSending(nodes)).To(BeZero())
				time.Sleep(10 * time.Second)
				f.Expect(countSending(nodes[1:])).To(BeZero(), "the holder of the endpoint confirms the limit")
				holder.receiveAnswer(f, advisory.Advisory{Limit: advisory.Unlimited{}})
				time.Sleep(c.within)
				f.Expect(countSending(nodes)).To(Equal(c.size))
			})
		})
	}
}

// A gateway that has just started knows no limits and must learn them from others.
func TestWhoStartsIsToldOfLimits(t *testing.T) {
	for _, size := range []int{6, 39} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			runFleet(t, size, func(f *fleet, nodes []*node) {
				nodes[0].balancer.SetHeld(map[string]bool{"e": true}, time.Now())
				nodes[0].receiveAnswer(f, advisory.Advisory{Limit: advisory.PerSecond(1)})
				time.Sleep(5 * time.Second)
				f.kill(size - 1)
				time.Sleep(time.Second)
				f.mu.Lock()
				f.blocked = nil
				f.mu.Unlock()
				again := f.start(size-1, 2, size, nil)
				f.Expect(countSending([]*node{again})).To(Equal(1))
				time.Sleep(2 * time.Second)
				f.Expect(countSending([]*node{again})).To(BeZero())
			})
		})
	}
}

// Heartbeats carry no advice while no endpoint states a limit.
func TestNothingIsToldWhileNoEndpointNamesALimit(t *testing.T) {
	runFleet(t, 6, func(f *fleet, nodes []*node) {
		nodes[0].receiveAnswer(f, advisory.Advisory{Limit: advisory.Unlimited{}})
		f.Expect(nodes[0].describe().Advice).To(BeEmpty())
	})
}
