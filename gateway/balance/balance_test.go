package balance_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/silverdeck/silverdeck/gateway/balance"
	"github.com/silverdeck/silverdeck/roster"
)

var now = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

func noOtherLoad(roster.Incarnation) int { return 0 }
func zeroRandom() float64                { return 0 }
func at(ms int) time.Time                { return now.Add(time.Duration(ms) * time.Millisecond) }

// endpoints returns n endpoints e0, e1, and so on, of service s in zone a, with version 1
// of model m and two slots.
func endpoints(n int) *roster.List {
	l := &roster.List{Revision: 1, Endpoints: map[string]*roster.Endpoint{}}
	for i := range n {
		id := fmt.Sprintf("e%d", i)
		l.Endpoints[id] = &roster.Endpoint{
			ID: id, Service: "s", Addr: id + ":1", Zone: "a", Slots: 2,
			Weights: []roster.Weights{{Model: "m", Version: 1}},
		}
	}
	return l
}

func balancer(l *roster.List) *balance.Balancer {
	return balancerWithSuspects(l, nil)
}

// balancerWithSuspects returns a Balancer with the endpoints suspected by other gateways.
func balancerWithSuspects(l *roster.List, suspected func(roster.Incarnation) bool) *balance.Balancer {
	b := balance.New(balance.Config{Zone: "a", OtherLoad: noOtherLoad, Random: zeroRandom, Suspected: suspected})
	b.Update(l)
	return b
}

// available reports whether a healthy endpoint for q can be selected now.
func available(b *balance.Balancer, q balance.Query, now time.Time) bool {
	q.Healthy = true
	lease, err := b.Pick(&q, now)
	if err == nil {
		lease.Done(balance.Neutral, now)
	}
	return err == nil
}

func pick(b *balance.Balancer, q balance.Query, t time.Time) *balance.Lease {
	GinkgoHelper()
	l, err := b.Pick(&q, t)
	Expect(err).NotTo(HaveOccurred())
	return l
}

// failUntilEjected records outcome o for requests at endpoint id until another endpoint is
// selected.
func failUntilEjected(b *balance.Balancer, id string, o balance.Outcome, t time.Time) {
	GinkgoHelper()
	for range 100 {
		l := pick(b, balance.Query{Service: "s"}, t)
		if l.Record.ID != id {
			l.Done(balance.Neutral, t)
			return
		}
		l.Done(o, t)
	}
	Fail("endpoint " + id + " is still selected")
}

