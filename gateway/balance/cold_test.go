package balance_test

import (
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/silverdeck/silverdeck/gateway/advisory"
	"github.com/silverdeck/silverdeck/gateway/balance"
	"github.com/silverdeck/silverdeck/gateway/residency"
	"github.com/silverdeck/silverdeck/gateway/work"
	"github.com/silverdeck/silverdeck/roster"
)

// coldEndpoint returns one endpoint that is cold until the given time in milliseconds.
func coldEndpoint(untilMS int) *roster.List {
	l := oneEndpoint(5, 1)
	l.Endpoints["e0"].ColdUntil = at(untilMS)
	return l
}

var twoPerSecond = map[string]balance.ColdLimit{"s": {Duration: time.Second, Rate: 2}}

// coldBalancer returns a Balancer whose service limits cold endpoints to two requests per second.
func coldBalancer(l *roster.List) *balance.Balancer {
	b := balance.New(balance.Config{Zone: "a", OtherLoad: noOtherLoad, Random: zeroRandom})
	b.SetColdLimits(twoPerSecond)
	b.Update(l)
	return b
}

var _ = DescribeTable("ColdRate leaves room for two holders and their tokens",
	func(perSecond, overage, slack, want float64) {
		Expect(balance.ColdRate(perSecond, overage, slack)).To(BeNumerically("~", want, 0.001))
	},
	Entry("no limit", 0.0, 1.5, 5.0, 0.0),
	Entry("half of what is allowed, and tokens of 150 ms", 14.0, 1.5, 5.0, 10.435),
	Entry("no more than it bears", 10.0, 3.0, 5.0, 10.0),
	Entry("a small limit", 1.0, 1.0, 0.0, 0.2),
)

