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

// answerAt lets the endpoint of q answer a request that was sent and answered at such times.
func answerAt(b *balance.Balancer, q balance.Query, limit advisory.Limit, sentAt, now time.Time) balance.Heard {
	l := pick(b, q, sentAt)
	defer l.Done(balance.Served, now)
	return l.Hear(advisory.Advisory{Limit: limit}, sentAt, now)
}

func holding(b *balance.Balancer, ids ...string) *balance.Balancer {
	held := map[string]bool{}
	for _, id := range ids {
		held[id] = true
	}
	b.Hold(held, now)
	return b
}

// openEvery returns the times, in milliseconds of so long, at which the one endpoint takes a
// request.
func openEvery(b *balance.Balancer, q balance.Query, from, until int) []int {
	var out []int
	for ms := from; ms < until; ms += 10 {
		if l, err := b.Pick(&q, at(ms)); err == nil {
			l.Done(balance.Served, at(ms))
			out = append(out, ms)
		}
	}
	return out
}

var _ = Describe("An endpoint that names a limit", func() {
	q := balance.Query{Service: "s"}
	named := advisory.PerSecond(2)

	It("gets one request after the other at that rate of the gateway that holds it", func() {
		b := holding(balancer(lives(5, 1)), "e0")
		Expect(answerAt(b, q, named, at(0), at(100)).Limit).To(Equal(balance.LimitNamed))
		Expect(openEvery(b, q, 100, 2200)).To(Equal([]int{600, 1100, 1600, 2100}))
	})
	It("gets none of any other gateway until it is told for long that it does", func() {
		b := holding(balancer(lives(5, 1)))
		answerAt(b, q, named, at(0), at(100))
		Expect(openEvery(b, q, 100, 6000)[0]).To(Equal(5100))
	})
	It("gets none of any other for as long as its holder confirms it", func() {
		b := holding(balancer(lives(5, 1)))
		answerAt(b, q, named, at(0), at(100))
		record := advisory.Record{Endpoint: roster.Life{ID: "e0", Born: 5}, Limit: named, HeardAt: at(100)}
		for ms := 1000; ms < 9000; ms += 1000 {
			record.ConfirmedAt = at(ms)
			Expect(b.Learn([]advisory.Record{record}, at(ms))).To(BeEmpty())
		}
		Expect(openEvery(b, q, 100, 14000)[0]).To(Equal(13000))
	})
	It("names none any more only where the request was sent after it did", func() {
		b := holding(balancer(lives(5, 1)), "e0")
		late := pick(b, q, at(0))
		Expect(answerAt(b, q, named, at(0), at(100)).Limit).To(Equal(balance.LimitNamed))
		Expect(late.Hear(advisory.Advisory{Limit: advisory.Unlimited{}}, at(0), at(200)).Limit).To(Equal(balance.LimitSame))
		Expect(answerAt(b, q, advisory.Unlimited{}, at(600), at(700)).Limit).To(Equal(balance.LimitEnded))
		Expect(openEvery(b, q, 700, 730)).To(HaveLen(3))
	})
	It("is not unlimited for what can't be read", func() {
		b := holding(balancer(lives(5, 1)), "e0")
		answerAt(b, q, named, at(0), at(100))
		l := pick(b, q, at(600))
		heard := l.Hear(advisory.Advisory{Limit: advisory.Unknown{}, Unreadable: []string{"Limit: few"}}, at(600), at(700))
		Expect(heard).To(Equal(balance.Heard{Limit: balance.LimitSame, FirstUnreadable: true}))
		Expect(l.Hear(advisory.Advisory{Unreadable: []string{"Limit: few"}}, at(600), at(700)).FirstUnreadable).To(BeFalse())
		Expect(openEvery(b, q, 700, 1000)).To(BeEmpty())
	})
	It("gets no fewer where each answer names another limit", func() {
		b := holding(balancer(lives(5, 1)), "e0")
		answerAt(b, q, named, at(0), at(100))
		Expect(answerAt(b, q, advisory.PerSecond(4), at(600), at(800)).Limit).To(Equal(balance.LimitNamed))
		Expect(openEvery(b, q, 800, 1300)).To(Equal([]int{850, 1100}))
	})
	It("says when it takes the next one", func() {
		b := holding(balancer(lives(5, 1)), "e0")
		answerAt(b, q, named, at(0), at(100))
		_, err := b.Pick(&q, at(300))
		var full *balance.FullError
		Expect(errors.As(err, &full)).To(BeTrue())
		Expect(full.OpensIn).To(Equal(300 * time.Millisecond))
	})
	It("has no slots for those who reckon with them", func() {
		b := holding(balancer(lives(5, 1)), "e0")
		Expect(b.Places(&q, at(0))[0].Slots).To(BeNumerically(">", 0))
		answerAt(b, q, named, at(0), at(100))
		Expect(b.Places(&q, at(200))).To(ConsistOf(balance.Place{Addr: b.Places(&q, at(0))[0].Addr}))
	})
	It("is no last resort where it is ejected", func() {
		b := holding(balancer(lives(5, 1)), "e0")
		l := pick(b, q, at(0))
		l.Hear(advisory.Advisory{Limit: named}, at(0), at(100))
		l.Done(balance.Unreachable, at(100))
		Expect(openEvery(b, q, 100, 1200)).To(Equal([]int{600, 1100}))
	})
	It("keeps it while its record is away, and in no later life", func() {
		b := holding(balancer(lives(5, 1)), "e0")
		answerAt(b, q, named, at(0), at(100))
		b.Update(&roster.List{})
		b.Update(lives(5, 1))
		Expect(openEvery(b, q, 100, 600)).To(BeEmpty())
		b.Update(lives(6, 1))
		Expect(openEvery(b, q, 600, 620)).To(HaveLen(2))
	})
	It("is told to others by who heard it, then by who holds it", func() {
		b := holding(balancer(lives(5, 1)))
		answerAt(b, q, named, at(0), at(100))
		record := advisory.Record{Endpoint: roster.Life{ID: "e0", Born: 5}, Limit: named, HeardAt: at(100)}
		Expect(b.Advisories(false, at(200))).To(ConsistOf(record))
		Expect(b.Advisories(false, at(1200))).To(BeEmpty())
		holding(b, "e0")
		record.ConfirmedAt = at(1300)
		Expect(b.Advisories(false, at(1300))).To(ConsistOf(record))
		Expect(b.Advisories(false, at(1500))).To(BeEmpty())
		Expect(b.Advisories(false, at(2300))).To(HaveLen(1))
	})
	It("is passed on by a relay", func() {
		b := holding(balancer(lives(5, 1)))
		record := advisory.Record{Endpoint: roster.Life{ID: "e0", Born: 5}, Limit: named, HeardAt: at(100)}
		Expect(b.Learn([]advisory.Record{record}, at(200))).To(HaveLen(1))
		Expect(b.Advisories(false, at(200))).To(BeEmpty())
		Expect(b.Advisories(true, at(200))).To(ConsistOf(record))
	})
	It("is what was heard last", func() {
		b := holding(balancer(lives(5, 1)))
		life := roster.Life{ID: "e0", Born: 5}
		b.Learn([]advisory.Record{{Endpoint: life, Limit: advisory.Unlimited{}, HeardAt: at(300)}}, at(300))
		Expect(b.Learn([]advisory.Record{{Endpoint: life, Limit: named, HeardAt: at(200)}}, at(400))).To(BeEmpty())
		Expect(b.Learn([]advisory.Record{{Endpoint: life, Limit: named, HeardAt: at(400)}}, at(450))).To(HaveLen(1))
		Expect(b.Learn([]advisory.Record{{Endpoint: roster.Life{ID: "e0", Born: 4}, Limit: advisory.Unlimited{}, HeardAt: at(500)}}, at(500))).To(BeEmpty(), "of another life")
	})
	It("does not get a request more from who begins to hold it", func() {
		b := holding(balancer(lives(5, 1)))
		answerAt(b, q, named, at(0), at(100))
		b.Hold(map[string]bool{"e0": true}, at(2000))
		Expect(openEvery(b, q, 2000, 3100)).To(Equal([]int{2500, 3000}))
	})
})

