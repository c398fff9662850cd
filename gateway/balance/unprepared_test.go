package balance_test

import (
	"errors"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/silverdeck/silverdeck/gateway/balance"
	"github.com/silverdeck/silverdeck/roster"
)

var _ = DescribeTable("the back-off of an endpoint that lacks weights",
	func(refusals int, want time.Duration) {
		Expect(balance.UnpreparedBackoff(refusals)).To(Equal(want))
	},
	Entry("after the first refusal", 1, 60*time.Millisecond),
	Entry("doubles", 2, 120*time.Millisecond),
	Entry("up to the seventh", 7, 3840*time.Millisecond),
	Entry("is at most four seconds", 8, 4*time.Second),
	Entry("however many there were", 1000, 4*time.Second),
)

var _ = Describe("An endpoint that lacks weights", func() {
	q := balance.Query{Service: "s", Model: "m"}
	opensIn := func(b *balance.Balancer, now time.Time) time.Duration {
		_, err := b.Pick(&q, now)
		var full *balance.FullError
		Expect(errors.As(err, &full)).To(BeTrue())
		return full.OpensIn
	}

	It("gets one request once its back-off has passed, and all others once it has accepted that", func() {
		b := balancer(endpoints(1))
		one, other := pick(b, q, now), pick(b, q, now)
		one.Done(balance.Unprepared, now)
		other.Done(balance.Unprepared, at(10))
		Expect(opensIn(b, at(20))).To(Equal(40 * time.Millisecond))
		probe := pick(b, q, at(60))
		Expect(opensIn(b, at(70))).To(Equal(50 * time.Millisecond))
		probe.Done(balance.Unprepared, at(80))
		Expect(opensIn(b, at(80))).To(Equal(120 * time.Millisecond))
		probe = pick(b, q, at(200))
		probe.Accepted()
		pick(b, q, at(201))
		probe.Done(balance.Served, at(900))
		pick(b, q, at(901)).Done(balance.Unprepared, at(902))
		Expect(opensIn(b, at(902))).To(Equal(60 * time.Millisecond))
	})

	It("gets requests once its weights are known to have changed", func() {
		for name, change := range map[string]func(b *balance.Balancer){
			"by its sidecar": func(b *balance.Balancer) {
				b.ApplyAnnouncement(balance.Announcement{Addr: "e0:1", Weights: roster.Weights{Model: "m", Version: 2}})
			},
			"by its record": func(b *balance.Balancer) {
				l := endpoints(1)
				l.Endpoints["e0"].Weights[0].Version = 2
				b.Update(l)
			},
			"by its next incarnation": func(b *balance.Balancer) { b.Update(oneEndpoint(6, 1)) },
		} {
			b := balancer(oneEndpoint(5, 1))
			pick(b, q, now).Done(balance.Unprepared, now)
			b.Update(oneEndpoint(5, 1))
			Expect(opensIn(b, at(1))).To(BeNumerically(">", 0), name)
			change(b)
			pick(b, q, at(1))
		}
	})

	It("leaves requests to others", func() {
		b := balancer(endpoints(2))
		b.SetPreferred(map[string]bool{"e0": true})
		pick(b, q, now).Done(balance.Unprepared, now)
		Expect(pick(b, q, at(1)).Record.ID).To(Equal("e1"))
	})
})

var _ = It("asks an endpoint whose address another one has only at its next address", func() {
	q := balance.Query{Service: "s"}
	b := balancer(endpoints(1))
	pick(b, q, now).Done(balance.Misdirected, now)
	Expect(available(b, q, at(60_000))).To(BeFalse())
	l := endpoints(1)
	l.Endpoints["e0"].Addr = "e0:2"
	b.Update(l)
	Expect(available(b, q, at(60_001))).To(BeTrue())
})