var _ = Describe("A cold endpoint", func() {
	q := balance.Query{Service: "s"}

	It("receives requests from its holder at the limited rate until it is warm", func() {
		b := withHeld(coldBalancer(coldEndpoint(1200)), "e0")
		Expect(acceptTimes(b, q, 0, 1000)).To(Equal([]int{500}))
		Expect(acceptTimes(b, q, 1000, 1300)).To(Equal([]int{1000, 1200, 1210, 1220, 1230, 1240, 1250, 1260, 1270, 1280, 1290}))
	})
	It("receives none from other gateways until it is warm", func() {
		b := coldBalancer(coldEndpoint(900))
		Expect(acceptTimes(b, q, 0, 1000)[0]).To(Equal(900))
	})
	It("tells when it takes the next request, and who holds it", func() {
		b := coldBalancer(coldEndpoint(900))
		_, err := b.Pick(&q, at(0))
		var full *balance.FullError
		Expect(errors.As(err, &full)).To(BeTrue())
		Expect(full.TokenFrom).To(Equal(roster.Incarnation{ID: "e0", Born: 5}))
	})
	It("is not limited where the service has no limit", func() {
		b := balancer(coldEndpoint(900))
		Expect(acceptTimes(b, q, 0, 50)).To(HaveLen(5))
	})
	It("becomes cold again with a later record", func() {
		b := withHeld(coldBalancer(coldEndpoint(0)), "e0")
		Expect(acceptTimes(b, q, 0, 50)).To(HaveLen(5))
		b.Update(coldEndpoint(5000))
		Expect(acceptTimes(b, q, 100, 1200)).To(Equal([]int{100, 600, 1100}))
	})
	It("is limited as soon as the limit is configured", func() {
		b := withHeld(balancer(coldEndpoint(5000)), "e0")
		b.SetColdLimits(twoPerSecond)
		Expect(acceptTimes(b, q, 100, 1200)).To(HaveLen(3))
	})
	It("is limited in its next incarnation only if that is cold", func() {
		b := withHeld(coldBalancer(coldEndpoint(5000)), "e0")
		b.Update(oneEndpoint(6, 1))
		Expect(acceptTimes(b, q, 100, 150)).To(HaveLen(5))
	})
	It("keeps the lower of two limits", func() {
		b := withHeld(coldBalancer(coldEndpoint(60_000)), "e0")
		respondAt(b, q, advisory.PerSecond(0.5), at(1000), at(1010))
		Expect(acceptTimes(b, q, 1010, 7000)).To(Equal([]int{3010, 5010}))
	})
	It("is limited by its holder once another gateway asks for a token, which knows that it is cold", func() {
		b := withHeld(coldBalancer(oneEndpoint(5, 1)), "e0")
		granted := 0
		for ms := 0; ms < 2000; ms += 10 {
			if ok, _ := b.Grant("g2", roster.Incarnation{ID: "e0", Born: 5}, 0, at(ms)); ok {
				granted++
			}
		}
		Expect(granted).To(And(BeNumerically(">", 0), BeNumerically("<=", 2*3+1)), "two a second, a second ahead at most")
	})
	It("makes a gateway ask for a token if it costs less than the others", func() {
		asked := 0
		l := endpoints(2)
		l.Endpoints["e0"].ColdUntil = at(3000)
		b := balance.New(balance.Config{Zone: "a", OtherLoad: noOtherLoad, Random: zeroRandom, OnTokenWanted: func(of roster.Incarnation) {
			Expect(of.ID).To(Equal("e0"))
			asked++
		}})
		b.SetColdLimits(twoPerSecond)
		b.Update(l)
		Expect(pick(b, q, at(0)).Record.ID).To(Equal("e1"))
		Expect(pick(b, q, at(10)).Record.ID).To(Equal("e1"))
		Expect(asked).To(Equal(1), "one request for a token at a time")
		b.ApplyTokenReply(roster.Incarnation{ID: "e0"}, balance.TokenReply{Granted: true, RequestedAt: at(10)}, at(14))
		Expect(pick(b, q, at(60)).Record.ID).To(Equal("e0"))
		Expect(pick(b, q, at(61)).Record.ID).To(Equal("e1"))
	})
	It("is not sent a request with a token whose reply was late", func() {
		b := coldBalancer(coldEndpoint(3000))
		of := roster.Incarnation{ID: "e0", Born: 5}
		b.ApplyTokenReply(of, balance.TokenReply{Granted: true, RequestedAt: at(0)}, at(149))
		Expect(acceptTimes(b, q, 149, 150)).To(HaveLen(1))
		b.ApplyTokenReply(of, balance.TokenReply{Granted: true, RequestedAt: at(200)}, at(350))
		Expect(acceptTimes(b, q, 350, 600)).To(BeEmpty())
	})
	It("stays cold for its holder no longer than others know", func() {
		b := withHeld(coldBalancer(coldEndpoint(1000)), "e0")
		ok, _ := b.Grant("g2", roster.Incarnation{ID: "e0", Born: 5}, 40*time.Millisecond, at(1010))
		Expect(ok).To(BeTrue())
		Expect(acceptTimes(b, q, 1050, 1100)).To(HaveLen(5))
	})
	It("does not make gateways ask whether its limit still applies", func() {
		asked := 0
		b := balance.New(balance.Config{Zone: "a", OtherLoad: noOtherLoad, Random: zeroRandom, OnTokenWanted: func(roster.Incarnation) { asked++ }})
		b.SetColdLimits(twoPerSecond)
		b.Update(coldEndpoint(60_000))
		_ = acceptTimes(b, q, 0, 20_000)
		Expect(asked).To(BeZero())
	})
})

var _ = Describe("The endpoints of a zone that is evacuated", func() {
	q := balance.Query{Service: "s"}

	It("receive nothing, and others carry the load", func() {
		l := endpoints(2)
		l.Endpoints["e1"].Zone = "b"
		b := balancer(l)
		b.SetEvacuated(map[string]bool{"a": true}, at(0))
		for range 5 {
			Expect(pick(b, q, at(10)).Record.ID).To(Equal("e1"))
		}
	})
	It("receive nothing also where there are no others, or after a change of their records", func() {
		b := balancer(oneEndpoint(5, 1))
		b.SetEvacuated(map[string]bool{"a": true}, at(0))
		Expect(acceptTimes(b, q, 0, 50)).To(BeEmpty())
		b.Update(oneEndpoint(6, 2))
		Expect(acceptTimes(b, q, 50, 100)).To(BeEmpty())
		b.Update(&roster.List{})
		b.Update(oneEndpoint(7, 1))
		Expect(acceptTimes(b, q, 100, 150)).To(BeEmpty())
	})
	It("receive nothing if the evacuation is known before they are", func() {
		b := balancer(&roster.List{})
		b.SetEvacuated(map[string]bool{"a": true}, at(0))
		b.Update(oneEndpoint(5, 1))
		Expect(acceptTimes(b, q, 0, 50)).To(BeEmpty())
	})
	It("count as cold once the evacuation ends", func() {
		b := withHeld(coldBalancer(oneEndpoint(5, 1)), "e0")
		b.SetEvacuated(map[string]bool{"a": true}, at(0))
		b.SetEvacuated(nil, at(5000))
		Expect(acceptTimes(b, q, 5000, 6000)).To(Equal([]int{5500}))
		Expect(acceptTimes(b, q, 6000, 6050)).To(HaveLen(5))
	})
	It("are not affected by the end of another evacuation", func() {
		b := withHeld(coldBalancer(oneEndpoint(5, 1)), "e0")
		b.SetEvacuated(map[string]bool{"b": true}, at(0))
		b.SetEvacuated(nil, at(5000))
		Expect(acceptTimes(b, q, 5000, 5050)).To(HaveLen(5))
	})
})

