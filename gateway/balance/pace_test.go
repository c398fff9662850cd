package balance_test

import (
	"errors"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/silverdeck/silverdeck/gateway/balance"
	"github.com/silverdeck/silverdeck/gateway/work"
	"github.com/silverdeck/silverdeck/roster"
	"github.com/silverdeck/silverdeck/routes"
)

// engine makes 5 tokens of each answer in 50 ms, and prefills 1,000 tokens in 40 ms.
var engine = &routes.Engine{
	Slots: 12, StepTime: 10 * time.Millisecond, Stride: 5,
	PrefillTokensPerSecond: 25000, MeanPromptTokens: 1000, MeanAnswerTokens: 100,
}

// engineEndpoints returns n endpoints with 12 slots.
func engineEndpoints(n int) *roster.List {
	l := endpoints(n)
	for _, e := range l.Endpoints {
		e.Slots = 12
	}
	return l
}

// withEngine makes the engine's figures known.
func withEngine(b *balance.Balancer) *balance.Balancer {
	b.SetServices(map[string]work.Service{"s": {Engine: engine, GapTarget: 300 * time.Millisecond}})
	return b
}

// tell announces the pace of endpoint e0.
func tell(b *balance.Balancer, pace float64, t time.Time) {
	b.ApplyAnnouncement(balance.Announcement{Addr: "e0:1", PausedUntil: t, Pace: pace, ReceivedAt: t})
}

// stream returns the work of a stream with a mean prompt and the given answer, in tokens.
func stream(answer float64, left time.Duration) work.Stream {
	w := work.StreamOf(engine, work.Tokens{Prompt: 1000, Answer: answer})
	w.Left = left
	return w
}

// picks returns how many of n concurrent requests for q each endpoint gets.
func picks(b *balance.Balancer, q balance.Query, n int) map[string]int {
	GinkgoHelper()
	out := map[string]int{}
	for range n {
		out[pick(b, q, now).Record.ID]++
	}
	return out
}

