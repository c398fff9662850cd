package stage_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/silverdeck/silverdeck/sidecar/stage"
)

// slowVM is a fakeVM whose endpoint can be made slow or unresponsive.
type slowVM struct {
	*fakeVM
	// lostOrders is the number of unload orders that are lost and get no answer.
	lostOrders atomic.Int64
	// placeTime is the time to stage a chunk.
	placeTime time.Duration
	// complete is the version of which all chunks can be read. Of other versions, half can.
	complete atomic.Int64
	// loadTime is the time of a load during which the endpoint is busy and has no weights
	// loaded; 0 leaves loads to fakeVM.
	loadTime time.Duration
	busy     atomic.Bool
}

func (m *slowVM) Unload(ctx context.Context, o stage.Order) error {
	if m.lostOrders.Add(-1) >= 0 {
		<-ctx.Done()
		return ctx.Err()
	}
	return m.fakeVM.Unload(ctx, o)
}

func (m *slowVM) Place(ctx context.Context, model string, i int, data []byte) error {
	time.Sleep(m.placeTime)
	return m.fakeVM.Place(ctx, model, i, data)
}

func (m *slowVM) Chunk(ctx context.Context, model string, version int64, i int) ([]byte, error) {
	if i >= chunks/2 && version != m.complete.Load() {
		return nil, errUnavailable
	}
	return m.fakeVM.Chunk(ctx, model, version, i)
}

func (m *slowVM) Report(ctx context.Context) (*stage.Report, error) {
	r, err := m.fakeVM.Report(ctx)
	if m.busy.Load() {
		r.Busy, r.Loaded = true, nil
	}
	return r, err
}

func (m *slowVM) Load(ctx context.Context, o stage.Order) error {
	if m.loadTime == 0 {
		return m.fakeVM.Load(ctx, o)
	}
	m.busy.Store(true)
	m.set(func() { m.sequence++ })
	time.AfterFunc(m.loadTime, func() {
		m.set(func() { m.runs = o.Version })
		m.busy.Store(false)
	})
	return nil
}

// runSlow runs f with a stager whose endpoint runs version 1.
func runSlow(t *testing.T, m *slowVM, f func(g *WithT, s *stage.Stager)) {
	m.fakeVM = newFakeVM(1)
	runVirtual(t, func(b *testEnv) {
		f(b.WithT, b.start(stage.Config{Endpoint: m, Origin: m, Fleet: m, Peers: noPeers{}}))
	})
}

func TestLostUnloadOrderIsRepeatedBeforeLimit(t *testing.T) {
	m := &slowVM{}
	m.lostOrders.Store(2)
	runSlow(t, m, func(g *WithT, s *stage.Stager) {
		s.SetTarget("m", 2, false)
		time.Sleep(limit)
		g.Expect(m.servingVersion()).To(BeZero())
	})
}

// expiredBegins names version 2 and shortly after version 3, and makes version 2 completely
// available three seconds before it expires. It samples the served version 50 times during
// the five seconds after that, and returns how often it was version 2.
func expiredBegins(m *slowVM, s *stage.Stager) int {
	s.SetTarget("m", 2, false)
	time.Sleep(400 * time.Millisecond)
	s.SetTarget("m", 3, false)
	time.Sleep(limit - 3*time.Second)
	m.complete.Store(2)
	time.Sleep(3 * time.Second)
	late := 0
	for range 50 {
		if m.servingVersion() == 2 {
			late++
		}
		time.Sleep(100 * time.Millisecond)
	}
	return late
}

// Guards against ordering a load after the version has expired, when preparing it took long.
func TestSlowLoadPreparationDoesNotLoadExpiredVersion(t *testing.T) {
	m := &slowVM{placeTime: 300 * time.Millisecond}
	runSlow(t, m, func(g *WithT, s *stage.Stager) {
		g.Expect(expiredBegins(m, s)).To(BeZero())
	})
}

// Guards against not checking an endpoint again that had no weights loaded during a load: the
// loaded version may have expired by the end of the load.
func TestVersionExpiredDuringLoadIsUnloaded(t *testing.T) {
	m := &slowVM{loadTime: 4 * time.Second}
	runSlow(t, m, func(g *WithT, s *stage.Stager) {
		g.Expect(expiredBegins(m, s)).To(BeNumerically("<=", 1))
	})
}
