package balance_test

import (
	"errors"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/silverdeck/silverdeck/gateway/advisory"
	"github.com/silverdeck/silverdeck/gateway/balance"
	"github.com/silverdeck/silverdeck/roster"
)

// respondAt simulates a request for q sent at sentAt whose response declares limit at now.
func respondAt(b *balance.Balancer, q balance.Query, limit advisory.Limit, sentAt, now time.Time) balance.AdvisoryChange {
	l := pick(b, q, sentAt)
	defer l.Done(balance.Served, now)
	return l.ApplyAdvisory(advisory.Advisory{Limit: limit}, sentAt, now)
}

func withHeld(b *balance.Balancer, ids ...string) *balance.Balancer {
	held := map[string]bool{}
	for _, id := range ids {
		held[id] = true
	}
	b.SetHeld(held, now)
	return b
}

// acceptTimes returns the times in [from, until), in milliseconds and in steps of 10, at
// which the single endpoint accepts a request.
func acceptTimes(b *balance.Balancer, q balance.Query, from, until int) []int {
	var out []int
	for ms := from; ms < until; ms += 10 {
		if l, err := b.Pick(&q, at(ms)); err == nil {
			l.Done(balance.Served, at(ms))
			out = append(out, ms)
		}
	}
	return out
}

var _ = Describe("An endpoint with a rate limit", func() {
	q := balance.Query{Service: "s"}
	declared := advisory.PerSecond(2)

	It("receives requests from its holder at that rate", func() {
		b := withHeld(balancer(oneEndpoint(5, 1)), "e0")
		Expect(respondAt(b, q, declared, at(0), at(100)).Limit).To(Equal(balance.LimitDeclared))
		Expect(acceptTimes(b, q, 100, 2200)).To(Equal([]int{600, 1100, 1600, 2100}))
	})
	It("receives none from other gateways until the limit expires without confirmation", func() {
		b := withHeld(balancer(oneEndpoint(5, 1)))
		respondAt(b, q, declared, at(0), at(100))
		Expect(acceptTimes(b, q, 100, 6000)[0]).To(Equal(5100))
	})
	It("receives none from other gateways while its holder confirms the limit", func() {
		b := withHeld(balancer(oneEndpoint(5, 1)))
		respondAt(b, q, declared, at(0), at(100))
		record := advisory.Record{Endpoint: roster.Incarnation{ID: "e0", Born: 5}, Limit: declared, HeardAt: at(100)}
		for ms := 1000; ms < 9000; ms += 1000 {
			record.ConfirmedAt = at(ms)
			Expect(b.MergeAdvisories([]advisory.Record{record}, at(ms))).To(BeEmpty())
		}
		Expect(acceptTimes(b, q, 100, 14000)[0]).To(Equal(13000))
	})
	It("ends its limit only if the request was sent after the limit was declared", func() {
		b := withHeld(balancer(oneEndpoint(5, 1)), "e0")
		late := pick(b, q, at(0))
		Expect(respondAt(b, q, declared, at(0), at(100)).Limit).To(Equal(balance.LimitDeclared))
		Expect(late.ApplyAdvisory(advisory.Advisory{Limit: advisory.Unlimited{}}, at(0), at(200)).Limit).To(Equal(balance.LimitUnchanged))
		Expect(respondAt(b, q, advisory.Unlimited{}, at(600), at(700)).Limit).To(Equal(balance.LimitEnded))
		Expect(acceptTimes(b, q, 700, 730)).To(HaveLen(3))
	})
	It("keeps its limit if a later header cannot be parsed", func() {
		b := withHeld(balancer(oneEndpoint(5, 1)), "e0")
		respondAt(b, q, declared, at(0), at(100))
		l := pick(b, q, at(600))
		change := l.ApplyAdvisory(advisory.Advisory{Limit: advisory.Unknown{}, Unreadable: []string{"Limit: few"}}, at(600), at(700))
		Expect(change).To(Equal(balance.AdvisoryChange{Limit: balance.LimitUnchanged, FirstUnreadable: true}))
		Expect(l.ApplyAdvisory(advisory.Advisory{Unreadable: []string{"Limit: few"}}, at(600), at(700)).FirstUnreadable).To(BeFalse())
		Expect(acceptTimes(b, q, 700, 1000)).To(BeEmpty())
	})
	It("receives no fewer requests if each response declares a different limit", func() {
		b := withHeld(balancer(oneEndpoint(5, 1)), "e0")
		respondAt(b, q, declared, at(0), at(100))
		Expect(respondAt(b, q, advisory.PerSecond(4), at(600), at(800)).Limit).To(Equal(balance.LimitDeclared))
		Expect(acceptTimes(b, q, 800, 1300)).To(Equal([]int{850, 1100}))
	})
	It("reports when it accepts the next request", func() {
		b := withHeld(balancer(oneEndpoint(5, 1)), "e0")
		respondAt(b, q, declared, at(0), at(100))
		_, err := b.Pick(&q, at(300))
		var full *balance.FullError
		Expect(errors.As(err, &full)).To(BeTrue())
		Expect(full.OpensIn).To(Equal(300 * time.Millisecond))
	})
	It("reports no slots in its capacity", func() {
		b := withHeld(balancer(oneEndpoint(5, 1)), "e0")
		Expect(b.Capacities(&q, at(0))[0].Slots).To(BeNumerically(">", 0))
		respondAt(b, q, declared, at(0), at(100))
		Expect(b.Capacities(&q, at(200))).To(ConsistOf(balance.Capacity{Addr: b.Capacities(&q, at(0))[0].Addr, Zone: "a"}))
	})
	It("is not used as a last resort when ejected", func() {
		b := withHeld(balancer(oneEndpoint(5, 1)), "e0")
		l := pick(b, q, at(0))
		l.ApplyAdvisory(advisory.Advisory{Limit: declared}, at(0), at(100))
		l.Done(balance.Unreachable, at(100))
		Expect(acceptTimes(b, q, 100, 1200)).To(Equal([]int{600, 1100}))
	})
	It("keeps the limit while its record is missing, but not in a later incarnation", func() {
		b := withHeld(balancer(oneEndpoint(5, 1)), "e0")
		respondAt(b, q, declared, at(0), at(100))
		b.Update(&roster.List{})
		b.Update(oneEndpoint(5, 1))
		Expect(acceptTimes(b, q, 100, 600)).To(BeEmpty())
		b.Update(oneEndpoint(6, 1))
		Expect(acceptTimes(b, q, 600, 620)).To(HaveLen(2))
	})
	It("is advertised by the gateway that received the limit, then by the holder", func() {
		b := withHeld(balancer(oneEndpoint(5, 1)))
		respondAt(b, q, declared, at(0), at(100))
		record := advisory.Record{Endpoint: roster.Incarnation{ID: "e0", Born: 5}, Limit: declared, HeardAt: at(100)}
		Expect(b.Advisories(false, at(200))).To(ConsistOf(record))
		Expect(b.Advisories(false, at(1200))).To(BeEmpty())
		withHeld(b, "e0")
		record.ConfirmedAt = at(1300)
		Expect(b.Advisories(false, at(1300))).To(ConsistOf(record))
		Expect(b.Advisories(false, at(1500))).To(BeEmpty())
		Expect(b.Advisories(false, at(2300))).To(HaveLen(1))
	})
	It("is forwarded by a relay", func() {
		b := withHeld(balancer(oneEndpoint(5, 1)))
		record := advisory.Record{Endpoint: roster.Incarnation{ID: "e0", Born: 5}, Limit: declared, HeardAt: at(100)}
		Expect(b.MergeAdvisories([]advisory.Record{record}, at(200))).To(HaveLen(1))
		Expect(b.Advisories(false, at(200))).To(BeEmpty())
		Expect(b.Advisories(true, at(200))).To(ConsistOf(record))
	})
	It("has the limit that was received last", func() {
		b := withHeld(balancer(oneEndpoint(5, 1)))
		life := roster.Incarnation{ID: "e0", Born: 5}
		b.MergeAdvisories([]advisory.Record{{Endpoint: life, Limit: advisory.Unlimited{}, HeardAt: at(300)}}, at(300))
		Expect(b.MergeAdvisories([]advisory.Record{{Endpoint: life, Limit: declared, HeardAt: at(200)}}, at(400))).To(BeEmpty())
		Expect(b.MergeAdvisories([]advisory.Record{{Endpoint: life, Limit: declared, HeardAt: at(400)}}, at(450))).To(HaveLen(1))
		Expect(b.MergeAdvisories([]advisory.Record{{Endpoint: roster.Incarnation{ID: "e0", Born: 4}, Limit: advisory.Unlimited{}, HeardAt: at(500)}}, at(500))).To(BeEmpty(), "of another incarnation")
	})
	It("receives no extra request from a new holder", func() {
		b := withHeld(balancer(oneEndpoint(5, 1)))
		respondAt(b, q, declared, at(0), at(100))
		b.SetHeld(map[string]bool{"e0": true}, at(2000))
		Expect(acceptTimes(b, q, 2000, 3100)).To(Equal([]int{2500, 3000}))
	})
})

