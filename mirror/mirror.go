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
	// known is the latest position passed to NoteNewer since the last list.
	known atomic.Pointer[Position]
	// lost is set while the store is unreachable. Only Run's goroutine uses it.
	lost bool

	// firstEra is the first era of a copy that is not 0.
	firstEra atomic.Int64

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
	m.known.Store(&Position{})
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
		if m.behind() {
			pause = minBackoff
		}
		wait.For(ctx, time.Duration((0.5+m.cfg.Random())*float64(pause)))
		pause = min(2*pause, maxBackoff)
	}
}

// idle reports whether the mirror currently makes no calls. A mirror that becomes idle no
// longer reports the store as unreachable.
func (m *Mirror) idle() bool {
	if m.cfg.Active() || m.behind() {
		return false
	}
	if m.lost {
		m.lost = false
		m.cfg.OnReachability(false)
	}
	return true
}

// behind reports whether a later position than that of the copy exists.
func (m *Mirror) behind() bool {
	return m.known.Load().After(m.State().Position())
}

// NoteNewer records that a position exists elsewhere. If the copy is older, the current call is
// canceled and a list follows: the watch should have delivered what is there.
func (m *Mirror) NoteNewer(p Position) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !p.After(m.State().Position()) || !p.After(*m.known.Load()) {
		return
	}
	m.known.Store(&p)
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

// IsNewer reports whether v is the version of a later copy than this one with different objects. A
// copy whose era is not known, as of an older program, is taken to be of the first era that this
// process has seen: once another one has begun, such copies are never newer.
func (m *Mirror) IsNewer(v Version) bool {
	v.Era = m.assumedEra(v.Era)
	return v.NewerThan(m.State().Version())
}

// assumedEra returns era, or the first one if it is not known.
func (m *Mirror) assumedEra(era int64) int64 {
	if era == 0 {
		return m.firstEra.Load()
	}
	return era
}

// ReplaceIfNewer replaces the copy by s, which was obtained from another process, if s is
// newer. It reports whether it did.
func (m *Mirror) ReplaceIfNewer(s *State) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	s.Era = m.assumedEra(s.Era)
	if !m.IsNewer(s.Version()) {
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
	call, cancel := m.cancelable(ctx)
	defer cancel()
	current := m.State()
	if current.Revision == 0 || m.behind() {
		return m.list(call)
	}
	events, at, err := m.watch(call, current.Position())
	var gone *HistoryGoneError
	if errors.As(err, &gone) {
		m.cfg.Log.Info("history gone", "kind", m.cfg.Kind, "revision", current.Revision, "era", current.Era, "storeEra", gone.Era)
		m.cfg.OnHistoryGone()
		call, cancel = m.cancelable(ctx) // the watch may have been canceled for the same reason
		defer cancel()
		return m.list(call)
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

// cancelable returns a context that ends when the copy is replaced or known to be behind.
func (m *Mirror) cancelable(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.cancel = cancel
	return ctx, cancel
}

// watch returns the changes after p. Recheck cancels it.
func (m *Mirror) watch(ctx context.Context, p Position) ([]Event, Position, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	m.setCancelWatch(cancel)
	defer m.setCancelWatch(nil)
	return m.cfg.Source.Watch(ctx, p, m.nextPollTimeout())
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
	m.known.Store(&Position{})
	current := m.State().Position()
	switch {
	case at.After(current):
		m.set(s)
	case current.After(at):
		m.cfg.Log.Info("list older than the copy", "kind", m.cfg.Kind, "revision", current.Revision, "era", current.Era,
			"storeRevision", at.Revision, "storeEra", at.Era)
		return errOldList
	}
	return nil
}

// errOldList means that the store listed less than this mirror has.
var errOldList = errors.New("mirror: the list is older than the copy")

// apply applies events to base, unless the copy has been replaced since.
func (m *Mirror) apply(base *State, events []Event, at Position) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.State() != base || !at.After(base.Position()) {
		return
	}
	if len(events) == 0 {
		// Keep the revision: a store that has dropped the watch may return one that is newer
		// than changes it did not deliver.
		return
	}
	s := &State{Era: at.Era, Revision: at.Revision, Changed: base.Changed, Digest: base.Digest, Objects: maps.Clone(base.Objects)}
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
	m.firstEra.CompareAndSwap(0, s.Era)
	if old := m.State(); s.Era != old.Era && old.Era != 0 {
		m.cfg.Log.Warn("store returned from a copy", "kind", m.cfg.Kind, "era", s.Era, "revision", s.Revision,
			"oldEra", old.Era, "oldRevision", old.Revision)
	}
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