var _ = Describe("Balancer", func() {
	s := balance.Query{Service: "s"}

	It("distributes requests by outstanding requests, including those of other gateways", func() {
		others := map[string]int{"e0": 2}
		b := balance.New(balance.Config{Zone: "a", OtherLoad: func(l roster.Incarnation) int { return others[l.ID] }, Random: zeroRandom})
		b.Update(endpoints(3))
		b.SetPreferred(map[string]bool{"e0": true, "e1": true, "e2": true})
		got := map[string]int{}
		for range 4 {
			got[pick(b, s, now).Record.ID]++
		}
		Expect(got).To(Equal(map[string]int{"e1": 2, "e2": 2}))
	})

	It("samples two of the endpoints that other gateways prefer", func() {
		draw := rand.New(rand.NewPCG(1, 1))
		b := balance.New(balance.Config{Zone: "a", OtherLoad: noOtherLoad, Random: draw.Float64})
		b.Update(endpoints(20))
		got := map[string]int{}
		const picks = 4000
		for range picks {
			l := pick(b, s, now)
			got[l.Record.ID]++
			l.Done(balance.Neutral, now)
		}
		for id, n := range got {
			Expect(n).To(BeNumerically("~", picks/20, picks/40), id)
		}
		Expect(got).To(HaveLen(20))
	})

	It("accepts requests while any endpoint that other gateways prefer has capacity", func() {
		draw := rand.New(rand.NewPCG(1, 1))
		b := balance.New(balance.Config{Zone: "a", OtherLoad: noOtherLoad, Random: draw.Float64})
		b.Update(endpoints(20))
		full := balance.Query{Service: "s", MaxLoad: 1}
		for range 20 * 2 {
			pick(b, full, now)
		}
		_, err := b.Pick(&full, now)
		Expect(err).To(Equal(&balance.FullError{Service: "s"}))
	})

	It("distinguishes full endpoints from missing ones", func() {
		b := balancer(endpoints(1))
		q := balance.Query{Service: "s", MaxLoad: 1}
		pick(b, q, now)
		pick(b, q, now)
		_, err := b.Pick(&q, now)
		Expect(err).To(Equal(&balance.FullError{Service: "s"}))
		_, err = b.Pick(&balance.Query{Service: "other"}, now)
		Expect(err).To(Equal(&balance.NoEndpointError{Service: "other"}))
	})

	It("prefers its own zone, preferred endpoints, and short pending prefill", func() {
		l := endpoints(3)
		l.Endpoints["e0"].Zone = "b"
		b := balancer(l)
		b.SetPreferred(map[string]bool{"e2": true})
		q := balance.Query{Service: "s", Prefill: 200 * time.Millisecond}
		first := pick(b, q, now)
		Expect(first.Record.ID).To(Equal("e2"))
		first.Done(balance.Served, now)
		first = pick(b, q, now)
		Expect(pick(b, q, now).Record.ID).To(Equal("e1"))
		Expect(pick(b, q, now).Record.ID).To(Equal("e0"), "the others have pending prefill")
		first.PrefillDone()
	})

	It("fills preferred endpoints and reserves capacity on those of other gateways", func() {
		l := endpoints(2)
		for _, e := range l.Endpoints {
			e.Slots = 10
		}
		b := balancer(l)
		b.SetPreferred(map[string]bool{"e0": true})
		q := balance.Query{Service: "s", MaxLoad: 1.2}
		got := map[string]int{}
		for {
			lease, _ := b.Pick(&q, now)
			if lease == nil {
				break
			}
			got[lease.Record.ID]++
		}
		Expect(got).To(Equal(map[string]int{"e0": 12, "e1": 7}))
	})

	It("fills all endpoints when it prefers none", func() {
		b := balancer(endpoints(1))
		q := balance.Query{Service: "s", MaxLoad: 1}
		pick(b, q, now)
		pick(b, q, now)
		Expect(available(b, q, now)).To(BeFalse())
	})

	It("skips endpoints that are leaving, were tried, or hold old weights", func() {
		l := endpoints(4)
		l.Endpoints["e0"].Leaving = true
		l.Endpoints["e1"].Weights[0].Version = 2
		l.Endpoints["e2"].Weights = nil
		b := balancer(l)
		q := balance.Query{Service: "s", Model: "m", Exclude: []string{"e3"}}
		Expect(pick(b, q, now).Record.ID).To(Equal("e1"))
		q = balance.Query{Service: "s", Model: "m", MinVersion: 2}
		Expect(pick(b, q, now).Record.ID).To(Equal("e1"))
		q.MinVersion = 3
		_, err := b.Pick(&q, now)
		Expect(err).To(Equal(&balance.NoEndpointError{Service: "s"}))
	})

	It("uses announced weights before the endpoint list contains them", func() {
		b := balancer(endpoints(1))
		q := balance.Query{Service: "s", Model: "m", MinVersion: 2}
		_, err := b.Pick(&q, now)
		Expect(err).To(Equal(&balance.NoEndpointError{Service: "s"}))
		b.ApplyAnnouncement(balance.Announcement{Addr: "e0:1", PausedUntil: now, Weights: roster.Weights{Model: "m", Version: 2}})
		lease := pick(b, q, now)
		Expect(lease.Holds("m")).To(Equal(int64(2)))
	})

	It("sends nothing to a paused endpoint while there are others", func() {
		b := balancer(endpoints(2))
		b.ApplyAnnouncement(balance.Announcement{Addr: "e0:1", PausedUntil: at(500), Weights: roster.Weights{}})
		for range 4 {
			Expect(pick(b, s, now).Record.ID).To(Equal("e1"))
		}
		Expect(pick(b, s, at(500)).Record.ID).To(Equal("e0"))
	})

	// Guards against ignored pauses and weights when a sidecar knows its endpoint by a
	// different port than clients.
	It("applies an announcement for another port to the endpoint on the same VM", func() {
		l := endpoints(2)
		l.Endpoints["e0"].Addr, l.Endpoints["e1"].Addr = "10.0.0.1:80", "10.0.0.2:80"
		b := balancer(l)
		b.ApplyAnnouncement(balance.Announcement{Addr: "10.0.0.1:81", PausedUntil: at(500)})
		for range 4 {
			Expect(pick(b, s, now).Record.ID).To(Equal("e1"))
		}
	})

	It("applies an announcement to the endpoint with exactly that address", func() {
		l := endpoints(2)
		l.Endpoints["e0"].Addr, l.Endpoints["e1"].Addr = "10.0.0.1:80", "10.0.0.1:81"
		b := balancer(l)
		b.ApplyAnnouncement(balance.Announcement{Addr: "10.0.0.1:81", PausedUntil: at(500)})
		for range 4 {
			Expect(pick(b, s, now).Record.ID).To(Equal("e0"))
		}
	})

	It("distributes requests interrupted by a reload over all endpoints, including those with older weights", func() {
		l := endpoints(4)
		l.Endpoints["e3"].Weights[0].Version = 2
		b := balancer(l)
		b.SetPreferred(map[string]bool{"e0": true, "e1": true, "e2": true, "e3": true})
		q := balance.Query{Service: "s", Model: "m", Exclude: []string{"e0"}}
		chosen := map[string]int{}
		for range 6 {
			chosen[pick(b, q, now).Record.ID]++
		}
		Expect(chosen).To(Equal(map[string]int{"e1": 2, "e2": 2, "e3": 2}))
	})

	It("ejects a failing endpoint, probes it with one request, and restores it", func() {
		b := balancer(endpoints(2))
		b.SetPreferred(map[string]bool{"e0": true})
		failUntilEjected(b, "e0", balance.Failed, now)
		Expect(pick(b, s, at(400)).Record.ID).To(Equal("e1"))
		b = balancer(endpoints(2))
		b.SetPreferred(map[string]bool{"e0": true})
		failUntilEjected(b, "e0", balance.Failed, now)
		trial := pick(b, s, at(600))
		Expect(trial.Record.ID).To(Equal("e0"))
		Expect(pick(b, s, at(600)).Record.ID).To(Equal("e1"), "one probe at a time")
		trial.Done(balance.Served, at(700))
		Expect(pick(b, s, at(700)).Record.ID).To(Equal("e0"))
	})

	It("ejects an unreachable endpoint at once, and one whose address was reassigned permanently", func() {
		b := balancer(endpoints(2))
		b.SetPreferred(map[string]bool{"e0": true})
		pick(b, s, now).Done(balance.Unreachable, now)
		Expect(pick(b, s, at(1)).Record.ID).To(Equal("e1"))
		b = balancer(endpoints(2))
		b.SetPreferred(map[string]bool{"e0": true})
		pick(b, s, now).Done(balance.Misdirected, now)
		Expect(pick(b, s, at(60_000)).Record.ID).To(Equal("e1"))
	})

	It("uses an ejected endpoint when there is no other", func() {
		b := balancer(endpoints(1))
		pick(b, s, now).Done(balance.Unreachable, now)
		Expect(pick(b, s, at(1)).Record.ID).To(Equal("e0"))
	})

	It("reports how long an endpoint was idle on all its streams", func() {
		b := balancer(endpoints(1))
		one, other := pick(b, s, now), pick(b, s, now)
		other.Received(at(300))
		b.NoteTraffic(at(650))
		Expect(one.Idle(now, at(700))).To(Equal(400 * time.Millisecond))
		Expect(one.Idle(at(500), at(700))).To(Equal(200 * time.Millisecond))
	})

	It("attributes idleness to itself when it receives nothing from any process", func() {
		b := balancer(endpoints(1))
		lease := pick(b, s, now)
		lease.Received(at(100))
		Expect(lease.Idle(now, at(5000))).To(BeZero())
		b.NoteTraffic(at(4900))
		Expect(lease.Idle(now, at(5000))).To(Equal(4900 * time.Millisecond))
	})

	It("counts each request until its lease is done", func() {
		b := balancer(endpoints(1))
		l := pick(b, s, now)
		Expect(b.InFlight()).To(Equal(map[roster.Incarnation]int{{ID: "e0"}: 1}))
		l.Done(balance.Served, now)
		Expect(b.InFlight()).To(BeEmpty())
	})
})

