package mirror_test

import (
	"context"
	"errors"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	. "github.com/onsi/gomega"

	"github.com/silverdeck/silverdeck/mirror"
)

// store is a Source whose calls can be made to fail in several ways.
type store struct {
	mu       sync.Mutex
	revision int64
	objects  map[string]int64
	events   []event
	changed  chan struct{}
	// oldest is the oldest revision after which changes are still available.
	oldest int64
	// unresponsive makes watches block until the client gives up.
	unresponsive bool
	// dropsEvents makes watches time out without events, at a revision newer than the
	// changes that they did not deliver.
	dropsEvents bool
	down        bool
	calls       int
}

type event struct {
	at   int64
	name string
	gone bool
}

func newStore() *store {
	return &store{objects: map[string]int64{}, changed: make(chan struct{})}
}

func (s *store) change(name string, gone bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.events = append(s.events, event{at: s.revision, name: name, gone: gone})
	if gone {
		delete(s.objects, name)
	} else {
		s.objects[name] = s.revision
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) set(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
}

var errDown = errors.New("down")

func (s *store) List(context.Context) ([]mirror.Object, mirror.Position, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if s.down {
		return nil, mirror.Position{}, errDown
	}
	var out []mirror.Object
	for name, revision := range s.objects {
		out = append(out, mirror.Object{Name: name, Revision: revision})
	}
	return out, mirror.Position{Revision: s.revision}, nil
}

func (s *store) Watch(ctx context.Context, p mirror.Position, hold time.Duration) ([]mirror.Event, mirror.Position, error) {
	revision := p.Revision
	s.mu.Lock()
	s.calls++
	unresponsive, down, gone := s.unresponsive, s.down, revision < s.oldest
	s.mu.Unlock()
	switch {
	case down:
		return nil, mirror.Position{}, errDown
	case gone:
		return nil, mirror.Position{}, &mirror.HistoryGoneError{Revision: revision}
	case unresponsive:
		return s.blockUnanswered(ctx, hold)
	}
	end := time.After(hold)
	for {
		s.mu.Lock()
		events, at, changed, unresponsive := s.since(revision), s.revision, s.changed, s.unresponsive
		if s.dropsEvents {
			events = nil
		}
		s.mu.Unlock()
		if unresponsive {
			return s.blockUnanswered(ctx, hold)
		}
		if len(events) > 0 {
			return events, mirror.Position{Revision: at}, nil
		}
		select {
		case <-changed:
		case <-end:
			return nil, mirror.Position{Revision: at}, nil
		case <-ctx.Done():
			return nil, mirror.Position{}, ctx.Err()
		}
	}
}

// blockUnanswered is a watch that the store never answers and the client gives up.
func (s *store) blockUnanswered(ctx context.Context, hold time.Duration) ([]mirror.Event, mirror.Position, error) {
	select {
	case <-time.After(hold + time.Second):
		return nil, mirror.Position{}, context.DeadlineExceeded
	case <-ctx.Done():
		return nil, mirror.Position{}, ctx.Err()
	}
}

func (s *store) since(revision int64) []mirror.Event {
	var out []mirror.Event
	for _, e := range s.events {
		if e.at > revision {
			out = append(out, mirror.Event{Object: mirror.Object{Name: e.name, Revision: e.at}, Gone: e.gone})
		}
	}
	return out
}

const hold = 3 * time.Second

// runMirror runs f with a mirror of a store that holds object a.
func runMirror(t *testing.T, f func(g *WithT, s *store, m *mirror.Mirror)) {
	runMirrorWith(t, func(*mirror.Config) {}, f)
}

// runMirrorWith is like runMirror, with changes to the mirror's configuration.
func runMirrorWith(t *testing.T, set func(*mirror.Config), f func(g *WithT, s *store, m *mirror.Mirror)) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		s.change("a", false)
		cfg := mirror.Config{
			Kind: "things", Source: s, Random: func() float64 { return 0.5 },
			PollTimeout: func() time.Duration { return hold }, Log: log.New(io.Discard),
		}
		set(&cfg)
		m := mirror.New(cfg, func(*mirror.State) {})
		ctx, cancel := context.WithCancel(context.Background())
		go m.Run(ctx)
		synctest.Wait()
		f(NewWithT(t), s, m)
		cancel()
	})
}

func names(m *mirror.Mirror) []string {
	var out []string
	for name := range m.State().Objects {
		out = append(out, name)
	}
	return out
}

func TestAMirrorFollowsChanges(t *testing.T) {
	runMirror(t, func(g *WithT, s *store, m *mirror.Mirror) {
		g.Expect(names(m)).To(ConsistOf("a"))
		s.change("b", false)
		synctest.Wait()
		g.Expect(names(m)).To(ConsistOf("a", "b"))
		s.change("a", true)
		synctest.Wait()
		g.Expect(names(m)).To(ConsistOf("b"))
		g.Expect(m.State().Changed).To(Equal(int64(3)))
	})
}

func TestAMirrorThatFindsHistoryGoneListsAnew(t *testing.T) {
	runMirror(t, func(g *WithT, s *store, m *mirror.Mirror) {
		s.set(func() { s.unresponsive = true })
		s.change("b", false)
		time.Sleep(hold)
		s.change("c", false)
		s.set(func() { s.unresponsive, s.oldest = false, 3 })
		time.Sleep(2 * time.Second)
		g.Expect(names(m)).To(ConsistOf("a", "b", "c"))
	})
}

