package stage_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/silverdeck/silverdeck/sidecar/stage"
)

// fullCapacity is that of an engine with all slots taken by responses of 1.2 s.
var fullCapacity = stage.Capacity{Slots: 16, AnswerTime: 1200 * time.Millisecond}

// Guards against a load that interrupts running requests although other endpoints have
// capacity for them: many endpoints doing so at once interrupt more streams than the retry
// budget can move.
func TestDrainWithLeaseWaitsForResponses(t *testing.T) {
	runStager(t, 1, func(g *WithT, m *fakeVM, s *stage.Stager) {
		m.set(func() { m.running, m.capacity, m.leaseGranted = 16, fullCapacity, true })
		named := time.Now()
		s.SetTarget("m", 2, false)
		time.Sleep(limit)
		g.Expect(m.loadOrders()).To(Equal([]int64{2}))
		g.Expect(m.pauses[0].Sub(named)).To(BeNumerically("~", limit*36/100, 200*time.Millisecond), "at the earliest permitted time")
		g.Expect(m.snapshot().orders[0].at.Sub(m.pauses[0])).To(BeNumerically("~", 1540*time.Millisecond, 50*time.Millisecond))
		g.Expect(m.leaseRequests).To(HaveLen(1))
	})
}

// Guards against an endpoint that waits for a lease until its weights have expired.
func TestEndpointWithoutLeaseSwitchesAtItsOffset(t *testing.T) {
	runStager(t, 1, func(g *WithT, m *fakeVM, s *stage.Stager) {
		m.set(func() { m.running, m.capacity = 16, fullCapacity })
		named := time.Now()
		s.SetTarget("m", 2, false)
		time.Sleep(limit)
		g.Expect(m.loadOrders()).To(Equal([]int64{2}))
		g.Expect(m.snapshot().orders[0].at.Sub(named)).To(BeNumerically("<", limit*9/10))
		g.Expect(m.leaseRequests[0].Sub(named)).To(BeNumerically(">=", limit*36/100))
		g.Expect(len(m.leaseRequests)).To(BeNumerically("<=", 40), "no more often than permitted")
	})
}

// Guards against an endpoint that interrupts all its requests at its individual switch time
// although other endpoints would have capacity for them a moment later.
func TestAnEndpointWaitsForALeaseThatIsToCome(t *testing.T) {
	for name, c := range map[string]struct{ given, want time.Duration }{
		"granted in time":     {limit * 80 / 100, limit*80/100 + 1540*time.Millisecond},
		"not granted in time": {limit, limit * 85 / 100},
	} {
		t.Run(name, func(t *testing.T) {
			runStager(t, 1, func(g *WithT, m *fakeVM, s *stage.Stager) {
				m.set(func() { m.running, m.capacity, m.leaseLater = 16, fullCapacity, true })
				named := time.Now()
				s.SetTarget("m", 2, false)
				time.AfterFunc(c.given, func() { m.set(func() { m.leaseGranted = true }) })
				time.Sleep(limit)
				g.Expect(m.loadOrders()).To(Equal([]int64{2}))
				g.Expect(m.snapshot().orders[0].at.Sub(named)).To(BeNumerically("~", min(c.want, limit-600*time.Millisecond), 250*time.Millisecond))
			})
		})
	}
}