var _ = Describe("A slow endpoint", func() {
	q := balance.Query{Service: "s", Model: "m", MaxLoad: 1}
	places := func(b *balance.Balancer) float64 { return b.Capacities(&q, now)[0].Places }

	It("has fewer places", func() {
		b := withEngine(balancer(engineEndpoints(1)))
		Expect(places(b)).To(BeNumerically("==", 12))
		tell(b, 2.5, now)
		Expect(places(b)).To(BeNumerically("==", 2))
		tell(b, 1, now)
		Expect(places(b)).To(BeNumerically("==", 12))
	})
	It("takes requests up to its slots rather than that callers are refused", func() {
		b := withEngine(balancer(engineEndpoints(2)))
		tell(b, 2.5, now)
		Expect(picks(b, q, 24)).To(Equal(map[string]int{"e0": 12, "e1": 12}))
		_, err := b.Pick(&q, now)
		var full *balance.FullError
		Expect(errors.As(err, &full)).To(BeTrue())
	})
	It("is less loaded than others by the places that it lacks", func() {
		b := withEngine(balancer(engineEndpoints(2)))
		tell(b, 2.5, now)
		Expect(picks(b, q, 4)).To(Equal(map[string]int{"e1": 4}))
		Expect(picks(b, q, 10)).To(Equal(map[string]int{"e0": 5, "e1": 5}))
	})
	It("is less loaded also where it is preferred", func() {
		b := withEngine(balancer(engineEndpoints(3)))
		b.SetPreferred(map[string]bool{"e0": true, "e1": true})
		tell(b, 2.5, now)
		Expect(picks(b, q, 4)).To(Equal(map[string]int{"e1": 4}))
	})
	It("gets still fewer streams whose first event would be late", func() {
		b := withEngine(balancer(engineEndpoints(2)))
		tell(b, 2.5, now)
		q := q
		q.Work = stream(50, time.Minute)
		q.Work.FirstWithin = 200 * time.Millisecond
		Expect(picks(b, q, 6)).To(Equal(map[string]int{"e1": 6}))
	})
	It("is known by a notice that came before its record", func() {
		b := withEngine(balancer(engineEndpoints(0)))
		tell(b, 2.5, now)
		b.Update(engineEndpoints(1))
		Expect(places(b)).To(BeNumerically("==", 2))
	})
	It("is known by a notice that came before the engine's figures", func() {
		b := balancer(engineEndpoints(1))
		tell(b, 2.5, now)
		Expect(places(b)).To(BeNumerically("==", 12))
		Expect(places(withEngine(b))).To(BeNumerically("==", 2))
	})
	It("remains slow when the notices of its sidecar tell no pace", func() {
		b := withEngine(balancer(engineEndpoints(1)))
		tell(b, 2.5, now)
		tell(b, 0, at(100))
		Expect(places(b)).To(BeNumerically("==", 2))
	})
	It("remains slow when its record changes", func() {
		b := withEngine(balancer(engineEndpoints(1)))
		tell(b, 2.5, now)
		b.Update(engineEndpoints(2))
		Expect(places(b)).To(BeNumerically("==", 2))
	})
	It("remains slow when a notice tells that it started again", func() {
		b := withEngine(balancer(engineEndpoints(2)))
		for born := range int64(3) {
			b.ApplyAnnouncement(balance.Announcement{Addr: "e0:1", Born: born, Pace: 2.5, ReceivedAt: now})
			Expect(places(b)).To(BeNumerically("==", 2))
		}
	})
	It("counts as working at its figures once its sidecar has been silent for long", func() {
		b := withEngine(balancer(engineEndpoints(1)))
		tell(b, 2.5, now)
		b.ExpirePaces(at(30000))
		Expect(places(b)).To(BeNumerically("==", 2))
		b.ExpirePaces(at(30001))
		Expect(places(b)).To(BeNumerically("==", 12))
	})
	It("is reported when its class changes", func() {
		var events []balance.PaceEvent
		b := withEngine(balance.New(balance.Config{Zone: "a", OtherLoad: noOtherLoad, Random: zeroRandom,
			OnPaceChange: func(e balance.PaceEvent) { events = append(events, e) }}))
		b.Update(engineEndpoints(1))
		for _, pace := range []float64{1.2, 2.5, 2.6, 1} {
			tell(b, pace, now)
		}
		Expect(events).To(HaveLen(2))
		Expect(events[0]).To(Equal(balance.PaceEvent{Endpoint: "e0", Pace: 2.5, Places: 2}))
		Expect(events[1]).To(Equal(balance.PaceEvent{Endpoint: "e0", Pace: 1, Places: 12}))
		Expect(b.Paces()).To(BeEmpty())
	})
	It("has places for what it may start while it is cold", func() {
		l := engineEndpoints(1)
		l.Endpoints["e0"].ColdUntil = at(1000)
		b := balance.New(balance.Config{Zone: "a", OtherLoad: noOtherLoad, Random: zeroRandom})
		b.SetColdLimits(map[string]balance.ColdLimit{"s": {Duration: time.Second, Rate: 2}})
		b.Update(l)
		Expect(places(b)).To(BeZero(), "no figures")
		withEngine(b)
		// A mean stream takes 40 ms of prefill and 20 passes of at least 50 ms.
		Expect(places(b)).To(And(BeNumerically(">", 2), BeNumerically("<", 4)))
		Expect(b.Capacities(&q, at(1000))[0].Places).To(BeNumerically("==", 12))
	})
	It("still serves if it lies beyond all bounds", func() {
		b := withEngine(balancer(engineEndpoints(2)))
		tell(b, 1e9, now)
		Expect(places(b)).To(BeNumerically("==", 1))
		Expect(picks(b, q, 5)).To(Equal(map[string]int{"e1": 5}))
		Expect(picks(b, q, 19)).To(Equal(map[string]int{"e0": 12, "e1": 7}))
	})
})

