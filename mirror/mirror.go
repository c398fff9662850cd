// Package mirror keeps a local copy of one kind of objects of the platform's
// store, by a list and then by watches, and tells its owner of each new state.
//
// It owns the copy, which is replaced as a whole under a lock and read without one.
// It relies on a Source. Names of its types, of their fields and of this package
// are on the wire between gateways.
package mirror

import (
	"context"
	"errors"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/silverdeck/silverdeck/wait"
)

// Times of calls.
const (
	// minBackoff and maxBackoff bound the pause after a call that failed; it doubles from
	// one to the other, and half of it either way is drawn. The store must be known to be
	// back within a fraction of a second.
	minBackoff = 100 * time.Millisecond
	// maxBackoff is the longest pause.
	maxBackoff = 400 * time.Millisecond
	// restPause is how often a mirror that is at rest looks whether it is still.
	restPause = 100 * time.Millisecond
	// pollSpread is the part of a watch's timeout that is drawn, so that the watches of
	// many processes do not end together.
	pollSpread = 0.5
	// confirmPoll is a watch's timeout after a failure: its answer only has to tell that
	// the store is back. Without it the return was noted late.
	confirmPoll = 20 * time.Millisecond
)

// Mirror keeps the copy. It is safe for concurrent use.
type Mirror struct {
	cfg    Config
	notify func(*State)

	state atomic.Pointer[State]
	// behind is the highest revision that is known to exist elsewhere.
	behind atomic.Int64
	// lost is set while the store does not answer. Only Run's goroutine uses it.
	lost bool

	// mu makes changes of state one at a time.
	mu sync.Mutex
	// cancel ends the call under way, cancelWatch only one that is a watch.
	cancel, cancelWatch context.CancelFunc
}

// New returns a Mirror; notify is called with every new state, one call at a time.
func New(cfg Config, notify func(*State)) *Mirror {
	if cfg.Reach == nil {
		cfg.Reach = func(bool) {}
	}
	if cfg.HistoryGone == nil {
		cfg.HistoryGone = func() {}
	}
	if cfg.Active == nil {
		cfg.Active = func() bool { return true }
	}
	m := &Mirror{cfg: cfg, notify: notify}
	m.state.Store(&State{})
	return m
}

// State returns the newest copy; its revision is 0 before the first.
func (m *Mirror) State() *State {
	return m.state.Load()
}

// Run keeps the copy until ctx ends.
func (m *Mirror) Run(ctx context.Context) {
	pause := minBackoff
	for ctx.Err() == nil {
		if m.resting() {
			wait.For(ctx, restPause)
			continue
		}
		err := m.once(ctx)
		if err == nil {
			pause = minBackoff
			continue
		}
		if m.behind.Load() > m.State().Revision {
			pause = minBackoff
		}
		wait.For(ctx, time.Duration((0.5+m.cfg.Random())*float64(pause)))
		pause = min(2*pause, maxBackoff)
	}
}

// resting returns whether the mirror makes no calls now. One that comes to rest
// no longer says that the store is lost.
func (m *Mirror) resting() bool {
	if m.cfg.Active() || m.behind.Load() > m.State().Revision {
		return false
	}
	if m.lost {
		m.lost = false
		m.cfg.Reach(false)
	}
	return true
}

// Behind tells that a revision exists elsewhere. A watch that should have
// brought it is cut and replaced by a list.
func (m *Mirror) Behind(revision int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if revision <= m.State().Revision || revision <= m.behind.Load() {
		return
	}
	m.behind.Store(revision)
	if m.cancel != nil {
		m.cancel()
	}
}

// Recheck makes a watch under way be asked anew: where the store lost it without a
// word, the new one tells that. A list is not disturbed.
func (m *Mirror) Recheck() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.cancelWatch != nil {
		m.cancelWatch()
	}
}

// Take takes in a copy that was had from elsewhere, if it is a newer one.
func (m *Mirror) Take(s *State) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !s.Version().NewerThan(m.State().Version()) {
		return false
	}
	m.set(s)
	if m.cancel != nil {
		m.cancel()
	}
	return true
}

// once makes one call.
func (m *Mirror) once(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	m.mu.Lock()
	m.cancel = cancel
	m.mu.Unlock()
	current := m.State()
	if current.Revision == 0 || m.behind.Load() > current.Revision {
		return m.list(ctx)
	}
	events, at, err := m.watch(ctx, current.Revision)
	var gone *HistoryGoneError
	if errors.As(err, &gone) {
		m.cfg.Log.Info("history gone", "kind", m.cfg.Kind, "revision", current.Revision)
		m.cfg.HistoryGone()
		return m.list(ctx)
	}
	if err != nil {
		m.failed(err)
		return err
	}
	m.succeeded()
	m.apply(current, events, at)
	if len(events) > 0 && m.cfg.Coalesce > 0 {
		wait.For(ctx, m.cfg.Coalesce)
	}
	return nil
}

// watch asks for the changes after revision; Recheck ends it.
func (m *Mirror) watch(ctx context.Context, revision int64) ([]Event, int64, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	m.setCancelWatch(cancel)
	defer m.setCancelWatch(nil)
	return m.cfg.Source.Watch(ctx, revision, m.drawPollTimeout())
}

func (m *Mirror) setCancelWatch(cancel context.CancelFunc) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.cancelWatch = cancel
}

func (m *Mirror) drawPollTimeout() time.Duration {
	if m.lost {
		return confirmPoll
	}
	return time.Duration((1 - pollSpread*m.cfg.Random()) * float64(m.cfg.PollTimeout()))
}

func (m *Mirror) list(ctx context.Context) error {
	objects, at, err := m.cfg.Source.List(ctx)
	if err != nil {
		m.failed(err)
		return err
	}
	m.succeeded()
	s := newState(at, len(objects))
	for _, o := range objects {
		s.put(o)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.behind.Store(0)
	if at > m.State().Revision {
		m.set(s)
	}
	return nil
}

// apply adds events to the state that they follow.
func (m *Mirror) apply(base *State, events []Event, at int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.State() != base || at <= base.Revision {
		return
	}
	if len(events) == 0 {
		// The revision stays: a store that loses watches may tell one that is
		// past changes of which this watch heard nothing.
		return
	}
	s := &State{Revision: at, Changed: base.Changed, Digest: base.Digest, Objects: maps.Clone(base.Objects)}
	for _, e := range events {
		s.Changed = max(s.Changed, e.Object.Revision)
		if e.Gone {
			s.remove(e.Object.Name)
			continue
		}
		s.put(e.Object)
	}
	m.set(s)
}

func (m *Mirror) set(s *State) {
	m.state.Store(s)
	m.notify(s)
}

func (m *Mirror) failed(err error) {
	if m.lost || errors.Is(err, context.Canceled) {
		return
	}
	m.lost = true
	m.cfg.Reach(true)
	m.cfg.Log.Warn("store lost", "kind", m.cfg.Kind, "revision", m.State().Revision, "err", err)
}

func (m *Mirror) succeeded() {
	if !m.lost {
		return
	}
	m.lost = false
	m.cfg.Reach(false)
	m.cfg.Log.Info("store regained", "kind", m.cfg.Kind, "revision", m.State().Revision)
}
