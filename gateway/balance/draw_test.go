package balance_test

import (
	"errors"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/silverdeck/silverdeck/gateway/advisory"
	"github.com/silverdeck/silverdeck/gateway/balance"
	"github.com/silverdeck/silverdeck/gateway/residency"
	"github.com/silverdeck/silverdeck/roster"
)

// drawnFleet is a random fleet that is large enough for selections to draw samples, with what one gateway
// knows of it.
type drawnFleet struct {
	list               *roster.List
	preferred, held    map[string]bool
	loads              map[string]int
	suspected, ejected map[string]bool
	paused, resting    map[string]bool
	limited, evacuated map[string]bool
	// silent and responding have a request of this gateway.
	silent, responding map[string]bool
}

// subset returns each endpoint with the given probability.
func subset(draw *rand.Rand, l *roster.List, share float64) map[string]bool {
	out := map[string]bool{}
	for _, id := range slices.Sorted(maps.Keys(l.Endpoints)) {
		if draw.Float64() < share {
			out[id] = true
		}
	}
	return out
}

// oneOf returns one of values at random.
func oneOf[T any](draw *rand.Rand, values ...T) T {
	return values[draw.IntN(len(values))]
}

func drawFleet(draw *rand.Rand) *drawnFleet {
	l := engineEndpoints(70 + draw.IntN(300))
	f := &drawnFleet{list: l, loads: map[string]int{}}
	latest := oneOf(draw, 0.0, 0.01, 0.5, 1, 1)
	leaving, cold := oneOf(draw, 0.0, 0.0, 0.0, 0.1, 1), oneOf(draw, 0.0, 0.0, 0.1, 1)
	least, most := draw.IntN(16), oneOf(draw, 1, 6, 16)
	for _, id := range slices.Sorted(maps.Keys(l.Endpoints)) {
		e := l.Endpoints[id]
		e.Zone = oneOf(draw, "a", "a", "b", "c")
		e.Region = oneOf(draw, "east", "west")
		e.Leaving = draw.Float64() < leaving
		if draw.Float64() < latest {
			e.Weights[0].Version = 2
		}
		if draw.Float64() < cold {
			e.ColdUntil = at(5000)
		}
		f.loads[id] = least + draw.IntN(most)
	}
	share := func() map[string]bool { return subset(draw, l, oneOf(draw, 0, 0, 0, 0, 0.05, 0.6, 1)) }
	f.preferred, f.held = subset(draw, l, oneOf(draw, 0, 0.03, 0.2)), subset(draw, l, 0.1)
	f.suspected, f.ejected, f.paused = share(), share(), share()
	f.resting, f.limited = share(), share()
	f.silent, f.responding = share(), share()
	f.evacuated = map[string]bool{"a": draw.IntN(8) == 0, "b": draw.IntN(4) == 0}
	return f
}

// balancer returns a Balancer that knows f.
func (f *drawnFleet) balancer(random func() float64) *balance.Balancer {
	b := balance.New(balance.Config{
		Zone: "a", Random: random,
		OtherLoad: func(of roster.Incarnation) int { return f.loads[of.ID] },
		Suspected: func(of roster.Incarnation) bool { return f.suspected[of.ID] },
	})
	b.SetColdLimits(twoPerSecond)
	b.Update(f.list)
	withEngine(b)
	for id := range f.list.Endpoints {
		f.tell(b, id)
	}
	b.NoteTraffic(at(-10))
	b.SetPreferred(f.preferred)
	b.SetHeld(f.held, at(-1000))
	b.SetEvacuated(f.evacuated, at(0))
	return b
}

