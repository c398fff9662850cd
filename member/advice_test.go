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

// advised is an endpoint that tells of itself in its answers.
var advised = &roster.List{Endpoints: map[string]*roster.Endpoint{"e": {ID: "e", Service: "s", Addr: "e", Slots: 4}}}

// answer lets a gateway have an answer of the endpoint.
func (n *node) answer(f *fleet, a advisory.Advisory) {
	lease, err := n.balancer.Pick(&balance.Query{Service: "s"}, time.Now())
	f.Expect(err).NotTo(HaveOccurred())
	lease.ApplyAdvisory(a, time.Now(), time.Now())
	lease.Done(balance.Served, time.Now())
}

// takes returns how many of nodes send the endpoint requests.
func takes(nodes []*node) int {
	count := 0
	for _, n := range nodes {
		if lease, err := n.balancer.Pick(&balance.Query{Service: "s"}, time.Now()); err == nil {
			lease.Done(balance.Neutral, time.Now())
			count++
		}
	}
	return count
}

// Gateways that have not heard of a limit send on, and the more there are the more.
func TestALimitIsKnownByAllSoon(t *testing.T) {
	for _, c := range spreads {
		t.Run(fmt.Sprintf("%d gateways, loss %g", c.size, c.loss), func(t *testing.T) {
			playFleet(t, c.size, func(f *fleet, nodes []*node) {
				holder := nodes[0]
				holder.balancer.SetHeld(map[string]bool{"e": true}, time.Now())
				f.mu.Lock()
				f.loss = c.loss
				f.mu.Unlock()
				nodes[c.size-1].answer(f, advisory.Advisory{Limit: advisory.PerSecond(1)})
				time.Sleep(c.within)
				f.Expect(takes(nodes)).To(BeZero())
				time.Sleep(10 * time.Second)
				f.Expect(takes(nodes[1:])).To(BeZero(), "who holds the endpoint confirms it")
				holder.answer(f, advisory.Advisory{Limit: advisory.Unlimited{}})
				time.Sleep(c.within)
				f.Expect(takes(nodes)).To(Equal(c.size))
			})
		})
	}
}

// A gateway that has just started knows nothing of limits.
func TestWhoStartsIsToldOfLimits(t *testing.T) {
	for _, size := range []int{6, 39} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			playFleet(t, size, func(f *fleet, nodes []*node) {
				nodes[0].balancer.SetHeld(map[string]bool{"e": true}, time.Now())
				nodes[0].answer(f, advisory.Advisory{Limit: advisory.PerSecond(1)})
				time.Sleep(5 * time.Second)
				f.kill(size - 1)
				time.Sleep(time.Second)
				f.mu.Lock()
				f.cut = nil
				f.mu.Unlock()
				again := f.start(size-1, 2, size, nil)
				f.Expect(takes([]*node{again})).To(Equal(1))
				time.Sleep(2 * time.Second)
				f.Expect(takes([]*node{again})).To(BeZero())
			})
		})
	}
}

// What no endpoint says must cost nothing.
func TestNothingIsToldWhileNoEndpointNamesALimit(t *testing.T) {
	playFleet(t, 6, func(f *fleet, nodes []*node) {
		nodes[0].answer(f, advisory.Advisory{Limit: advisory.Unlimited{}})
		f.Expect(nodes[0].describe().Advice).To(BeEmpty())
	})
}
