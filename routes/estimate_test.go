package routes_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/silverdeck/silverdeck/routes"
)

func TestTheQueueThatFitsIntoATime(t *testing.T) {
	engine := routes.Engine{
		Slots: 10, Step: 9 * time.Millisecond, PerRequest: 100 * time.Microsecond, Stride: 5,
		ReadPerSecond: 20000, UsualPrompt: 1000, UsualAnswer: 100,
	}
	// A pass takes 50 ms, an answer 20 of them. So a request ends every 100 ms of
	// writing and 50 ms of reading another's prompt.
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
		NewWithT(t).Expect(engine.QueueWithin(c.within, c.prompt)).To(BeNumerically("~", c.want, 0.001))
	}
	NewWithT(t).Expect((&routes.Engine{}).QueueWithin(time.Second, 10)).To(BeZero(), "nothing is known")
}