// allButFirst returns the endpoints among e0 to e3 other than that of the first lease, or
// nil if there are no leases.
func allButFirst(leases []*balance.Lease) []string {
	if len(leases) == 0 {
		return nil
	}
	var out []string
	for _, id := range []string{"e0", "e1", "e2", "e3"} {
		if id != leases[0].Record.ID {
			out = append(out, id)
		}
	}
	return out
}

var _ = Describe("Suspicion", func() {
	// silence makes n concurrent requests at one endpoint unresponsive and returns its ID.
	silence := func(b *balance.Balancer, n int, t time.Time) string {
		var leases []*balance.Lease
		for range n {
			leases = append(leases, pick(b, balance.Query{Service: "s", Exclude: allButFirst(leases)}, t))
		}
		for _, l := range leases {
			l.Done(balance.Unresponsive, t)
		}
		return leases[0].Record.ID
	}
	It("of an endpoint that is unresponsive to several requests begins at once and is reported", func() {
		b := balancer(endpoints(4))
		id := silence(b, 2, now)
		Expect(b.Suspects(now)).To(Equal([]roster.Incarnation{{ID: id}}))
		Expect(b.Suspects(at(2499))).To(HaveLen(1), "this gateway sends the probe")
		Expect(b.Suspects(at(2500))).To(BeEmpty(), "other gateways do not wait for the probe indefinitely")
	})
	It("does not begin after one request, whose response may be lost", func() {
		b := balancer(endpoints(1))
		silence(b, 1, now)
		Expect(b.Suspects(now)).To(BeEmpty())
		pick(b, balance.Query{Service: "s"}, now).Done(balance.Served, now)
		silence(b, 1, now)
		Expect(available(b, balance.Query{Service: "s"}, now)).To(BeTrue())
		silence(b, 1, now)
		Expect(available(b, balance.Query{Service: "s"}, now)).To(BeFalse(), "two in a row")
	})
	It("ends with a successful probe", func() {
		b := balancer(endpoints(1))
		silence(b, 2, now)
		pick(b, balance.Query{Service: "s"}, at(600)).Done(balance.Served, at(700))
		Expect(b.Suspects(at(700))).To(BeEmpty())
	})
	It("of many endpoints is attributed to this gateway", func() {
		b := balancer(endpoints(4))
		first := silence(b, 2, now)
		Expect(silence(b, 2, now)).NotTo(Equal(first))
		Expect(b.Suspects(now)).To(BeEmpty())
	})
	It("by other gateways keeps this gateway away, unless it receives data from the endpoint", func() {
		var id string
		b := balancerWithSuspects(endpoints(2), func(suspected roster.Incarnation) bool { return suspected.ID == id })
		lease := pick(b, balance.Query{Service: "s"}, now)
		id = lease.Record.ID
		for range 4 {
			Expect(pick(b, balance.Query{Service: "s"}, now).Record.ID).NotTo(Equal(id))
		}
		lease.Received(now)
		Expect(pick(b, balance.Query{Service: "s"}, at(100)).Record.ID).To(Equal(id))
	})
	It("does not leave a service without endpoints", func() {
		b := balancerWithSuspects(endpoints(1), func(roster.Incarnation) bool { return true })
		Expect(pick(b, balance.Query{Service: "s"}, now).Record.ID).To(Equal("e0"))
	})
})
