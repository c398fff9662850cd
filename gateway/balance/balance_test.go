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

func nobody(roster.Life) int { return 0 }
func noDraw() float64        { return 0 }
func at(ms int) time.Time    { return now.Add(time.Duration(ms) * time.Millisecond) }

// endpoints returns n endpoints e0, e1 and so on of service s in zone a, with
// version 1 of model m and two slots.
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
	return suspecting(l, nil)
}

// suspecting returns a Balancer that hears from others whom they suspect.
func suspecting(l *roster.List, suspected func(roster.Life) bool) *balance.Balancer {
	b := balance.New(balance.Config{Zone: "a", OtherLoad: nobody, Random: noDraw, Suspected: suspected})
	b.Update(l)
	return b
}

// available returns whether a healthy endpoint for q can be chosen now.
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

// fail makes the endpoint of one lease after another fail until none is given
// to it any more.
func fail(b *balance.Balancer, id string, o balance.Outcome, t time.Time) {
	GinkgoHelper()
	for range 100 {
		l := pick(b, balance.Query{Service: "s"}, t)
		if l.Record.ID != id {
			l.Done(balance.Neutral, t)
			return
		}
		l.Done(o, t)
	}
	Fail("endpoint " + id + " is still chosen")
}

var _ = Describe("Balancer", func() {
	s := balance.Query{Service: "s"}

	It("spreads requests by those in progress, also of other entries", func() {
		others := map[string]int{"e0": 2}
		b := balance.New(balance.Config{Zone: "a", OtherLoad: func(l roster.Life) int { return others[l.ID] }, Random: noDraw})
		b.Update(endpoints(3))
		b.Prefer(map[string]bool{"e0": true, "e1": true, "e2": true})
		got := map[string]int{}
		for range 4 {
			got[pick(b, s, now).Record.ID]++
		}
		Expect(got).To(Equal(map[string]int{"e1": 2, "e2": 2}))
	})

	It("compares two of those that others prefer", func() {
		draw := rand.New(rand.NewPCG(1, 1))
		b := balance.New(balance.Config{Zone: "a", OtherLoad: nobody, Random: draw.Float64})
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

	It("does not refuse while any that others prefer has room", func() {
		draw := rand.New(rand.NewPCG(1, 1))
		b := balance.New(balance.Config{Zone: "a", OtherLoad: nobody, Random: draw.Float64})
		b.Update(endpoints(20))
		full := balance.Query{Service: "s", MaxLoad: 1}
		for range 20 * 2 {
			pick(b, full, now)
		}
		_, err := b.Pick(&full, now)
		Expect(err).To(Equal(&balance.FullError{Service: "s"}))
	})

	It("says whether endpoints are full or missing", func() {
		b := balancer(endpoints(1))
		q := balance.Query{Service: "s", MaxLoad: 1}
		pick(b, q, now)
		pick(b, q, now)
		_, err := b.Pick(&q, now)
		Expect(err).To(Equal(&balance.FullError{Service: "s"}))
		_, err = b.Pick(&balance.Query{Service: "other"}, now)
		Expect(err).To(Equal(&balance.NoEndpointError{Service: "other"}))
	})

	It("prefers the zone, the owned and those with little to read", func() {
		l := endpoints(3)
		l.Endpoints["e0"].Zone = "b"
		b := balancer(l)
		b.Prefer(map[string]bool{"e2": true})
		q := balance.Query{Service: "s", Prefill: 200 * time.Millisecond}
		first := pick(b, q, now)
		Expect(first.Record.ID).To(Equal("e2"))
		first.Done(balance.Served, now)
		first = pick(b, q, now)
		Expect(pick(b, q, now).Record.ID).To(Equal("e1"))
		Expect(pick(b, q, now).Record.ID).To(Equal("e0"), "the others read long prompts")
		first.PrefillDone()
	})

	It("fills its own endpoints and leaves those of others some room", func() {
		l := endpoints(2)
		for _, e := range l.Endpoints {
			e.Slots = 10
		}
		b := balancer(l)
		b.Prefer(map[string]bool{"e0": true})
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

	It("fills all endpoints when it owns none", func() {
		b := balancer(endpoints(1))
		q := balance.Query{Service: "s", MaxLoad: 1}
		pick(b, q, now)
		pick(b, q, now)
		Expect(available(b, q, now)).To(BeFalse())
	})

	It("leaves out endpoints that leave, were tried or hold old weights", func() {
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

	It("believes a notice of new weights before the list tells them", func() {
		b := balancer(endpoints(1))
		q := balance.Query{Service: "s", Model: "m", MinVersion: 2}
		_, err := b.Pick(&q, now)
		Expect(err).To(Equal(&balance.NoEndpointError{Service: "s"}))
		b.Announce(balance.Announcement{Addr: "e0:1", PausedUntil: now, Weights: roster.Weights{Model: "m", Version: 2}})
		lease := pick(b, q, now)
		Expect(lease.Holds("m")).To(Equal(int64(2)))
	})

	It("sends nothing to an endpoint that asked for a pause while others are there", func() {
		b := balancer(endpoints(2))
		b.Announce(balance.Announcement{Addr: "e0:1", PausedUntil: at(500), Weights: roster.Weights{}})
		for range 4 {
			Expect(pick(b, s, now).Record.ID).To(Equal("e1"))
		}
		Expect(pick(b, s, at(500)).Record.ID).To(Equal("e0"))
	})

	// Guards against pauses and weights that no gateway takes in, where the process beside an
	// endpoint knows it by another port than callers.
	It("takes what is told of an address on the VM for its endpoint", func() {
		l := endpoints(2)
		l.Endpoints["e0"].Addr, l.Endpoints["e1"].Addr = "10.0.0.1:80", "10.0.0.2:80"
		b := balancer(l)
		b.Announce(balance.Announcement{Addr: "10.0.0.1:81", PausedUntil: at(500)})
		for range 4 {
			Expect(pick(b, s, now).Record.ID).To(Equal("e1"))
		}
	})

	It("takes what is told of an address for the endpoint that has it", func() {
		l := endpoints(2)
		l.Endpoints["e0"].Addr, l.Endpoints["e1"].Addr = "10.0.0.1:80", "10.0.0.1:81"
		b := balancer(l)
		b.Announce(balance.Announcement{Addr: "10.0.0.1:81", PausedUntil: at(500)})
		for range 4 {
			Expect(pick(b, s, now).Record.ID).To(Equal("e0"))
		}
	})

	It("spreads what a load cut over all endpoints, also those with older weights", func() {
		l := endpoints(4)
		l.Endpoints["e3"].Weights[0].Version = 2
		b := balancer(l)
		b.Prefer(map[string]bool{"e0": true, "e1": true, "e2": true, "e3": true})
		q := balance.Query{Service: "s", Model: "m", Exclude: []string{"e0"}}
		chosen := map[string]int{}
		for range 6 {
			chosen[pick(b, q, now).Record.ID]++
		}
		Expect(chosen).To(Equal(map[string]int{"e1": 2, "e2": 2, "e3": 2}))
	})

	It("leaves a failing endpoint alone, tries it with one request and takes it back", func() {
		b := balancer(endpoints(2))
		b.Prefer(map[string]bool{"e0": true})
		fail(b, "e0", balance.Failed, now)
		Expect(pick(b, s, at(400)).Record.ID).To(Equal("e1"))
		b = balancer(endpoints(2))
		b.Prefer(map[string]bool{"e0": true})
		fail(b, "e0", balance.Failed, now)
		trial := pick(b, s, at(600))
		Expect(trial.Record.ID).To(Equal("e0"))
		Expect(pick(b, s, at(600)).Record.ID).To(Equal("e1"), "one trial at a time")
		trial.Done(balance.Served, at(700))
		Expect(pick(b, s, at(700)).Record.ID).To(Equal("e0"))
	})

	It("leaves an unreachable endpoint alone at once, and one whose address has another owner for good", func() {
		b := balancer(endpoints(2))
		b.Prefer(map[string]bool{"e0": true})
		pick(b, s, now).Done(balance.Unreachable, now)
		Expect(pick(b, s, at(1)).Record.ID).To(Equal("e1"))
		b = balancer(endpoints(2))
		b.Prefer(map[string]bool{"e0": true})
		pick(b, s, now).Done(balance.Misdirected, now)
		Expect(pick(b, s, at(60_000)).Record.ID).To(Equal("e1"))
	})

	It("uses a failing endpoint when there is no other", func() {
		b := balancer(endpoints(1))
		pick(b, s, now).Done(balance.Unreachable, now)
		Expect(pick(b, s, at(1)).Record.ID).To(Equal("e0"))
	})

	It("tells for how long an endpoint was silent on all its streams", func() {
		b := balancer(endpoints(1))
		one, other := pick(b, s, now), pick(b, s, now)
		other.Received(at(300))
		b.NoteTraffic(at(650))
		Expect(one.Idle(now, at(700))).To(Equal(400 * time.Millisecond))
		Expect(one.Idle(at(500), at(700))).To(Equal(200 * time.Millisecond))
	})

	It("puts it down to itself when it hears nobody", func() {
		b := balancer(endpoints(1))
		lease := pick(b, s, now)
		lease.Received(at(100))
		Expect(lease.Idle(now, at(5000))).To(BeZero())
		b.NoteTraffic(at(4900))
		Expect(lease.Idle(now, at(5000))).To(Equal(4900 * time.Millisecond))
	})

	It("counts each request until it is done", func() {
		b := balancer(endpoints(1))
		l := pick(b, s, now)
		Expect(b.InFlight()).To(Equal(map[roster.Life]int{{ID: "e0"}: 1}))
		l.Done(balance.Served, now)
		Expect(b.InFlight()).To(BeEmpty())
	})
})

// others returns the endpoints, of e0 to e3, that have none of leases.
func others(leases []*balance.Lease) []string {
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
	// silence makes n requests at one endpoint silent together.
	silence := func(b *balance.Balancer, n int, t time.Time) string {
		var leases []*balance.Lease
		for range n {
			leases = append(leases, pick(b, balance.Query{Service: "s", Exclude: others(leases)}, t))
		}
		for _, l := range leases {
			l.Done(balance.Unresponsive, t)
		}
		return leases[0].Record.ID
	}
	It("of an endpoint that says nothing on several requests begins at once, and others hear of it", func() {
		b := balancer(endpoints(4))
		id := silence(b, 2, now)
		Expect(b.Suspects(now)).To(Equal([]roster.Life{{ID: id}}))
		Expect(b.Suspects(at(2499))).To(HaveLen(1), "the trial is this entry's")
		Expect(b.Suspects(at(2500))).To(BeEmpty(), "others need not wait for it for ever")
	})
	It("does not come of one request, whose answer may be lost", func() {
		b := balancer(endpoints(1))
		silence(b, 1, now)
		Expect(b.Suspects(now)).To(BeEmpty())
		pick(b, balance.Query{Service: "s"}, now).Done(balance.Served, now)
		silence(b, 1, now)
		Expect(available(b, balance.Query{Service: "s"}, now)).To(BeTrue())
		silence(b, 1, now)
		Expect(available(b, balance.Query{Service: "s"}, now)).To(BeFalse(), "two in a row")
	})
	It("ends with a trial that succeeds", func() {
		b := balancer(endpoints(1))
		silence(b, 2, now)
		pick(b, balance.Query{Service: "s"}, at(600)).Done(balance.Served, at(700))
		Expect(b.Suspects(at(700))).To(BeEmpty())
	})
	It("of many endpoints is put down to this entry", func() {
		b := balancer(endpoints(4))
		first := silence(b, 2, now)
		Expect(silence(b, 2, now)).NotTo(Equal(first))
		Expect(b.Suspects(now)).To(BeEmpty())
	})
	It("of others keeps this entry away, unless it hears from the endpoint", func() {
		var id string
		b := suspecting(endpoints(2), func(suspected roster.Life) bool { return suspected.ID == id })
		heard := pick(b, balance.Query{Service: "s"}, now)
		id = heard.Record.ID
		for range 4 {
			Expect(pick(b, balance.Query{Service: "s"}, now).Record.ID).NotTo(Equal(id))
		}
		heard.Received(now)
		Expect(pick(b, balance.Query{Service: "s"}, at(100)).Record.ID).To(Equal(id))
	})
	It("does not leave a service without endpoints", func() {
		b := suspecting(endpoints(1), func(roster.Life) bool { return true })
		Expect(pick(b, balance.Query{Service: "s"}, now).Record.ID).To(Equal("e0"))
	})
})