var _ = Describe("An endpoint that announces that it is leaving", func() {
	q := balance.Query{Service: "s"}
	leaving := advisory.Advisory{Limit: advisory.Unlimited{}, Leaving: true}

	It("receives no more requests, whatever later headers and the store's list contain", func() {
		b := balancer(oneEndpoint(5, 1))
		first, late := pick(b, q, at(0)), pick(b, q, at(0))
		Expect(first.ApplyAdvisory(leaving, at(0), at(100)).NowLeaving).To(BeTrue())
		Expect(late.ApplyAdvisory(advisory.Advisory{Limit: advisory.Unlimited{}}, at(0), at(200)).NowLeaving).To(BeFalse())
		Expect(late.ApplyAdvisory(leaving, at(0), at(200)).NowLeaving).To(BeFalse(), "already known")
		Expect(available(b, q, at(200))).To(BeFalse())
		b.Update(oneEndpoint(5, 1))
		Expect(available(b, q, at(60000))).To(BeFalse())
		b.Update(&roster.List{})
		b.Update(oneEndpoint(5, 1))
		Expect(available(b, q, at(60000))).To(BeFalse())
	})
	It("is not used as a last resort when ejected", func() {
		b := balancer(oneEndpoint(5, 1))
		l := pick(b, q, at(0))
		l.ApplyAdvisory(leaving, at(0), at(100))
		l.Done(balance.Unreachable, at(100))
		_, err := b.Pick(&q, at(200))
		Expect(err).To(Equal(&balance.NoEndpointError{Service: "s"}))
	})
	It("is reported as leaving by its leases", func() {
		b := balancer(oneEndpoint(5, 1))
		l := pick(b, q, at(0))
		Expect(l.Leaving()).To(BeFalse())
		l.ApplyAdvisory(leaving, at(0), at(100))
		Expect(l.Leaving()).To(BeTrue())
		Expect(b.Capacities(&q, at(200))).To(BeEmpty())
	})
	It("is used in its next incarnation", func() {
		b := balancer(oneEndpoint(5, 1))
		pick(b, q, at(0)).ApplyAdvisory(leaving, at(0), at(100))
		b.Update(oneEndpoint(6, 1))
		Expect(available(b, q, at(200))).To(BeTrue())
	})
	It("is avoided by gateways that receive its advisory", func() {
		b, other := balancer(oneEndpoint(5, 1)), balancer(oneEndpoint(5, 1))
		pick(b, q, at(0)).ApplyAdvisory(leaving, at(0), at(100))
		Expect(other.MergeAdvisories(b.Advisories(false, at(200)), at(200))).To(HaveLen(1))
		Expect(available(other, q, at(200))).To(BeFalse())
		Expect(b.Advisories(false, at(2000))).To(BeEmpty())
		withHeld(b, "e0")
		Expect(b.Advisories(false, at(2000))).To(HaveLen(1), "for gateways that have just started")
	})
})