// tell has b learn of the state of an endpoint from its sidecar and from the answer to a request.
func (f *drawnFleet) tell(b *balance.Balancer, id string) {
	if f.paused[id] {
		b.ApplyAnnouncement(balance.Announcement{Addr: id + ":1", PausedUntil: at(5000)})
	}
	f.send(b, id)
	if !f.ejected[id] && !f.resting[id] && !f.limited[id] {
		return
	}
	l, err := b.Pick(&balance.Query{Service: "s", Include: []string{id}}, at(-2000))
	if err != nil {
		delete(f.ejected, id) // it takes no requests anyway
		return
	}
	a := advisory.Advisory{Limit: advisory.Unlimited{}}
	if f.limited[id] {
		a.Limit = advisory.PerSecond(3)
	}
	if f.resting[id] {
		a.RetryAfter = 4 * time.Second
	}
	l.ApplyAdvisory(a, at(-2000), at(-1000))
	if f.ejected[id] {
		l.Done(balance.Unreachable, at(-100))
		return
	}
	l.Done(balance.Served, at(-1000))
}

// send has a request run at an endpoint.
func (f *drawnFleet) send(b *balance.Balancer, id string) {
	if !f.silent[id] && !f.responding[id] {
		return
	}
	l, err := b.Pick(&balance.Query{Service: "s", Include: []string{id}}, at(-1000))
	if err == nil && f.responding[id] {
		l.Received(at(-450))
	}
}

func (f *drawnFleet) query(draw *rand.Rand) balance.Query {
	ids := slices.Sorted(maps.Keys(f.list.Endpoints))
	q := balance.Query{
		Service: "s", Model: oneOf(draw, "", "m", "m", "m", "m", "n"), MinVersion: oneOf(draw, int64(0), 1, 1, 2, 2, 3),
		MaxLoad: oneOf(draw, 0, 0.5, 1, 1.25), Admitted: draw.IntN(4) == 0, Healthy: draw.IntN(4) == 0,
		LeastLoaded: draw.IntN(10) == 0, MaxIdle: oneOf(draw, 0, 0, 500*time.Millisecond),
		LatestVersion: oneOf(draw, int64(0), 0, 2),
		Work:          stream(200, oneOf(draw, 500*time.Millisecond, 2500*time.Millisecond, time.Minute)),
		Regions:       oneOf(draw, residency.Regions{}, residency.Regions{}, residency.Regions{}, residency.Intersect([]string{"west"}), residency.Intersect([]string{"north"})),
	}
	if draw.IntN(3) == 0 {
		q.Exclude = ids[:draw.IntN(len(ids))]
	}
	if draw.IntN(3) == 0 {
		q.Vacated = oneOf(draw, ids...)
	}
	return q
}

// outcome describes what became of a request, without what depends on draws: which endpoint of many was
// chosen, and whose holder of many is asked.
func (f *drawnFleet) outcome(l *balance.Lease, err error, q *balance.Query) string {
	var full *balance.FullError
	if errors.As(err, &full) {
		return fmt.Sprintf("full, opens in %v, token %v", full.OpensIn, full.OpensIn > 0 && full.TokenFrom.ID != "")
	}
	if err != nil {
		return fmt.Sprintf("%T %+v", err, err)
	}
	id := l.Record.ID
	if f.ejected[id] || f.paused[id] || f.suspected[id] {
		return "chosen, though out of use"
	}
	return fmt.Sprintf("chosen: vacated %v, ends late %v", id == q.Vacated, l.Expected().End > q.Work.Left)
}

// walking returns q as a query for which all endpoints are looked at.
func (f *drawnFleet) walking(q balance.Query) balance.Query {
	q.Include = slices.Sorted(maps.Keys(f.list.Endpoints))
	return q
}

// Guards against a drawn sample that changes what becomes of a request where few endpoints, or none,
// qualify: with all full, ejected, paused, suspected, at rest, limited, cold, or evacuated.
func TestAPickThatDrawsSamplesEndsAsOneThatLooksAtAll(t *testing.T) {
	seen := map[string]int{}
	for seed := range uint64(150) {
		g := NewWithT(t)
		draw := rand.New(rand.NewPCG(seed, 1))
		f := drawFleet(draw)
		q := f.query(draw)
		all := f.walking(q)
		walked, walkErr := f.balancer(draw.Float64).Pick(&all, at(0))
		drawn, drawErr := f.balancer(draw.Float64).Pick(&q, at(0))
		want := f.outcome(walked, walkErr, &q)
		g.Expect(f.outcome(drawn, drawErr, &q)).To(Equal(want), "seed %d: %+v", seed, q)
		seen[want]++
	}
	for outcome, n := range seen {
		t.Log(n, outcome)
	}
}

