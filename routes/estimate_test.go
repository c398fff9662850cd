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