var _ = Describe("An endpoint that asks for a back-off", func() {
	q := balance.Query{Service: "s"}
	backoff := func(d time.Duration) advisory.Advisory {
		return advisory.Advisory{Limit: advisory.Unlimited{}, RetryAfter: d}
	}

	It("receives no request until the latest requested back-off ends", func() {
		b := balancer(oneEndpoint(5, 1))
		l := pick(b, q, at(0))
		Expect(l.ApplyAdvisory(backoff(time.Second), at(0), at(100)).BackoffExtended).To(BeTrue())
		Expect(l.ApplyAdvisory(backoff(3*time.Second), at(0), at(200)).BackoffExtended).To(BeTrue())
		Expect(l.ApplyAdvisory(backoff(time.Second), at(0), at(300)).BackoffExtended).To(BeFalse())
		Expect(l.ApplyAdvisory(backoff(0), at(0), at(400)).BackoffExtended).To(BeFalse())
		l.Done(balance.Served, at(500))
		Expect(acceptTimes(b, q, 200, 3300)[0]).To(Equal(3200))
	})
	It("is not probed when an ejection ends before its back-off", func() {
		b := balancer(oneEndpoint(5, 1))
		l := pick(b, q, at(0))
		l.ApplyAdvisory(backoff(3*time.Second), at(0), at(100))
		l.Done(balance.Unreachable, at(100))
		Expect(acceptTimes(b, q, 100, 3200)).To(Equal([]int{3100, 3110, 3120, 3130, 3140, 3150, 3160, 3170, 3180, 3190}))
	})
	It("reports when it accepts requests again", func() {
		b := balancer(oneEndpoint(5, 1))
		pick(b, q, at(0)).ApplyAdvisory(backoff(3*time.Second), at(0), at(100))
		_, err := b.Pick(&q, at(600))
		Expect(err).To(Equal(&balance.FullError{Service: "s", OpensIn: 2500 * time.Millisecond}))
		Expect(b.Capacities(&q, at(600))[0].Usable).To(BeFalse())
	})
	It("keeps its back-off while its record is missing, but not in its next incarnation", func() {
		b := balancer(oneEndpoint(5, 1))
		pick(b, q, at(0)).ApplyAdvisory(backoff(3*time.Second), at(0), at(100))
		b.Update(&roster.List{})
		b.Update(oneEndpoint(5, 1))
		Expect(available(b, q, at(600))).To(BeFalse())
		b.Update(oneEndpoint(6, 1))
		Expect(available(b, q, at(600))).To(BeTrue())
	})
	It("is not advertised to other gateways", func() {
		b := withHeld(balancer(oneEndpoint(5, 1)), "e0")
		pick(b, q, at(0)).ApplyAdvisory(backoff(3*time.Second), at(0), at(100))
		Expect(b.Advisories(true, at(200))).To(BeEmpty())
	})
	It("leaves its rate limit to other gateways", func() {
		b := withHeld(balancer(oneEndpoint(5, 1)), "e0")
		pick(b, q, at(0)).ApplyAdvisory(advisory.Advisory{Limit: advisory.PerSecond(2), RetryAfter: 3 * time.Second}, at(0), at(100))
		granted, _ := b.Grant("g1", roster.Incarnation{ID: "e0", Born: 5}, at(1000))
		Expect(granted).To(BeTrue())
		_, err := b.Pick(&q, at(1600))
		Expect(err).To(Equal(&balance.FullError{Service: "s", OpensIn: 1500 * time.Millisecond}))
	})
})