// shares returns the share of picks for q that each endpoint gets. None changes the state of another.
func shares(b *balance.Balancer, q *balance.Query, picks int) map[string]float64 {
	out := map[string]float64{}
	for range picks {
		l, err := b.Pick(q, now)
		if err != nil {
			continue
		}
		out[l.Record.ID] += 1 / float64(picks)
		l.Done(balance.Neutral, now)
	}
	return out
}

// Guards against draws that prefer some endpoints: each endpoint gets as many requests as where all are
// looked at, whatever part of them qualifies, and whichever zones have more.
func TestAPickThatDrawsSamplesPrefersNone(t *testing.T) {
	const picks = 10_000
	for name, change := range map[string]func(*drawnFleet, *balance.Query, *rand.Rand){
		"all usable":            func(*drawnFleet, *balance.Query, *rand.Rand) {},
		"some preferred":        func(f *drawnFleet, _ *balance.Query, draw *rand.Rand) { f.preferred = subset(draw, f.list, 0.05) },
		"loads differ":          func(f *drawnFleet, _ *balance.Query, draw *rand.Rand) { f.drawLoads(draw, 12) },
		"a third is full":       func(f *drawnFleet, q *balance.Query, draw *rand.Rand) { q.MaxLoad = 0.66; f.drawLoads(draw, 12) },
		"half have the weights": func(f *drawnFleet, q *balance.Query, draw *rand.Rand) { q.Model, q.MinVersion = "m", 2 },
		"a quarter was tried": func(f *drawnFleet, q *balance.Query, draw *rand.Rand) {
			q.Exclude = slices.Sorted(maps.Keys(subset(draw, f.list, 0.25)))
		},
		"one region only":           func(_ *drawnFleet, q *balance.Query, _ *rand.Rand) { q.Regions = residency.Intersect([]string{"west"}) },
		"a third is suspected":      func(f *drawnFleet, _ *balance.Query, draw *rand.Rand) { f.suspected = subset(draw, f.list, 0.34) },
		"the own zone is evacuated": func(f *drawnFleet, _ *balance.Query, _ *rand.Rand) { f.evacuated = map[string]bool{"a": true} },
		"the own zone is small": func(f *drawnFleet, _ *balance.Query, _ *rand.Rand) {
			for id, e := range f.list.Endpoints {
				if e.Zone == "a" && id != "e0" && id != "e1" {
					e.Zone = "b"
				}
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			draw := rand.New(rand.NewPCG(1, 1))
			f := &drawnFleet{list: engineEndpoints(70), loads: map[string]int{}}
			for i := range 70 {
				e := f.list.Endpoints[fmt.Sprintf("e%d", i)]
				e.Zone, e.Region = oneOf(draw, "a", "b", "c"), oneOf(draw, "east", "west")
				e.Weights[0].Version = oneOf(draw, int64(1), 2)
			}
			q := balance.Query{Service: "s"}
			change(f, &q, draw)
			g.Expect(balance.DrawsSamples(70, &q)).To(BeTrue())
			all := f.walking(q)
			want, got := shares(f.balancer(draw.Float64), &all, picks), shares(f.balancer(draw.Float64), &q, picks)
			for id := range f.list.Endpoints {
				// Either share is a mean of draws, and varies by the root of its variance.
				spread := math.Sqrt((want[id]*(1-want[id]) + 1/float64(picks)) * 2 / picks)
				g.Expect(got[id]).To(BeNumerically("~", want[id], 5*spread), id)
			}
		})
	}
}

