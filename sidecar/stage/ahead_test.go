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

// Guards against endpoints that wait for a newer version and begin to drain only once it is complete,
// when little time is left.
func TestAFleetDrainsBeforeTheNewerVersionIsComplete(t *testing.T) {
	// copyTime is how long a version takes to be complete.
	const copyTime = limit / 3
	play := func(late bool) (changeStats, time.Time) {
		var complete time.Time
		return changeFleet(t, 0.8, true, func(b *testEnv, f *loadedFleet, stagers []*stage.Stager) {
			for _, e := range f.endpoints {
				e.set(func() { e.delay = copyTime * 2 / chunks })
			}
			f.mu.Lock()
			f.alone, f.drainsLate = true, late
			f.mu.Unlock()
			nameVersion(stagers, 2)
			time.Sleep(copyTime)
			nameVersion(stagers, 3)
			complete = time.Now().Add(copyTime)
			time.Sleep(limit)
			f.expectAllRun(b, 3)
		}), complete
	}
	const plays = 5
	var late, ahead int
	for range plays {
		without, _ := play(true)
		with, complete := play(false)
		t.Logf("late  %+v", without)
		t.Logf("ahead %+v", with)
		g := NewWithT(t)
		g.Expect(with.first).To(BeTemporally("~", complete, 250*time.Millisecond))
		g.Expect(with.loads).To(Equal(fleetSize))
		late += without.cut + without.refused
		ahead += with.cut + with.refused
	}
	NewWithT(t).Expect(ahead).To(BeNumerically("<", late), "streams cut or refused")
}
