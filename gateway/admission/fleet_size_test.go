package admission_test

import (
	"fmt"
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
func TestInALastingOverloadLargeRequestsAreServedLikeOthers(t *testing.T) {
	for _, load := range []float64{1.1, 1.3, 2} {
		t.Run(fmt.Sprintf("at %.1f", load), func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			f := playAll(shape{zones: 3, gateways: 23, endpoints: 13, load: steady(load), deadlines: true})
			f.report(t)
			for s := nextLargest; s <= largest; s++ {
				g.Expect(f.sizes[s].served()).To(BeNumerically(">=", 0.8*f.all.served()), "size %d", s)
			}
		})
	}
}