var _ = Describe("An endpoint that says that it leaves", func() {
	q := balance.Query{Service: "s"}
	leaving := advisory.Advisory{Limit: advisory.Unlimited{}, Leaving: true}

	It("gets no request any more, whatever later heads and the store's list say", func() {
		b := balancer(lives(5, 1))
		first, late := pick(b, q, at(0)), pick(b, q, at(0))
		Expect(first.Hear(leaving, at(0), at(100)).Leaves).To(BeTrue())
		Expect(late.Hear(advisory.Advisory{Limit: advisory.Unlimited{}}, at(0), at(200)).Leaves).To(BeFalse())
		Expect(late.Hear(leaving, at(0), at(200)).Leaves).To(BeFalse(), "that is known")
		Expect(available(b, q, at(200))).To(BeFalse())
		b.Update(lives(5, 1))
		Expect(available(b, q, at(60000))).To(BeFalse())
		b.Update(&roster.List{})
		b.Update(lives(5, 1))
		Expect(available(b, q, at(60000))).To(BeFalse())
	})
	It("is no last resort where it is ejected", func() {
		b := balancer(lives(5, 1))
		l := pick(b, q, at(0))
		l.Hear(leaving, at(0), at(100))
		l.Done(balance.Unreachable, at(100))
		_, err := b.Pick(&q, at(200))
		Expect(err).To(Equal(&balance.NoEndpointError{Service: "s"}))
	})
	It("is not blamed for its end", func() {
		b := balancer(lives(5, 1))
		l := pick(b, q, at(0))
		Expect(l.Leaving()).To(BeFalse())
		l.Hear(leaving, at(0), at(100))
		Expect(l.Leaving()).To(BeTrue())
		Expect(b.Places(&q, at(200))).To(BeEmpty())
	})
	It("stays in its next life", func() {
		b := balancer(lives(5, 1))
		pick(b, q, at(0)).Hear(leaving, at(0), at(100))
		b.Update(lives(6, 1))
		Expect(available(b, q, at(200))).To(BeTrue())
	})
	It("is known to gateways that are told so", func() {
		b, other := balancer(lives(5, 1)), balancer(lives(5, 1))
		pick(b, q, at(0)).Hear(leaving, at(0), at(100))
		Expect(other.Learn(b.Advisories(false, at(200)), at(200))).To(HaveLen(1))
		Expect(available(other, q, at(200))).To(BeFalse())
		Expect(b.Advisories(false, at(2000))).To(BeEmpty())
		holding(b, "e0")
		Expect(b.Advisories(false, at(2000))).To(HaveLen(1), "for who starts")
	})
})

