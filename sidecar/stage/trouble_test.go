package stage_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/silverdeck/silverdeck/sidecar/stage"
)

// slowMachine is a machine whose endpoint is slow, or answers nothing, at times.
type slowMachine struct {
	*machine
	// lostOrders is how many orders to unload get no answer and are not taken.
	lostOrders atomic.Int64
	// placeTime is how long the placing of a chunk takes.
	placeTime time.Duration
	// whole is the version all of whose chunks can be had; half of any other can.
	whole atomic.Int64
	// loadTime is how long a load takes in which the endpoint is busy and holds nothing;
	// 0 leaves it to the machine.
	loadTime time.Duration
	busy     atomic.Bool
}

func (m *slowMachine) Unload(ctx context.Context, o stage.Order) error {
	if m.lostOrders.Add(-1) >= 0 {
		<-ctx.Done()
		return ctx.Err()
	}
	return m.machine.Unload(ctx, o)
}

func (m *slowMachine) Place(ctx context.Context, model string, i int, data []byte) error {
	time.Sleep(m.placeTime)
	return m.machine.Place(ctx, model, i, data)
}

func (m *slowMachine) Chunk(ctx context.Context, model string, version int64, i int) ([]byte, error) {
	if i >= chunks/2 && version != m.whole.Load() {
		return nil, errNobody
	}
	return m.machine.Chunk(ctx, model, version, i)
}

func (m *slowMachine) Report(ctx context.Context) (*stage.Report, error) {
	r, err := m.machine.Report(ctx)
	if m.busy.Load() {
		r.Busy, r.Held = true, nil
	}
	return r, err
}

func (m *slowMachine) Load(ctx context.Context, o stage.Order) error {
	if m.loadTime == 0 {
		return m.machine.Load(ctx, o)
	}
	m.busy.Store(true)
	m.set(func() { m.sequence++ })
	time.AfterFunc(m.loadTime, func() {
		m.set(func() { m.runs = o.Version })
		m.busy.Store(false)
	})
	return nil
}

// playSlow runs f with a stager beside an endpoint that runs version 1.
func playSlow(t *testing.T, m *slowMachine, f func(g *WithT, s *stage.Stager)) {
	m.machine = newMachine(1)
	bubble(t, func(b *stagers) {
		f(b.WithT, b.start(stage.Config{Endpoint: m, Origin: m, Fleet: m, Peers: alone{}}))
	})
}

func TestAnOrderToUnloadThatIsLostIsGivenAgainBeforeTheLimit(t *testing.T) {
	m := &slowMachine{}
	m.lostOrders.Store(2)
	playSlow(t, m, func(g *WithT, s *stage.Stager) {
		s.Want("m", 2, false)
		time.Sleep(limit)
		g.Expect(m.begins()).To(BeZero())
	})
}

// lateVersion2 names version 2 and soon version 3, and lets version 2 be had whole three
// seconds before its limit. It returns how often a request would have begun on version 2
// in the five seconds after that, of 50 times.
func lateVersion2(m *slowMachine, s *stage.Stager) int {
	s.Want("m", 2, false)
	time.Sleep(400 * time.Millisecond)
	s.Want("m", 3, false)
	time.Sleep(limit - 3*time.Second)
	m.whole.Store(2)
	time.Sleep(3 * time.Second)
	late := 0
	for range 50 {
		if m.begins() == 2 {
			late++
		}
		time.Sleep(100 * time.Millisecond)
	}
	return late
}

// A load that was of use when it was decided on is not ordered past its limit.
func TestALoadThatTookLongToPrepareIsNotOrderedPastItsLimit(t *testing.T) {
	m := &slowMachine{placeTime: 300 * time.Millisecond}
	playSlow(t, m, func(g *WithT, s *stage.Stager) {
		g.Expect(lateVersion2(m, s)).To(BeZero())
	})
}

// An endpoint that holds nothing while it loads is looked at again when it has.
func TestALoadThatEndsPastItsLimitIsUnloaded(t *testing.T) {
	m := &slowMachine{loadTime: 4 * time.Second}
	playSlow(t, m, func(g *WithT, s *stage.Stager) {
		g.Expect(lateVersion2(m, s)).To(BeNumerically("<=", 1))
	})
}