func TestALostWatchIsFoundOutWithinItsHold(t *testing.T) {
	runMirror(t, func(g *WithT, s *store, m *mirror.Mirror) {
		s.set(func() { s.unresponsive = true })
		s.change("b", false)
		time.Sleep(100 * time.Millisecond)
		s.set(func() { s.unresponsive, s.oldest = false, 2 })
		time.Sleep(hold + time.Second)
		g.Expect(names(m)).To(ConsistOf("a", "b"))
	})
}

func TestAWatchThatEndsWithoutNewsSkipsNothing(t *testing.T) {
	runMirror(t, func(g *WithT, s *store, m *mirror.Mirror) {
		s.set(func() { s.dropsEvents = true })
		s.change("b", false)
		time.Sleep(hold + 100*time.Millisecond)
		s.set(func() { s.dropsEvents = false })
		time.Sleep(hold + time.Second)
		g.Expect(names(m)).To(ConsistOf("a", "b"))
	})
}

func TestAMirrorThatHearsOfMoreListsAtOnce(t *testing.T) {
	runMirror(t, func(g *WithT, s *store, m *mirror.Mirror) {
		s.set(func() { s.unresponsive = true })
		s.change("b", false)
		synctest.Wait()
		m.NoteNewer(mirror.Position{Revision: 2})
		time.Sleep(200 * time.Millisecond)
		g.Expect(names(m)).To(ConsistOf("a", "b"))
	})
}

func TestALostWatchIsFoundOutWhenAnotherHearsThatTheHistoryIsGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		lost, heard := newStore(), newStore()
		mirrors := map[string]*mirror.Mirror{}
		start := func(ctx context.Context, kind, other string, s *store, hold time.Duration) {
			s.change("a", false)
			mirrors[kind] = mirror.New(mirror.Config{
				Kind: kind, Source: s, Random: func() float64 { return 0.5 }, Log: log.New(io.Discard),
				PollTimeout:   func() time.Duration { return hold },
				OnHistoryGone: func() { mirrors[other].Recheck() },
			}, func(*mirror.State) {})
			go mirrors[kind].Run(ctx)
		}
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		start(ctx, "lost", "heard", lost, time.Hour)
		start(ctx, "heard", "lost", heard, hold)
		synctest.Wait()
		for _, s := range []*store{lost, heard} {
			s.set(func() { s.unresponsive = true })
			s.change("b", false)
			synctest.Wait()
			s.set(func() { s.unresponsive, s.oldest, s.calls = false, 2, 0 })
		}
		time.Sleep(hold + 2*time.Second)
		g.Expect(names(mirrors["lost"])).To(ConsistOf("a", "b"))
		time.Sleep(10 * time.Second)
		lost.set(func() {
			g.Expect(lost.calls).To(BeNumerically("<=", 4), "two mirrors must not restart each other's watches for ever")
		})
	})
}

func TestAMirrorTakesANewerCopyAndNoOlderOne(t *testing.T) {
	runMirror(t, func(g *WithT, s *store, m *mirror.Mirror) {
		s.set(func() { s.down = true })
		newer := &mirror.State{Revision: 9, Changed: 9, Objects: map[string]mirror.Object{"z": {Name: "z", Revision: 9}}}
		g.Expect(m.ReplaceIfNewer(newer)).To(BeTrue())
		g.Expect(names(m)).To(ConsistOf("z"))
		g.Expect(m.ReplaceIfNewer(&mirror.State{Revision: 12, Changed: 8})).To(BeFalse(), "later revision, but older objects")
		g.Expect(m.ReplaceIfNewer(&mirror.State{Revision: 8, Changed: 8})).To(BeFalse())
		g.Expect(names(m)).To(ConsistOf("z"))
	})
}

func TestAMirrorReturnsSoonAfterAnOutageAndDoesNotPress(t *testing.T) {
	runMirror(t, func(g *WithT, s *store, m *mirror.Mirror) {
		s.set(func() { s.down, s.calls = true, 0 })
		s.change("b", false)
		time.Sleep(20 * time.Second)
		s.set(func() {
			g.Expect(s.calls).To(BeNumerically("<", 80))
			s.down = false
		})
		time.Sleep(700 * time.Millisecond)
		g.Expect(names(m)).To(ConsistOf("a", "b"))
	})
}

func TestTheReturnOfTheStoreIsToldSoonThoughNothingChanges(t *testing.T) {
	var reported []bool
	reach := func(cfg *mirror.Config) { cfg.OnReachability = func(lost bool) { reported = append(reported, lost) } }
	runMirrorWith(t, reach, func(g *WithT, s *store, _ *mirror.Mirror) {
		s.set(func() { s.down = true })
		time.Sleep(2 * hold)
		synctest.Wait()
		g.Expect(reported).To(Equal([]bool{true}))
		s.set(func() { s.down = false })
		time.Sleep(time.Second)
		synctest.Wait()
		g.Expect(reported).To(Equal([]bool{true, false}))
	})
}
