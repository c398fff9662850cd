package balance_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/silverdeck/silverdeck/gateway/balance"
	"github.com/silverdeck/silverdeck/roster"
)

// lives returns endpoint e0, in the life that began at born, with a version of model m.
func lives(born, version int64) *roster.List {
	l := endpoints(1)
	e := l.Endpoints["e0"]
	e.Born = born
	e.Weights = nil
	if version > 0 {
		e.Weights = []roster.Weights{{Model: "m", Version: version}}
	}
	return l
}

// Endpoints crash and start again under the ID that they had. What was believed of the one
// that crashed kept requests away from the one in its place, or sent it what it can't run.
var _ = Describe("An endpoint that starts again under its ID", func() {
	s := balance.Query{Service: "s"}
	m := balance.Query{Service: "s", Model: "m"}

	It("is not ejected for what its earlier life did", func() {
		b := balancer(lives(5, 1))
		pick(b, s, now).Done(balance.Unreachable, now)
		Expect(available(b, s, now)).To(BeFalse())
		b.Update(lives(5, 1))
		Expect(available(b, s, now)).To(BeFalse(), "the same life")
		b.Update(lives(6, 1))
		Expect(available(b, s, now)).To(BeTrue())
	})
	It("stays what it was where no time is told", func() {
		b := balancer(lives(0, 1))
		pick(b, s, now).Done(balance.Unreachable, now)
		b.Update(lives(6, 1))
		Expect(available(b, s, now)).To(BeFalse(), "told for the first time")
		b.Update(lives(0, 1))
		Expect(available(b, s, now)).To(BeFalse(), "a record of an older program")
	})
	It("has none of the requests of its earlier life", func() {
		b := balancer(lives(5, 1))
		old := pick(b, s, now)
		Expect(b.InFlight()).To(Equal(map[roster.Life]int{{ID: "e0", Born: 5}: 1}))
		b.Update(lives(6, 1))
		Expect(b.InFlight()).To(BeEmpty())
		l := pick(b, s, now)
		old.Done(balance.Unreachable, now)
		Expect(b.InFlight()).To(Equal(map[roster.Life]int{{ID: "e0", Born: 6}: 1}))
		Expect(available(b, s, now)).To(BeTrue(), "the end of a request of the earlier life says nothing")
		l.Done(balance.Served, now)
		Expect(b.InFlight()).To(BeEmpty())
	})
	It("is not said to be ejected for the end of a request of its earlier life", func() {
		said := 0
		b := balance.New(balance.Config{Zone: "a", OtherLoad: nobody, Random: noDraw, Observe: func(balance.Belief) { said++ }})
		b.Update(lives(5, 1))
		old := pick(b, s, now)
		b.Update(lives(6, 1))
		old.Done(balance.Unreachable, now)
		Expect(said).To(BeZero())
	})
	It("is not suspected by others for its earlier life", func() {
		b := suspecting(lives(5, 1), func(l roster.Life) bool { return l == roster.Life{ID: "e0", Born: 5} })
		Expect(available(b, s, now)).To(BeFalse())
		b.Update(lives(6, 1))
		Expect(available(b, s, now)).To(BeTrue())
	})
	It("holds nothing from when the process beside it tells of the start", func() {
		b := balancer(lives(5, 1))
		b.Announce(balance.Announcement{Addr: "e0:1", Born: 5, Weights: roster.Weights{Model: "m", Version: 2}})
		Expect(available(b, m, now)).To(BeTrue())
		b.Announce(balance.Announcement{Addr: "e0:1", Born: 6})
		Expect(available(b, m, now)).To(BeFalse())
		b.Update(lives(5, 2))
		Expect(available(b, m, now)).To(BeFalse(), "a record of the earlier life")
		b.Announce(balance.Announcement{Addr: "e0:1", Born: 6, Weights: roster.Weights{Model: "m", Version: 2}})
		Expect(available(b, m, now)).To(BeTrue())
		b.Update(lives(6, 0))
		Expect(available(b, m, now)).To(BeTrue(), "the record follows what was announced")
	})
	It("is not what was announced of an earlier life", func() {
		b := balancer(lives(6, 0))
		b.Announce(balance.Announcement{Addr: "e0:1", Born: 5, PausedUntil: at(900), Weights: roster.Weights{Model: "m", Version: 2}})
		Expect(available(b, m, now)).To(BeFalse())
		Expect(available(b, s, now)).To(BeTrue(), "nor paused")
	})
	It("is what an older program beside it announces", func() {
		b := balancer(lives(6, 0))
		b.Announce(balance.Announcement{Addr: "e0:1", Weights: roster.Weights{Model: "m", Version: 2}})
		Expect(available(b, m, now)).To(BeTrue())
	})
	It("does not lend its beliefs to another ID at its address", func() {
		b := balancer(lives(5, 1))
		pick(b, s, now).Done(balance.Unreachable, now)
		l := lives(5, 1)
		e := l.Endpoints["e0"]
		delete(l.Endpoints, "e0")
		e.ID = "e9"
		l.Endpoints["e9"] = e
		b.Update(l)
		Expect(available(b, s, now)).To(BeTrue())
	})
})
