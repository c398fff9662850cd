package stage_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/silverdeck/silverdeck/sidecar/stage"
)

// Guards against responses from weights that were superseded longer than the limit before.
//
// Chunks of a newer version arrive late over a narrow link, several at a time, and delay
// requests. A request sent to the old weights 1 s before the limit is canceled when gateways
// stop sending to them, 0.8 s before the limit. By then it is in transit and arrives past
// the limit, at an endpoint that still has the old weights loaded. Senders cannot withdraw
// such a request, so the endpoint itself must stop using the weights. Of ten such requests,
// nine could be traced: all were canceled in time and arrived 0.7 to 0.9 s later, over a link
// of 1.2 Mbit/s shared by two downloads.
func TestNothingBeginsOnWeightsPastTheirLimitHoweverLateItArrives(t *testing.T) {
	runStager(t, 1, func(g *WithT, m *fakeVM, s *stage.Stager) {
		m.set(func() { m.unavailable = 2 })
		s.SetTarget("m", 2, false)
		time.Sleep(limit - time.Second)
		g.Expect(m.servingVersion()).To(Equal(int64(1)), "the old weights are used until the limit")
		time.Sleep(time.Second)
		for range 100 {
			g.Expect(m.servingVersion()).NotTo(Equal(int64(1)), "past the limit")
			time.Sleep(100 * time.Millisecond)
		}
		m.set(func() { m.unavailable = 0 })
		time.Sleep(2 * time.Second)
		g.Expect(m.servingVersion()).To(Equal(int64(2)), "the new weights are loaded once available")
	})
}

// Guards against measuring an endpoint's switch time from the newest version instead of the
// one that first superseded the running weights: complete weights were then not loaded until
// after the limit.
func TestANewerVersionDoesNotPutOffTheChange(t *testing.T) {
	var alone, followed time.Duration
	runStager(t, 1, func(g *WithT, m *fakeVM, s *stage.Stager) {
		named := time.Now()
		s.SetTarget("m", 2, false)
		time.Sleep(limit)
		g.Expect(m.loadOrders()).To(Equal([]int64{2}))
		alone = m.snapshot().orders[0].at.Sub(named)
	})
	runStager(t, 1, func(g *WithT, m *fakeVM, s *stage.Stager) {
		named := time.Now()
		m.set(func() { m.unavailable = 2 })
		s.SetTarget("m", 2, false)
		time.Sleep(1500 * time.Millisecond)
		s.SetTarget("m", 3, false)
		time.Sleep(limit)
		g.Expect(m.loadOrders()).To(Equal([]int64{3}))
		followed = m.snapshot().orders[0].at.Sub(named)
	})
	NewWithT(t).Expect(followed).To(BeNumerically("~", alone, 300*time.Millisecond))
}

// Guards against loading unloaded weights again: whether they are worth loading also depends
// on the version that first superseded them, not the newest one.
func TestUnloadedWeightsAreNotLoadedAgain(t *testing.T) {
	runStager(t, 0, func(g *WithT, m *fakeVM, s *stage.Stager) {
		s.SetTarget("m", 1, true)
		time.Sleep(2 * time.Second)
		m.set(func() { m.delay = time.Minute })
		s.SetTarget("m", 2, false)
		time.Sleep(limit / 2)
		s.SetTarget("m", 3, false)
		time.Sleep(limit)
		g.Expect(m.loadOrders()).To(Equal([]int64{1}))
		g.Expect(m.servingVersion()).To(BeZero())
		g.Expect(m.snapshot().unloaded).To(Equal(1))
	})
}

// Guards against counting the limit from when this VM learned of a version: a VM with a narrow
// link learned of one 1.7 s after the others.
func TestTheLimitCountsFromWhenOthersHeardOfAVersion(t *testing.T) {
	const late = 1700 * time.Millisecond
	runStager(t, 1, func(g *WithT, m *fakeVM, s *stage.Stager) {
		m.set(func() { m.unavailable = 2 })
		s.SetTarget("m", 2, false)
		s.RecordNaming("m", 2, time.Now().Add(-late))
		time.Sleep(limit - late)
		g.Expect(m.servingVersion()).To(BeZero())
	})
}
