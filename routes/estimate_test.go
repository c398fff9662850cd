package routes_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/silverdeck/silverdeck/routes"
)

func TestTheQueueThatFitsIntoATime(t *testing.T) {
	engine := routes.Engine{
		Slots: 10, StepTime: 9 * time.Millisecond, StepTimePerRequest: 100 * time.Microsecond, Stride: 5,
		PrefillTokensPerSecond: 20000, MeanPromptTokens: 1000, MeanAnswerTokens: 100,
	}
	// A pass takes 50 ms and an answer 20 passes, so with 10 slots a request completes every
	// 150 ms: 100 ms of generation and 50 ms of prefill for another request.
	for _, c := range []struct {
		within time.Duration
		prompt int
		want   float64
	}{
		{400 * time.Millisecond, 1000, 2},
		{400 * time.Millisecond, 4000, 1},
		{250 * time.Millisecond, 1000, 1},
		{100 * time.Millisecond, 1000, 0},
		{10 * time.Millisecond, 1000, 0},
	} {
		NewWithT(t).Expect(engine.MaxQueue(c.within, c.prompt)).To(BeNumerically("~", c.want, 0.001))
	}
	NewWithT(t).Expect((&routes.Engine{}).MaxQueue(time.Second, 10)).To(BeZero(), "no engine parameters")
}

func TestAPassGrowsWithItsRequests(t *testing.T) {
	g := NewWithT(t)
	engine := routes.Engine{
		Slots: 10, StepTime: 9 * time.Millisecond, StepTimePerRequest: 100 * time.Microsecond, StepTimePerContext: 40 * time.Microsecond,
		Stride: 5, MeanPromptTokens: 900, MeanAnswerTokens: 200,
	}
	// A mean request has 1,000 tokens of context.
	g.Expect(engine.PassTime(0)).To(Equal(45 * time.Millisecond))
	g.Expect(engine.PassTime(1)).To(Equal(45700 * time.Microsecond))
	g.Expect(engine.PassTime(10)).To(Equal(52 * time.Millisecond))
}

func TestThePrefillOfALongPromptTakesLongerForEachToken(t *testing.T) {
	g := NewWithT(t)
	engine := routes.Engine{PrefillTokensPerSecond: 20000, PrefillTimePerPairs: 500 * time.Microsecond}
	g.Expect(engine.Prefill(2000)).To(Equal(101 * time.Millisecond))
	g.Expect(engine.Prefill(20000)).To(Equal(1100 * time.Millisecond))
	g.Expect((&routes.Engine{PrefillTimePerPairs: time.Second}).Prefill(2000)).To(BeZero(), "no rate")
}

func TestTheShortestGapTargetOfAService(t *testing.T) {
	g := NewWithT(t)
	to := func(services ...string) (out []routes.Target) {
		for _, s := range services {
			out = append(out, routes.Target{Service: s, Weight: 1})
		}
		return out
	}
	c := routes.New([]*routes.Route{
		{Name: "a", Kind: routes.Stream, GapTarget: 300 * time.Millisecond, Targets: to("s", "t")},
		{Name: "b", Kind: routes.Stream, GapTarget: 200 * time.Millisecond, Targets: to("s")},
		{Name: "c", Kind: routes.Stream, Targets: to("s", "u")},
		{Name: "d", Kind: routes.Safe, GapTarget: time.Millisecond, Targets: to("s")},
	}, nil)
	g.Expect(c.ShortestGapTarget("s")).To(Equal(200 * time.Millisecond))
	g.Expect(c.ShortestGapTarget("t")).To(Equal(300 * time.Millisecond))
	g.Expect(c.ShortestGapTarget("u")).To(BeZero())
}
