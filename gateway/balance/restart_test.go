package balance_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/silverdeck/silverdeck/gateway/balance"
	"github.com/silverdeck/silverdeck/roster"
)

// oneEndpoint returns endpoint e0, in the incarnation that started at born, with the given
// version of model m, or without weights if version is 0.
func oneEndpoint(born, version int64) *roster.List {
	l := endpoints(1)
	e := l.Endpoints["e0"]
	e.Born = born
	e.Weights = nil
	if version > 0 {
		e.Weights = []roster.Weights{{Model: "m", Version: version}}
	}
	return l
}

// Guards against state that outlives an incarnation. Endpoints crash and restart under the
// same ID; state kept from the crashed incarnation kept requests away from its replacement,
// or sent it requests that it could not serve.
var _ = Describe("An endpoint that restarts under the same ID", func() {
	s := balance.Query{Service: "s"}
	m := balance.Query{Service: "s", Model: "m"}

	It("is not ejected for failures of its earlier incarnation", func() {
		b := balancer(oneEndpoint(5, 1))
		pick(b, s, now).Done(balance.Unreachable, now)
		Expect(available(b, s, now)).To(BeFalse())
		b.Update(oneEndpoint(5, 1))
		Expect(available(b, s, now)).To(BeFalse(), "the same incarnation")
		b.Update(oneEndpoint(6, 1))
		Expect(available(b, s, now)).To(BeTrue())
	})
	It("keeps its state if a record has no start time", func() {
		b := balancer(oneEndpoint(0, 1))
		pick(b, s, now).Done(balance.Unreachable, now)
		b.Update(oneEndpoint(6, 1))
		Expect(available(b, s, now)).To(BeFalse(), "start time known for the first time")
		b.Update(oneEndpoint(0, 1))
		Expect(available(b, s, now)).To(BeFalse(), "record written by an older version")
	})
	It("has none of the requests of its earlier incarnation", func() {
		b := balancer(oneEndpoint(5, 1))
		old := pick(b, s, now)
		Expect(b.InFlight()).To(Equal(map[roster.Incarnation]int{{ID: "e0", Born: 5}: 1}))
		b.Update(oneEndpoint(6, 1))
		Expect(b.InFlight()).To(BeEmpty())
		l := pick(b, s, now)
		old.Done(balance.Unreachable, now)
		Expect(b.InFlight()).To(Equal(map[roster.Incarnation]int{{ID: "e0", Born: 6}: 1}))
		Expect(available(b, s, now)).To(BeTrue(), "a request of the earlier incarnation does not count")
		l.Done(balance.Served, now)
		Expect(b.InFlight()).To(BeEmpty())
	})
	It("is not reported as ejected when a request of its earlier incarnation fails", func() {
		events := 0
		b := balance.New(balance.Config{Zone: "a", OtherLoad: noOtherLoad, Random: zeroRandom, OnHealthChange: func(balance.HealthEvent) { events++ }})
		b.Update(oneEndpoint(5, 1))
		old := pick(b, s, now)
		b.Update(oneEndpoint(6, 1))
		old.Done(balance.Unreachable, now)
		Expect(events).To(BeZero())
	})
	It("is not suspected by other gateways for its earlier incarnation", func() {
		b := balancerWithSuspects(oneEndpoint(5, 1), func(l roster.Incarnation) bool { return l == roster.Incarnation{ID: "e0", Born: 5} })
		Expect(available(b, s, now)).To(BeFalse())
		b.Update(oneEndpoint(6, 1))
		Expect(available(b, s, now)).To(BeTrue())
	})
	It("holds no weights once its sidecar announces the restart", func() {
		b := balancer(oneEndpoint(5, 1))
		b.ApplyAnnouncement(balance.Announcement{Addr: "e0:1", Born: 5, Weights: roster.Weights{Model: "m", Version: 2}})
		Expect(available(b, m, now)).To(BeTrue())
		b.ApplyAnnouncement(balance.Announcement{Addr: "e0:1", Born: 6})
		Expect(available(b, m, now)).To(BeFalse())
		b.Update(oneEndpoint(5, 2))
		Expect(available(b, m, now)).To(BeFalse(), "record of the earlier incarnation")
		b.ApplyAnnouncement(balance.Announcement{Addr: "e0:1", Born: 6, Weights: roster.Weights{Model: "m", Version: 2}})
		Expect(available(b, m, now)).To(BeTrue())
		b.Update(oneEndpoint(6, 0))
		Expect(available(b, m, now)).To(BeTrue(), "the record lags behind the announcement")
	})
	It("ignores announcements for an earlier incarnation", func() {
		b := balancer(oneEndpoint(6, 0))
		b.ApplyAnnouncement(balance.Announcement{Addr: "e0:1", Born: 5, PausedUntil: at(900), Weights: roster.Weights{Model: "m", Version: 2}})
		Expect(available(b, m, now)).To(BeFalse())
		Expect(available(b, s, now)).To(BeTrue(), "not paused either")
	})
	It("applies announcements of an older sidecar, which sends no start time", func() {
		b := balancer(oneEndpoint(6, 0))
		b.ApplyAnnouncement(balance.Announcement{Addr: "e0:1", Weights: roster.Weights{Model: "m", Version: 2}})
		Expect(available(b, m, now)).To(BeTrue())
	})
	It("does not pass its state on to another ID at the same address", func() {
		b := balancer(oneEndpoint(5, 1))
		pick(b, s, now).Done(balance.Unreachable, now)
		l := oneEndpoint(5, 1)
		e := l.Endpoints["e0"]
		delete(l.Endpoints, "e0")
		e.ID = "e9"
		l.Endpoints["e9"] = e
		b.Update(l)
		Expect(available(b, s, now)).To(BeTrue())
	})
})