var _ = Describe("The room of a zone", func() {
	q := []balance.Query{{Service: "s", Model: "m", MinVersion: 2}, {Service: "s", Model: "n", MinVersion: 1}}

	It("counts the slots of endpoints that serve any of the queries", func() {
		l := endpoints(5)
		for id, w := range map[string]roster.Weights{"e0": {Model: "m", Version: 2}, "e1": {Model: "m", Version: 1}, "e2": {Model: "n", Version: 1}, "e3": {Model: "m", Version: 3}} {
			l.Endpoints[id].Weights, l.Endpoints[id].Slots = []roster.Weights{w}, 4
		}
		l.Endpoints["e3"].Zone = "b"
		b := balancer(l)
		Expect(b.RoomByZone("s", q, at(0))).To(Equal(map[string]float64{"a": 8, "b": 4}))
		b.SetEvacuated(map[string]bool{"a": true}, at(0))
		Expect(b.RoomByZone("s", q, at(0))).To(Equal(map[string]float64{"b": 4}))
		Expect(b.RoomByZone("other", q, at(0))).To(BeEmpty())
	})
	It("includes cold endpoints, but none that are paused or limited by their own word", func() {
		plain := []balance.Query{{Service: "s"}}
		b := withHeld(coldBalancer(coldEndpoint(60_000)), "e0")
		Expect(b.RoomByZone("s", plain, at(0))).To(HaveLen(1))
		Expect(b.Capacities(&plain[0], at(0))[0].Cold).To(BeTrue())
		respondAt(b, plain[0], advisory.PerSecond(2), at(1000), at(1010))
		Expect(b.RoomByZone("s", plain, at(1010))["a"]).To(BeZero())
		Expect(b.Capacities(&plain[0], at(1010))[0].Cold).To(BeFalse())
		b.ApplyAnnouncement(balance.Announcement{Addr: "e0:1", Born: 5, PausedUntil: at(3000)})
		Expect(b.RoomByZone("s", plain, at(2000))).To(BeEmpty())
	})
})