// drawLoads draws the number of other gateways' requests at each endpoint.
func (f *drawnFleet) drawLoads(draw *rand.Rand, most int) {
	for _, id := range slices.Sorted(maps.Keys(f.list.Endpoints)) {
		f.loads[id] = draw.IntN(most)
	}
}

// Guards against an index that doesn't follow what changes between two requests: what is preferred, cold,
// limited, at rest, or evacuated, and which endpoints there are.
func TestAPickThatDrawsSamplesFollowsWhatChanges(t *testing.T) {
	g := NewWithT(t)
	l := engineEndpoints(100)
	f := &drawnFleet{list: l}
	b := f.balancer(rand.New(rand.NewPCG(1, 1)).Float64)
	q := balance.Query{Service: "s"}
	got := func(ms int) map[string]bool {
		out := map[string]bool{}
		for range 2000 {
			lease, err := b.Pick(&q, at(ms))
			g.Expect(err).NotTo(HaveOccurred())
			out[lease.Record.ID] = true
			lease.Done(balance.Neutral, at(ms))
		}
		return out
	}
	g.Expect(got(0)).To(HaveLen(100))

	b.SetPreferred(map[string]bool{"e1": true, "e2": true})
	g.Expect(got(0)).To(Equal(map[string]bool{"e1": true, "e2": true}), "idle ones that it prefers")
	b.SetPreferred(nil)
	g.Expect(got(0)).To(HaveLen(100))

	with := balance.Query{Service: "s", Include: []string{"e3"}}
	lease, err := b.Pick(&with, at(0))
	g.Expect(err).NotTo(HaveOccurred())
	lease.ApplyAdvisory(advisory.Advisory{Limit: advisory.Unlimited{}, RetryAfter: time.Second}, at(0), at(0))
	lease.Done(balance.Served, at(0))
	g.Expect(got(10)).To(And(HaveLen(99), Not(HaveKey("e3"))), "it rests")
	g.Expect(got(1010)).To(HaveLen(100))

	b.MergeAdvisories([]advisory.Record{{Endpoint: l.Endpoints["e4"].Incarnation(), Limit: advisory.PerSecond(1), HeardAt: at(1100)}}, at(1100))
	g.Expect(got(1200)).To(And(HaveLen(99), Not(HaveKey("e4"))), "another gateway heard of a limit")
	g.Expect(got(1100+5000)).To(HaveLen(100), "nobody confirms it")

	// only tells whether the gateway, which holds an endpoint, sends it the next request for certain.
	only := func(id string, ms int) {
		t.Helper()
		lease, err := b.Pick(&q, at(ms))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(lease.Record.ID).To(Equal(id))
		lease.Done(balance.Neutral, at(ms))
	}
	b.SetHeld(map[string]bool{"e4": true, "e5": true}, at(6200))
	only("e4", 7300) // it knew of a limit and confirms it now
	b.MergeAdvisories([]advisory.Record{{Endpoint: l.Endpoints["e4"].Incarnation(), Limit: advisory.Unlimited{}, HeardAt: at(7400)}}, at(7400))
	g.Expect(got(7500)).To(HaveLen(100))
	b.MergeAdvisories([]advisory.Record{{Endpoint: l.Endpoints["e5"].Incarnation(), Limit: advisory.PerSecond(10), HeardAt: at(7500)}}, at(7500))
	for ms := 7700; ms < 8200; ms += 100 {
		only("e5", ms)
	}
	b.MergeAdvisories([]advisory.Record{{Endpoint: l.Endpoints["e5"].Incarnation(), Limit: advisory.Unlimited{}, HeardAt: at(8200)}}, at(8200))

	b.SetEvacuated(map[string]bool{"a": true}, at(8500))
	_, err = b.Pick(&q, at(8500))
	g.Expect(err).To(BeAssignableToTypeOf(&balance.NoEndpointError{}))
	b.SetEvacuated(nil, at(8600))
	_, err = b.Pick(&q, at(8600))
	g.Expect(err).To(BeAssignableToTypeOf(&balance.FullError{}), "all are cold")
	g.Expect(got(9700)).To(HaveLen(100), "all are warm")

	next := engineEndpoints(120)
	next.Endpoints["e8"].Born = 3
	next.Endpoints["e6"].ColdUntil = at(60_000)
	delete(next.Endpoints, "e7")
	b.Update(next)
	g.Expect(got(9800)).To(And(HaveLen(118), Not(HaveKey("e6")), Not(HaveKey("e7"))))
	b.SetColdLimits(nil)
	g.Expect(got(9850)).To(HaveLen(119))
	b.SetHeld(map[string]bool{"e6": true}, at(9850))
	g.Expect(got(9900)).To(HaveLen(119))
	b.SetColdLimits(twoPerSecond)
	only("e6", 9950)
	b.ApplyAnnouncement(balance.Announcement{Addr: "e8:1", Born: 5, PausedUntil: at(11000)})
	g.Expect(got(9990)).To(And(HaveLen(117), Not(HaveKey("e6")), Not(HaveKey("e8"))), "it started again and loads")
}