var _ = Describe("An endpoint whose sidecar tells nothing", func() {
	q := balance.Query{Service: "s", Model: "m"}
	// observe has n streams of 11 events with pauses of the given length at an endpoint. Less than
	// 100 ms are expected.
	observe := func(b *balance.Balancer, id string, n int, gap time.Duration) {
		q := q
		q.Include = []string{id}
		for range n {
			l := pick(b, q, now)
			l.ObserveStream(11, 10*gap, now)
			l.Done(balance.Served, now)
		}
	}
	observeSlow := func(b *balance.Balancer, n int) { observe(b, "e0", n, 250*time.Millisecond) }
	// compared returns a Balancer with two endpoints, of which e1 works at the engine's figures.
	compared := func() *balance.Balancer {
		b := withEngine(balancer(engineEndpoints(2)))
		observe(b, "e1", 200, 60*time.Millisecond)
		return b
	}
	places := func(b *balance.Balancer) float64 { return b.Capacities(&q, now)[0].Places }

	It("is slow if its streams show it", func() {
		b := compared()
		observeSlow(b, 7)
		Expect(places(b)).To(BeNumerically("==", 12))
		observeSlow(b, 1)
		Expect(places(b)).To(BeNumerically("<", 12))
		b.ExpirePaces(at(30001))
		Expect(places(b)).To(BeNumerically("==", 12), "no streams for long")
	})
	It("is slow no longer than its streams show it", func() {
		b := compared()
		observeSlow(b, 8)
		observe(b, "e0", 40, 60*time.Millisecond)
		Expect(places(b)).To(BeNumerically("==", 12))
		observeSlow(b, 20)
		b.Update(engineEndpoints(1))
		b.ExpirePaces(at(30000))
		Expect(places(b)).To(BeNumerically("<", 12))
		b.ExpirePaces(at(30001))
		Expect(places(b)).To(BeNumerically("==", 12))
	})
	It("works at its figures once its sidecar says so", func() {
		b := compared()
		observeSlow(b, 8)
		Expect(places(b)).To(BeNumerically("<", 12))
		tell(b, 1, now)
		Expect(places(b)).To(BeNumerically("==", 12))
	})
	It("works at its figures if these are unknown", func() {
		b := balancer(engineEndpoints(2))
		observe(b, "e1", 200, 60*time.Millisecond)
		observeSlow(b, 8)
		Expect(places(b)).To(BeNumerically("==", 12))
	})
	It("may be gone when a stream ends", func() {
		b := compared()
		observeSlow(b, 7)
		l := pick(b, q, now)
		b.Update(engineEndpoints(0))
		l.ObserveStream(11, 2500*time.Millisecond, now)
		Expect(b.Paces()).To(BeEmpty())
	})
})

var _ = Describe("A stream that an endpoint cannot finish by the deadline", func() {
	// An answer of 200 tokens takes 40 ms of prefill and 40 passes of 50 ms at an idle endpoint.
	query := func(left time.Duration) balance.Query {
		return balance.Query{Service: "s", Model: "m", MaxLoad: 1, Work: stream(200, left)}
	}
	It("goes to one that can", func() {
		b := withEngine(balancer(engineEndpoints(2)))
		tell(b, 2.5, now)
		Expect(picks(b, query(4*time.Second), 6)).To(Equal(map[string]int{"e1": 6}))
	})
	It("goes to the only one with few requests", func() {
		b := withEngine(balancer(engineEndpoints(2)))
		b.SetPreferred(map[string]bool{"e0": true})
		picks(b, balance.Query{Service: "s", Model: "m", Include: []string{"e0"}}, 10)
		Expect(picks(b, query(2200*time.Millisecond), 1)).To(Equal(map[string]int{"e1": 1}))
	})
	It("is sent all the same if it might end in time, unless others are full", func() {
		b := withEngine(balancer(engineEndpoints(2)))
		tell(b, 2.5, now)
		q := query(1500 * time.Millisecond)
		Expect(picks(b, q, 1)).To(Equal(map[string]int{"e0": 1}))
		picks(b, balance.Query{Service: "s", Model: "m", Include: []string{"e1"}}, 12)
		_, err := b.Pick(&q, now)
		var full *balance.FullError
		Expect(errors.As(err, &full)).To(BeTrue())
	})
	It("is refused if a quarter of its answer would not end in time anywhere", func() {
		b := withEngine(balancer(engineEndpoints(2)))
		q := query(539 * time.Millisecond)
		_, err := b.Pick(&q, now)
		var late *balance.DeadlineError
		Expect(errors.As(err, &late)).To(BeTrue())
		Expect(late.Service).To(Equal("s"))
	})
	It("is never refused if it has begun", func() {
		b := withEngine(balancer(engineEndpoints(2)))
		q := query(100 * time.Millisecond)
		q.Work.MinEvents, q.MaxLoad = 0, 0
		Expect(picks(b, q, 1)).To(HaveLen(1))
	})
})
