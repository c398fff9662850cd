// Package mirror keeps a local copy of one kind of objects of the platform's
// store, by a list and then by watches, and tells others what changed.
package mirror

import (
	"context"
	"errors"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	"github.com/silverdeck/silverdeck/wait"
)

// Object is one object of the store.
type Object struct {
	Name     string
	Revision int64
	// Data is the object as the store sent it.
	Data []byte
}

// Event is a change of one object.
type Event struct {
	Object Object
	// Gone is set when the object was removed.
	Gone bool
}

// Source reads one kind of objects.
type Source interface {
	// List returns all objects and the store's revision.
	List(ctx context.Context) ([]Object, int64, error)
	// Watch returns the changes after revision as soon as there are some, or
	// none after a while, and the revision to go on from. It returns
	// *HistoryGoneError when the store no longer has these changes. hold is how
	// long the store may wait for changes.
	Watch(ctx context.Context, revision int64, hold time.Duration) ([]Event, int64, error)
}

// HistoryGoneError tells that changes can't be had any more; a list can.
type HistoryGoneError struct {
	Revision int64
}

// Error says so.
func (e *HistoryGoneError) Error() string {
	return "mirror: the store's history is gone"
}

// Pauses between calls that failed.
const (
	firstPause = 100 * time.Millisecond
	maxPause   = 400 * time.Millisecond
	// restPause is how often a mirror that is at rest looks whether it is still.
	restPause = 100 * time.Millisecond
)

// holdSpread is the part of a watch's hold that is drawn, so that the watches
// of many processes do not end together.
const holdSpread = 0.5

// Mirror keeps the copy. It is safe for concurrent use.
type Mirror struct {
	kind   string
	source Source
	log    *log.Logger
	random func() float64
	hold   func() time.Duration
	gather func() time.Duration
	notify func(*State)
	reach  func(lost bool)
	active func() bool

	mu     sync.Mutex
	state  atomic.Pointer[State]
	behind atomic.Int64
	cancel context.CancelFunc
	lost   bool
}

// Config holds a Mirror's settings.
type Config struct {
	// Kind names the objects in logs.
	Kind   string
	Source Source
	Random func() float64
	// Hold returns for how long a watch may stay unanswered. A store that lost
	// a watch without a word is found out after that time.
	Hold func() time.Duration
	// Gather returns for how long changes are gathered before they are asked
	// for once more, so that many changes cost few calls; nil means not at all.
	Gather func() time.Duration
	// Reach hears when the store stops answering and when it answers again; nil
	// means nobody does.
	Reach func(lost bool)
	// Active returns whether this mirror asks the store by itself; one that does
	// not is at rest and takes copies from elsewhere. Nil means always.
	Active func() bool
	Log    *log.Logger
}

// New returns a Mirror; notify is called with every new state, one call at a time.
func New(cfg Config, notify func(*State)) *Mirror {
	m := &Mirror{kind: cfg.Kind, source: cfg.Source, random: cfg.Random, hold: cfg.Hold, gather: cfg.Gather, reach: cfg.Reach, active: cfg.Active, log: cfg.Log, notify: notify}
	if m.reach == nil {
		m.reach = func(bool) {}
	}
	if m.active == nil {
		m.active = func() bool { return true }
	}
	m.state.Store(&State{})
	return m
}

// State returns the newest copy; its revision is 0 before the first.
func (m *Mirror) State() *State {
	return m.state.Load()
}

// Run keeps the copy until ctx ends.
func (m *Mirror) Run(ctx context.Context) {
	pause := firstPause
	for ctx.Err() == nil {
		if m.resting() {
			wait.For(ctx, restPause)
			continue
		}
		err := m.once(ctx)
		if err == nil {
			pause = firstPause
			continue
		}
		if m.behind.Load() > m.State().Revision {
			pause = firstPause
		}
		wait.For(ctx, time.Duration((0.5+m.random())*float64(pause)))
		pause = min(2*pause, maxPause)
	}
}

// resting returns whether the mirror makes no calls now. One that comes to rest
// no longer says that the store is lost.
func (m *Mirror) resting() bool {
	if m.active() || m.behind.Load() > m.State().Revision {
		return false
	}
	if m.lost {
		m.lost = false
		m.reach(false)
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
	events, at, err := m.source.Watch(ctx, current.Revision, m.drawHold())
	var gone *HistoryGoneError
	if errors.As(err, &gone) {
		m.log.Info("history gone", "kind", m.kind, "revision", current.Revision)
		return m.list(ctx)
	}
	if err != nil {
		m.failed(err)
		return err
	}
	m.succeeded()
	m.apply(current, events, at)
	if len(events) > 0 && m.gather != nil {
		wait.For(ctx, m.gather())
	}
	return nil
}

// confirmHold is a watch's hold after a failure: its answer only has to tell that
// the store is back.
const confirmHold = 20 * time.Millisecond

func (m *Mirror) drawHold() time.Duration {
	if m.lost {
		return confirmHold
	}
	return time.Duration((1 - holdSpread*m.random()) * float64(m.hold()))
}

func (m *Mirror) list(ctx context.Context) error {
	objects, at, err := m.source.List(ctx)
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
	m.reach(true)
	m.log.Warn("store lost", "kind", m.kind, "revision", m.State().Revision, "err", err)
}

func (m *Mirror) succeeded() {
	if !m.lost {
		return
	}
	m.lost = false
	m.reach(false)
	m.log.Info("store regained", "kind", m.kind, "revision", m.State().Revision)
}
