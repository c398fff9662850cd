package stage_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/silverdeck/silverdeck/sidecar/stage"
)

// answers are of an engine whose slots are all taken, by answers of 1.2 s.
var answers = stage.Capacity{Slots: 16, AnswerTime: 1200 * time.Millisecond}

// Guards against a load that cuts what runs although others could carry its endpoint's
// requests: many endpoints at once cut more streams than the retry budget can move.
func TestAnEndpointWithALeaseDrainsForAsLongAsItsAnswersTake(t *testing.T) {
	play(t, 1, func(g *WithT, m *machine, s *stage.Stager) {
		m.set(func() { m.running, m.capacity, m.leases = 16, answers, true })
		named := time.Now()
		s.Want("m", 2, false)
		time.Sleep(limit)
		g.Expect(m.versions()).To(Equal([]int64{2}))
		g.Expect(m.pauses[0].Sub(named)).To(BeNumerically("~", limit*36/100, 200*time.Millisecond), "as soon as it may")
		g.Expect(m.seen().orders[0].at.Sub(m.pauses[0])).To(BeNumerically("~", 1540*time.Millisecond, 50*time.Millisecond))
		g.Expect(m.leasesAsked).To(HaveLen(1))
	})
}

// Guards against an endpoint that waits for a lease until the limit of its weights has come.
func TestAnEndpointWithoutALeaseChangesAtTheTimeThatItDrew(t *testing.T) {
	play(t, 1, func(g *WithT, m *machine, s *stage.Stager) {
		m.set(func() { m.running, m.capacity = 16, answers })
		named := time.Now()
		s.Want("m", 2, false)
		time.Sleep(limit)
		g.Expect(m.versions()).To(Equal([]int64{2}))
		g.Expect(m.seen().orders[0].at.Sub(named)).To(BeNumerically("<", limit*9/10))
		g.Expect(m.leasesAsked[0].Sub(named)).To(BeNumerically(">=", limit*36/100))
		g.Expect(len(m.leasesAsked)).To(BeNumerically("<=", 40), "no more often than it is told to")
	})
}

// Guards against an endpoint that cuts all that runs there, at a time of its own, although
// others could carry its requests a moment later.
func TestAnEndpointWaitsForALeaseThatIsToCome(t *testing.T) {
	for name, c := range map[string]struct{ given, want time.Duration }{
		"and comes":            {limit * 80 / 100, limit*80/100 + 1540*time.Millisecond},
		"and comes in no time": {limit, limit * 85 / 100},
	} {
		t.Run(name, func(t *testing.T) {
			play(t, 1, func(g *WithT, m *machine, s *stage.Stager) {
				m.set(func() { m.running, m.capacity, m.leaseComes = 16, answers, true })
				named := time.Now()
				s.Want("m", 2, false)
				time.AfterFunc(c.given, func() { m.set(func() { m.leases = true }) })
				time.Sleep(limit)
				g.Expect(m.versions()).To(Equal([]int64{2}))
				g.Expect(m.seen().orders[0].at.Sub(named)).To(BeNumerically("~", min(c.want, limit-600*time.Millisecond), 250*time.Millisecond))
			})
		})
	}
}
