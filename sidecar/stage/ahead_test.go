package stage_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/silverdeck/silverdeck/sidecar/stage"
)

func TestAwaitsNewer(t *testing.T) {
	for name, c := range map[string]struct {
		newerIn, waited time.Duration
		want            bool
	}{
		"none expected":            {0, 0, false},
		"before a load would end":  {500 * time.Millisecond, 0, true},
		"after it would end":       {501 * time.Millisecond, 0, false},
		"waits for its last chunk": {time.Millisecond, 499 * time.Millisecond, true},
		"has waited too long":      {time.Millisecond, 500 * time.Millisecond, false},
	} {
		NewWithT(t).Expect(stage.AwaitsNewer(c.newerIn, c.waited)).To(Equal(c.want), name)
	}
}

// Guards against an endpoint that drains for a newer version and then loads the older one, or that
// takes no requests until a newer version comes that does not.
func TestAnEndpointThatDrainsAheadLoadsTheNewerVersionIfItComes(t *testing.T) {
	const (
		drain = 20 * time.Millisecond
		// ahead is the number of chunks of the newer version that are read before the drain.
		ahead = chunks - 2
	)
	for name, c := range map[string]struct {
		// delay is that of the newer version's chunks once the endpoint drains.
		delay time.Duration
		first int64
	}{
		"comes":         {300 * time.Millisecond, 3},
		"does not come": {time.Minute, 2},
	} {
		t.Run(name, func(t *testing.T) {
			runStager(t, 1, func(g *WithT, m *fakeVM, s *stage.Stager) {
				m.set(func() {
					m.running, m.capacity = 16, fullCapacity
					m.delay = 50 * time.Millisecond
					m.lease = &stage.Lease{Scheduled: true, RetryAfter: 100 * time.Millisecond}
				})
				s.SetTarget("m", 2, false)
				time.Sleep(limit / 2)
				s.SetTarget("m", 3, false)
				for m.snapshot().reads < chunks+ahead {
					time.Sleep(10 * time.Millisecond)
				}
				granted := time.Now()
				m.set(func() {
					m.lease = &stage.Lease{Granted: true, Scheduled: true, Drain: drain, RetryAfter: 100 * time.Millisecond}
					m.delay = c.delay
				})
				time.Sleep(2 * time.Second)
				orders := m.snapshot().orders
				g.Expect(orders).NotTo(BeEmpty())
				g.Expect(orders[0].version).To(Equal(c.first))
				g.Expect(orders[0].at.Sub(granted)).To(BeNumerically("<=", time.Second))
			})
		})
	}
}