var _ = Describe("An endpoint that wants rest", func() {
	q := balance.Query{Service: "s"}
	rest := func(d time.Duration) advisory.Advisory {
		return advisory.Advisory{Limit: advisory.Unlimited{}, Rest: d}
	}

	It("gets no request until the latest of the rests that it asked for ends", func() {
		b := balancer(lives(5, 1))
		l := pick(b, q, at(0))
		Expect(l.Hear(rest(time.Second), at(0), at(100)).Rests).To(BeTrue())
		Expect(l.Hear(rest(3*time.Second), at(0), at(200)).Rests).To(BeTrue())
		Expect(l.Hear(rest(time.Second), at(0), at(300)).Rests).To(BeFalse())
		Expect(l.Hear(rest(0), at(0), at(400)).Rests).To(BeFalse())
		l.Done(balance.Served, at(500))
		Expect(openEvery(b, q, 200, 3300)[0]).To(Equal(3200))
	})
	It("is not tried when an ejection ends before its rest", func() {
		b := balancer(lives(5, 1))
		l := pick(b, q, at(0))
		l.Hear(rest(3*time.Second), at(0), at(100))
		l.Done(balance.Unreachable, at(100))
		Expect(openEvery(b, q, 100, 3200)).To(Equal([]int{3100, 3110, 3120, 3130, 3140, 3150, 3160, 3170, 3180, 3190}))
	})
	It("says when it takes requests again", func() {
		b := balancer(lives(5, 1))
		pick(b, q, at(0)).Hear(rest(3*time.Second), at(0), at(100))
		_, err := b.Pick(&q, at(600))
		Expect(err).To(Equal(&balance.FullError{Service: "s", OpensIn: 2500 * time.Millisecond}))
		Expect(b.Places(&q, at(600))[0].Usable).To(BeFalse())
	})
	It("keeps its rest while its record is away, and not in its next life", func() {
		b := balancer(lives(5, 1))
		pick(b, q, at(0)).Hear(rest(3*time.Second), at(0), at(100))
		b.Update(&roster.List{})
		b.Update(lives(5, 1))
		Expect(available(b, q, at(600))).To(BeFalse())
		b.Update(lives(6, 1))
		Expect(available(b, q, at(600))).To(BeTrue())
	})
	It("is asked of one gateway, and none is told", func() {
		b := holding(balancer(lives(5, 1)), "e0")
		pick(b, q, at(0)).Hear(rest(3*time.Second), at(0), at(100))
		Expect(b.Advisories(true, at(200))).To(BeEmpty())
	})
	It("leaves its limit to other gateways", func() {
		b := holding(balancer(lives(5, 1)), "e0")
		pick(b, q, at(0)).Hear(advisory.Advisory{Limit: advisory.PerSecond(2), Rest: 3 * time.Second}, at(0), at(100))
		granted, _ := b.Grant("g1", roster.Life{ID: "e0", Born: 5}, at(1000))
		Expect(granted).To(BeTrue())
		_, err := b.Pick(&q, at(1600))
		Expect(err).To(Equal(&balance.FullError{Service: "s", OpensIn: 1500 * time.Millisecond}))
	})
})
