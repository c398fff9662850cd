package stage_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/silverdeck/silverdeck/sidecar/stage"
)

func TestLeasedDrain(t *testing.T) {
	g := NewWithT(t)
	g.Expect(stage.LeasedDrain(stage.Capacity{Slots: 16, AnswerTime: 800 * time.Millisecond})).To(Equal(1600 * time.Millisecond))
	g.Expect(stage.LeasedDrain(stage.Capacity{Slots: 16, AnswerTime: time.Minute})).To(Equal(1800 * time.Millisecond))
	g.Expect(stage.LeasedDrain(stage.Capacity{})).To(BeZero())
	slow := stage.Capacity{Slots: 16, AnswerTime: 400 * time.Millisecond}.AtPace(1.5)
	g.Expect(slow).To(Equal(stage.Capacity{Slots: 16, AnswerTime: 600 * time.Millisecond}))
	g.Expect(stage.LeasedDrain(slow)).To(Equal(1200 * time.Millisecond))
}

func TestFollowsSchedule(t *testing.T) {
	g := NewWithT(t)
	g.Expect(stage.FollowsSchedule(stage.Lease{Scheduled: true, RetryAfter: 500 * time.Millisecond})).To(BeTrue())
	g.Expect(stage.FollowsSchedule(stage.Lease{Scheduled: true, RetryAfter: 501 * time.Millisecond})).To(BeFalse(), "asks too rarely")
	g.Expect(stage.FollowsSchedule(stage.Lease{Scheduled: true, Turn: true, RetryAfter: 4 * time.Second})).To(BeTrue(), "asks when its turn comes")
	g.Expect(stage.FollowsSchedule(stage.Lease{RetryAfter: 100 * time.Millisecond})).To(BeFalse(), "an older gateway")
}

func TestFinishesRequests(t *testing.T) {
	granted := stage.Lease{Granted: true, Scheduled: true, Spare: true, Drain: time.Second}
	for name, c := range map[string]struct {
		lease     func(l *stage.Lease)
		remaining time.Duration
		want      bool
	}{
		"drain would end too late": {nil, 1599 * time.Millisecond, true},
		"drain ends in time":       {nil, 1600 * time.Millisecond, false},
		"no spare capacity":        {func(l *stage.Lease) { l.Spare = false }, 0, false},
		"no lease":                 {func(l *stage.Lease) { l.Granted = false }, 0, false},
	} {
		l := granted
		if c.lease != nil {
			c.lease(&l)
		}
		NewWithT(t).Expect(stage.FinishesRequests(l, c.remaining)).To(Equal(c.want), name)
	}
}

func TestTimeToComplete(t *testing.T) {
	start := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	at := func(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }
	// usual is the download of the earlier version, which took four seconds.
	usual := stage.Download{Named: at(0), Completed: at(4)}
	for name, c := range map[string]struct {
		d, earlier stage.Download
		now        float64
		want       time.Duration
	}{
		"nothing known":                  {stage.Download{Named: at(5)}, stage.Download{Named: at(0)}, 6, 0},
		"no manifest yet":                {stage.Download{Named: at(5)}, usual, 6, 3 * time.Second},
		"as long as the earlier":         {stage.Download{Named: at(5), Have: 10, Total: 48}, usual, 6, 3 * time.Second},
		"begins after the earlier":       {stage.Download{Named: at(1)}, usual, 5, 3 * time.Second},
		"few chunks after the same time": {stage.Download{Named: at(5), Have: 12, Total: 48}, usual, 9, 1500 * time.Millisecond},
		"stalled":                        {stage.Download{Named: at(5), Have: 12, Total: 48}, usual, 13, 3 * time.Second},
		"both were fetched at once":      {stage.Download{Named: at(1), Have: 24, Total: 48}, usual, 4, 4 * time.Second / 3},
		"few chunks of it came":          {stage.Download{Named: at(1), Have: 1, Total: 48}, usual, 4.5, 3500 * time.Millisecond},
		"last chunk is verified":         {stage.Download{Named: at(5), Have: 48, Total: 48}, usual, 10, time.Millisecond},
	} {
		NewWithT(t).Expect(stage.TimeToComplete(c.d, c.earlier, at(c.now))).To(Equal(c.want), name)
	}
}

// Guards against a drain that ends at the limit and cuts streams, although others have room.
func TestAChangeNearTheLimitLetsRequestsEnd(t *testing.T) {
	runStager(t, 1, func(g *WithT, m *fakeVM, s *stage.Stager) {
		m.set(func() { m.running, m.capacity = 16, fullCapacity })
		m.set(func() {
			m.lease = &stage.Lease{Scheduled: true, Spare: true, Drain: time.Second, RetryAfter: 100 * time.Millisecond}
		})
		named := time.Now()
		s.SetTarget("m", 2, false)
		time.AfterFunc(limit-1300*time.Millisecond, func() { m.set(func() { m.lease.Granted = true }) })
		time.Sleep(limit)
		orders := m.snapshot().orders
		g.Expect(orders).To(HaveLen(1))
		g.Expect(orders[0].finish).To(BeTrue())
		g.Expect(orders[0].at.Sub(named)).To(BeNumerically("~", limit-1250*time.Millisecond, 150*time.Millisecond), "without a drain")
	})
}

// Guards against an endpoint that waits for the lease that it was promised until its weights expire.
func TestAnEndpointChangesInTimeWithoutThePromisedLease(t *testing.T) {
	runStager(t, 1, func(g *WithT, m *fakeVM, s *stage.Stager) {
		m.set(func() { m.running, m.capacity = 16, fullCapacity })
		m.set(func() { m.lease = &stage.Lease{Scheduled: true, RetryAfter: 100 * time.Millisecond} })
		named := time.Now()
		s.SetTarget("m", 2, false)
		time.Sleep(limit)
		orders := m.snapshot().orders
		g.Expect(orders).To(HaveLen(1))
		g.Expect(orders[0].at.Sub(named)).To(And(BeNumerically(">=", limit-time.Second), BeNumerically("<=", limit-500*time.Millisecond)))
		g.Expect(m.snapshot().unloaded).To(BeZero())
	})
}

// Guards against an endpoint without usable weights that waits for a lease or its own time.
func TestAnEndpointWhoseWeightsExpiredLoadsAtOnce(t *testing.T) {
	runStager(t, 1, func(g *WithT, m *fakeVM, s *stage.Stager) {
		m.set(func() { m.unavailable = 2 })
		s.SetTarget("m", 2, false)
		time.Sleep(limit + time.Second)
		g.Expect(m.servingVersion()).To(BeZero())
		asked := len(m.leaseRequests)
		m.set(func() { m.unavailable = 0 })
		time.Sleep(1500 * time.Millisecond)
		g.Expect(m.servingVersion()).To(Equal(int64(2)))
		g.Expect(m.leaseRequests).To(HaveLen(asked))
	})
}