var _ = Describe("The places of a cold endpoint", func() {
	q := balance.Query{Service: "s"}
	coldWithEngine := func(rate float64) *balance.Balancer {
		l := engineEndpoints(1)
		l.Endpoints["e0"].ColdUntil = at(5000)
		b := balance.New(balance.Config{Zone: "a", OtherLoad: noOtherLoad, Random: zeroRandom})
		b.SetColdLimits(map[string]balance.ColdLimit{"s": {Duration: time.Second, Rate: rate}})
		b.Update(l)
		return withHeld(withEngine(b), "e0")
	}
	roomAt := func(b *balance.Balancer, ms int) float64 { return b.RoomByZone("s", []balance.Query{q}, at(ms))["a"] }
	capacityAt := func(b *balance.Balancer, ms int) balance.Capacity { return b.Capacities(&q, at(ms))[0] }

	It("are those that its rate fills while a mean stream runs", func() {
		mean := work.SpeedOf(&work.Service{Engine: engine, GapTarget: 300 * time.Millisecond}, 12, 1).MeanTime
		b := coldWithEngine(2)
		Expect(roomAt(b, 0)).To(BeNumerically("~", 2*mean.Seconds(), 1e-9))
		c := capacityAt(b, 0)
		Expect(c.Cold).To(BeTrue())
		Expect(c.Room()).To(BeNumerically("~", 2*mean.Seconds(), 1e-9))
		Expect(roomAt(b, 5000)).To(Equal(12.0))
		c = capacityAt(b, 5000)
		Expect(c.Room()).To(Equal(12.0))
	})
	It("are no more than its slots", func() {
		Expect(roomAt(coldWithEngine(1000), 0)).To(Equal(12.0))
	})
	It("are all while nothing is known of its engine", func() {
		b := withHeld(coldBalancer(coldEndpoint(5000)), "e0")
		Expect(roomAt(b, 0)).To(Equal(roomAt(b, 5000)))
		Expect(roomAt(b, 0)).To(BeNumerically(">", 0))
	})
	It("lengthen the expected times of its streams", func() {
		times := func(ms int) time.Duration {
			b, with := coldWithEngine(2), q
			with.Work = stream(100, time.Minute)
			pick(b, with, at(ms+600))
			return pick(b, with, at(ms+1200)).Expected().End
		}
		Expect(times(0)).To(BeNumerically(">", times(10_000)))
	})

	// beside returns a Balancer with the cold endpoint e0, which it holds and which bears two requests
	// a second, so that it has less than a third of 12 places, and e1. Each has the given number of requests.
	beside := func(e0, e1 int) *balance.Balancer {
		l := engineEndpoints(2)
		l.Endpoints["e0"].ColdUntil = at(5000)
		others := map[string]int{"e0": e0, "e1": e1}
		b := balance.New(balance.Config{Zone: "a", OtherLoad: func(of roster.Incarnation) int { return others[of.ID] }, Random: zeroRandom})
		b.SetColdLimits(twoPerSecond)
		b.Update(l)
		b.SetPreferred(map[string]bool{"e0": true, "e1": true})
		return withHeld(withEngine(b), "e0")
	}
	chosen := func(b *balance.Balancer, q balance.Query, ms int) string { return pick(b, q, at(ms)).Record.ID }

	It("make it less loaded than others by those that it lacks", func() {
		Expect(chosen(beside(0, 3), q, 600)).To(Equal("e1"))
		Expect(chosen(beside(0, 5), q, 600)).To(Equal("e0"))
		Expect(chosen(beside(0, 3), q, 5000)).To(Equal("e0"), "once it is warm")
	})
	It("do not keep requests from one that declares a limit, whose answers show when that ends", func() {
		b := beside(0, 3)
		l := pick(b, balance.Query{Service: "s", Include: []string{"e0"}}, at(600))
		l.ApplyAdvisory(advisory.Advisory{Limit: advisory.PerSecond(2)}, at(600), at(600))
		l.Done(balance.Served, at(600))
		Expect(chosen(b, q, 1200)).To(Equal("e0"))
	})
	It("do not make it less loaded while nothing is known of its engine", func() {
		b := beside(0, 3)
		b.SetServices(nil)
		Expect(chosen(b, q, 600)).To(Equal("e0"))
	})
	It("let a stream with little time left go to another", func() {
		with := q
		with.Work = stream(200, 2750*time.Millisecond) // 40 passes take 2.6 s at e1, and .3 s more at a full endpoint
		Expect(chosen(beside(3, 8), with, 600)).To(Equal("e1"))
		Expect(chosen(beside(3, 8), with, 5000)).To(Equal("e0"), "once it is warm")
		with.Work = stream(200, time.Minute)
		Expect(chosen(beside(3, 8), with, 600)).To(Equal("e0"))
	})
})

var _ = Describe("An endpoint that says that it is cold", func() {
	q := balance.Query{Service: "s"}
	say := func(b *balance.Balancer, cold time.Duration, ms int) {
		l := pick(b, q, at(ms))
		l.ApplyAdvisory(advisory.Advisory{Limit: advisory.Unlimited{}, Cold: cold}, at(ms), at(ms))
		l.Done(balance.Served, at(ms))
	}
	accepts := func(b *balance.Balancer, ms int) bool {
		_, err := b.Pick(&q, at(ms))
		return err == nil
	}

	It("gets the requests of one that is cold by its record", func() {
		b := withHeld(coldBalancer(coldEndpoint(0)), "e0")
		say(b, 3*time.Second, 100)
		Expect(accepts(b, 200)).To(BeFalse(), "the first interval starts then")
		Expect(accepts(b, 600)).To(BeTrue())
		Expect(accepts(b, 700)).To(BeFalse())
		Expect(accepts(b, 3100)).To(BeTrue())
		Expect(accepts(b, 3110)).To(BeTrue())
	})
	It("is cold no shorter than it said before", func() {
		b := withHeld(coldBalancer(coldEndpoint(0)), "e0")
		say(b, 3*time.Second, 100)
		say(b, 0, 600)
		say(b, time.Second, 1100)
		Expect(accepts(b, 2900)).To(BeTrue())
		Expect(accepts(b, 2950)).To(BeFalse())
	})
	It("is not limited in a service without a limit", func() {
		b := balancer(endpoints(1))
		say(b, 3*time.Second, 100)
		Expect(accepts(b, 110)).To(BeTrue())
		Expect(accepts(b, 120)).To(BeTrue())
	})
})

