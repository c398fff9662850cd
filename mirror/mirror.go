// Package mirror maintains a local copy of one kind of objects in the platform's store, by a
// list followed by watches, and notifies its owner of each new state.
//
// The state is immutable: it is replaced under a lock and read without one. The names of this
// package, its types and their fields are part of the wire format between gateways.
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

// Timing of calls to the store.
const (
	// minBackoff is the first pause after a failed call. The pause doubles up to maxBackoff and
	// is randomized by half of its length in either direction. The return of the store must be
	// noticed within a fraction of a second.
	minBackoff = 100 * time.Millisecond
	// maxBackoff is the longest pause before randomization.
	maxBackoff = 400 * time.Millisecond
	// idleCheckInterval is how often an idle mirror checks whether it should be active.
	idleCheckInterval = 100 * time.Millisecond
	// pollJitter is the fraction of a watch's timeout that is randomized, so that the watches of
	// many processes do not end at the same time.
	pollJitter = 0.5
	// recoveryPollTimeout is a watch's timeout after a failure. The watch only has to confirm
	// that the store is back; with the usual timeout the recovery was detected late.
	recoveryPollTimeout = 20 * time.Millisecond
)

// Mirror maintains the copy. It is safe for concurrent use.
type Mirror struct {
	cfg    Config
	notify func(*State)

	state atomic.Pointer[State]
	// knownRevision is the highest revision passed to NoteNewerRevision since the last list.
	knownRevision atomic.Int64
	// lost is set while the store is unreachable. Only Run's goroutine uses it.
	lost bool

	// mu serializes changes of state and guards the functions below.
	mu sync.Mutex
	// cancel ends the current call; cancelWatch ends it only if it is a watch.
	cancel, cancelWatch context.CancelFunc
}

// New returns a Mirror. notify is called with each new state, one call at a time.
func New(cfg Config, notify func(*State)) *Mirror {
	if cfg.OnReachability == nil {
		cfg.OnReachability = func(bool) {}
	}
	if cfg.OnHistoryGone == nil {
		cfg.OnHistoryGone = func() {}
	}
	if cfg.Active == nil {
		cfg.Active = func() bool { return true }
	}
	m := &Mirror{cfg: cfg, notify: notify}
	m.state.Store(&State{})
	return m
}

// State returns the current copy; its revision is 0 before the first list.
func (m *Mirror) State() *State {
	return m.state.Load()
}

// Run maintains the copy until ctx ends.
func (m *Mirror) Run(ctx context.Context) {
	pause := minBackoff
	for ctx.Err() == nil {
		if m.idle() {
			wait.For(ctx, idleCheckInterval)
			continue
		}
		err := m.step(ctx)
		if err == nil {
			pause = minBackoff
			continue
		}
		if m.knownRevision.Load() > m.State().Revision {
			pause = minBackoff
		}
		wait.For(ctx, time.Duration((0.5+m.cfg.Random())*float64(pause)))
		pause = min(2*pause, maxBackoff)
	}
}

// idle reports whether the mirror currently makes no calls. A mirror that becomes idle no
// longer reports the store as unreachable.
func (m *Mirror) idle() bool {
	if m.cfg.Active() || m.knownRevision.Load() > m.State().Revision {
		return false
	}
	if m.lost {
		m.lost = false
		m.cfg.OnReachability(false)
	}
	return true
}

// NoteNewerRevision records that a revision exists elsewhere. If the copy is older, the
// current call is canceled and a list follows: the watch should have delivered the revision.
func (m *Mirror) NoteNewerRevision(revision int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if revision <= m.State().Revision || revision <= m.knownRevision.Load() {
		return
	}
	m.knownRevision.Store(revision)
	if m.cancel != nil {
		m.cancel()
	}
}

// Recheck restarts a watch in progress. If the store has silently dropped the watch, the new
// one reveals it. A list in progress is not interrupted.
func (m *Mirror) Recheck() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.cancelWatch != nil {
		m.cancelWatch()
	}
}

// ReplaceIfNewer replaces the copy by s, which was obtained from another process, if s is
// newer. It reports whether it did.
func (m *Mirror) ReplaceIfNewer(s *State) bool {
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

// step makes one call to the store, or a list after a watch whose history is gone.
func (m *Mirror) step(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	m.mu.Lock()
	m.cancel = cancel
	m.mu.Unlock()
	current := m.State()
	if current.Revision == 0 || m.knownRevision.Load() > current.Revision {
		return m.list(ctx)
	}
	events, at, err := m.watch(ctx, current.Revision)
	var gone *HistoryGoneError
	if errors.As(err, &gone) {
		m.cfg.Log.Info("history gone", "kind", m.cfg.Kind, "revision", current.Revision)
		m.cfg.OnHistoryGone()
		return m.list(ctx)
	}
	if err != nil {
		m.noteFailure(err)
		return err
	}
	m.noteSuccess()
	m.apply(current, events, at)
	if len(events) > 0 && m.cfg.Coalesce > 0 {
		wait.For(ctx, m.cfg.Coalesce)
	}
	return nil
}

// watch returns the changes after revision. Recheck cancels it.
func (m *Mirror) watch(ctx context.Context, revision int64) ([]Event, int64, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	m.setCancelWatch(cancel)
	defer m.setCancelWatch(nil)
	return m.cfg.Source.Watch(ctx, revision, m.nextPollTimeout())
}

func (m *Mirror) setCancelWatch(cancel context.CancelFunc) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.cancelWatch = cancel
}

func (m *Mirror) nextPollTimeout() time.Duration {
	if m.lost {
		return recoveryPollTimeout
	}
	return time.Duration((1 - pollJitter*m.cfg.Random()) * float64(m.cfg.PollTimeout()))
}

func (m *Mirror) list(ctx context.Context) error {
	objects, at, err := m.cfg.Source.List(ctx)
	if err != nil {
		m.noteFailure(err)
		return err
	}
	m.noteSuccess()
	s := newState(at, len(objects))
	for _, o := range objects {
		s.put(o)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.knownRevision.Store(0)
	if at > m.State().Revision {
		m.set(s)
	}
	return nil
}

// apply applies events to base, unless the copy has been replaced since.
func (m *Mirror) apply(base *State, events []Event, at int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.State() != base || at <= base.Revision {
		return
	}
	if len(events) == 0 {
		// Keep the revision: a store that has dropped the watch may return one that is newer
		// than changes it did not deliver.
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

func (m *Mirror) noteFailure(err error) {
	if m.lost || errors.Is(err, context.Canceled) {
		return
	}
	m.lost = true
	m.cfg.OnReachability(true)
	m.cfg.Log.Warn("store lost", "kind", m.cfg.Kind, "revision", m.State().Revision, "err", err)
}

func (m *Mirror) noteSuccess() {
	if !m.lost {
		return
	}
	m.lost = false
	m.cfg.OnReachability(false)
	m.cfg.Log.Info("store regained", "kind", m.cfg.Kind, "revision", m.State().Revision)
}
