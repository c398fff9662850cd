package admission_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// size is a class of callers by the size of their requests.
type size int

// The classes of sizes: the largest tenth, the fifth below it, and the others.
const (
	usual size = iota
	nextLargest
	largest
	sizes
)

// draw sets the size of a caller's request. The largest tenth takes three times as long as the others. With
// deadlines it takes .75 to .95 of the time to its deadline, and half of the callers tell a guess that is
// right at the median, which the mean stands for at the others.
func (c *caller) draw(r *rand.Rand, deadlines bool) {
	isLargest, factor := r.Float64() < 0.1, r.Float64()
	c.run = time.Duration(float64(meanRun) / 1.2 * (0.5 + factor))
	switch {
	case isLargest:
		c.size = largest
		c.run *= 3
	case factor > 7.0/9:
		c.size = nextLargest
	}
	c.estimate = c.run
	if !deadlines {
		return
	}
	if isLargest {
		c.run = time.Duration((0.75 + 0.2*factor) * float64(patience))
	}
	c.estimate = meanRun
	if r.Float64() < 0.5 {
		c.estimate = time.Duration(float64(c.run) * math.Exp(0.5*r.NormFloat64()))
	}
}

// Guards against a shortage that is served with small requests only. Answers of the largest tenth take
// 4.5 to 5.7 s of a deadline of 6 s: a caller who is told to return 2 s later has come in vain.
func TestInAnOverloadLargeRequestsAreServedLikeOthers(t *testing.T) {
	for name, load := range map[string]func(time.Duration) float64{
		"at 1.1": steady(1.1), "at 1.3": steady(1.3), "at 2.0": steady(2), "a jump": jump,
	} {
		for _, s := range []shape{
			{name: "69 gateways, 39 endpoints", zones: 3, gateways: 23, endpoints: 13, seeds: 4},
			{name: "9 gateways, 12 endpoints", zones: 3, gateways: 3, endpoints: 4, seeds: 12},
		} {
			s.load, s.deadlines = load, true
			t.Run(s.name+", "+name, func(t *testing.T) {
				t.Parallel()
				g := NewWithT(t)
				f := playAll(s)
				f.report(t)
				expectLargeOnesAreServed(t, g, f)
			})
		}
	}
}

// expectLargeOnesAreServed checks that large requests are served hardly less often than others of their kind.
func expectLargeOnesAreServed(t *testing.T, g Gomega, f *total) {
	t.Helper()
	for r := range f.kinds {
		all := f.ranks[r].served()
		t.Logf("rank %d: served %.3f, of the largest tenth %.3f, of the next fifth %.3f", r, all, f.kinds[r][largest].served(), f.kinds[r][nextLargest].served())
		for s := nextLargest; s <= largest; s++ {
			g.Expect(f.kinds[r][s].served()).To(BeNumerically(">=", 0.8*all), "rank %d, size %d", r, s)
		}
	}
}