// Guards against endpoints that are gone and still count as silent, so that no other would be tried.
func TestAnEndpointThatIsGoneIsNotSilent(t *testing.T) {
	restarted, removed := endpoints(100), endpoints(100)
	for i := range 4 {
		restarted.Endpoints[fmt.Sprintf("e%d", i)].Born = 7
		delete(removed.Endpoints, fmt.Sprintf("e%d", i))
	}
	for _, next := range []*roster.List{restarted, removed} {
		g := NewWithT(t)
		running := endpoints(100)
		for i := range 4 {
			running.Endpoints[fmt.Sprintf("e%d", i)].Born = 5
		}
		b := balancer(running)
		for i := range 4 {
			_, err := b.Pick(&balance.Query{Service: "s", Include: []string{fmt.Sprintf("e%d", i)}}, at(0))
			g.Expect(err).NotTo(HaveOccurred())
		}
		b.NoteTraffic(at(2000))
		q := balance.Query{Service: "s", MaxIdle: 500 * time.Millisecond}
		_, err := b.Pick(&q, at(2000))
		g.Expect(err).To(BeAssignableToTypeOf(&balance.NoEndpointError{}), "all that run something are silent")
		b.Update(next)
		_, err = b.Pick(&q, at(2000))
		g.Expect(err).NotTo(HaveOccurred())
	}
}

// Guards against draws that miss the only endpoint of many that qualifies.
func TestAPickThatDrawsSamplesFindsTheOnlyOne(t *testing.T) {
	for name, change := range map[string]func(*drawnFleet, *balance.Query){
		"with the weights":      func(f *drawnFleet, q *balance.Query) { q.Model, q.MinVersion = "m", 2 },
		"that is not full":      func(f *drawnFleet, q *balance.Query) { q.MaxLoad = 0.5; f.loads["e7"] = 0 },
		"that is not suspected": func(f *drawnFleet, _ *balance.Query) { f.suspected = without(f.list, "e7") },
		"that is not paused":    func(f *drawnFleet, _ *balance.Query) { f.paused = without(f.list, "e7") },
		"that was vacated":      func(_ *drawnFleet, q *balance.Query) { q.Vacated = "e7" },
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			f := &drawnFleet{list: engineEndpoints(500), loads: map[string]int{}}
			for id := range f.list.Endpoints {
				f.loads[id] = 6
			}
			f.list.Endpoints["e7"].Weights[0].Version = 2
			q := balance.Query{Service: "s"}
			change(f, &q)
			b := f.balancer(rand.New(rand.NewPCG(1, 1)).Float64)
			for range 20 {
				l, err := b.Pick(&q, at(0))
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(l.Record.ID).To(Equal("e7"))
				l.Done(balance.Neutral, at(0))
			}
		})
	}
}

// without returns all endpoints but one.
func without(l *roster.List, id string) map[string]bool {
	out := map[string]bool{}
	for other := range l.Endpoints {
		out[other] = other != id
	}
	return out
}