var _ = Describe("A request that may be processed in some regions only", func() {
	It("is sent to endpoints there, however busy", func() {
		l := endpoints(3)
		l.Endpoints["e0"].Region, l.Endpoints["e1"].Region = "east", "west"
		b := balancer(l)
		q := balance.Query{Service: "s", Regions: residency.Intersect([]string{"west"})}
		for range 10 {
			Expect(pick(b, q, at(0)).Record.ID).To(Equal("e1"))
		}
	})
	It("is sent nowhere if there are none", func() {
		b := balancer(endpoints(3))
		q := balance.Query{Service: "s", Regions: residency.Intersect([]string{"west"})}
		_, err := b.Pick(&q, at(0))
		var none *balance.NoEndpointError
		Expect(errors.As(err, &none)).To(BeTrue())
	})
})

// coldFleet simulates gateways that compete for one cold endpoint.
type coldFleet struct {
	gateways []*balance.Balancer
	sent     []int
}

var coldID = roster.Incarnation{ID: "e0", Born: 5}

// step has each gateway send what it may at the given time in milliseconds, and those that hold
// nothing request a token from a holder every 200 ms.
func (f *coldFleet) step(ms int, holders []int, use func(g int) bool) {
	for g, b := range f.gateways {
		if use(g) {
			if _, err := b.Pick(&balance.Query{Service: "s"}, at(ms)); err == nil {
				f.sent = append(f.sent, ms)
			}
		}
		if asks := ms%200 == g*4; asks && !slices.Contains(holders, g) {
			holder := f.gateways[holders[g%len(holders)]]
			granted, opensIn := holder.Grant(fmt.Sprint(g), coldID, time.Minute, at(ms))
			b.ApplyTokenReply(coldID, balance.TokenReply{Granted: granted, OpensIn: opensIn, RequestedAt: at(ms)}, at(ms))
		}
	}
}

// most returns the largest number of requests within one second.
func (f *coldFleet) most() int {
	out := 0
	for i := range f.sent {
		n := 0
		for _, t := range f.sent[i:] {
			if t < f.sent[i]+1000 {
				n++
			}
		}
		out = max(out, n)
	}
	return out
}

// Guards against a cold endpoint that falls over: all gateways want to send there, two of them
// consider themselves its holder, and tokens are saved up and used at the same moment. The
// endpoint bears 26 requests per second, and the platform allows 1.5 times that and 5 more.
func TestAColdEndpointGetsNoMoreThanItsBound(t *testing.T) {
	const perSecond, overage, slack = 26.0, 1.5, 5.0
	limit := map[string]balance.ColdLimit{"s": {Duration: 3 * time.Second, Rate: balance.ColdRate(perSecond, overage, slack)}}
	for _, holders := range [][]int{{0}, {0, 1}} {
		for name, use := range map[string]func(ms, g int) bool{
			"at once":      func(int, int) bool { return true },
			"saved up":     func(ms, g int) bool { return g < 2 || ms%1000 >= 850 && ms%1000 < 1000 },
			"in bursts":    func(ms, _ int) bool { return ms%200 < 20 },
			"each at last": func(ms, g int) bool { return g < 2 || ms%149 == 0 },
		} {
			g := NewWithT(t)
			f := &coldFleet{}
			for range 44 {
				f.gateways = append(f.gateways, balance.New(balance.Config{Zone: "a", OtherLoad: noOtherLoad, Random: zeroRandom}))
			}
			for i, b := range f.gateways {
				b.SetColdLimits(limit)
				b.Update(coldEndpoint(60_000))
				if slices.Contains(holders, i) {
					withHeld(b, "e0")
				}
			}
			for ms := range 6000 {
				f.step(ms, holders, func(g int) bool { return use(ms, g) })
			}
			t.Logf("%d holders, used %s: %d in one second", len(holders), name, f.most())
			g.Expect(f.most()).To(BeNumerically("<=", overage*perSecond+slack), "%d holders, %s", len(holders), name)
			g.Expect(len(f.sent)).To(BeNumerically(">", 30))
		}
	}
}
