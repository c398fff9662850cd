package mirror_test

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/silverdeck/silverdeck/mirror"
)

// stateOf returns the copy of a store after the given changes; a leading "-" deletes the
// object.
func stateOf(t *testing.T, changes ...string) *mirror.State {
	var out *mirror.State
	runMirror(t, func(_ *WithT, s *store, m *mirror.Mirror) {
		for _, name := range changes {
			s.change(name[len(name)-1:], name[0] == '-')
			synctest.Wait()
		}
		out = m.State()
	})
	return out
}

func TestACopyIsBroughtUpToDateByWhatChanged(t *testing.T) {
	g := NewWithT(t)
	older := stateOf(t, "b", "c")
	newer := stateOf(t, "b", "c", "d", "-b", "a")
	delta := newer.Since(older.Changed)
	g.Expect(delta.Names).To(ConsistOf("a", "c", "d"))
	g.Expect(delta.Objects).To(HaveLen(2), "c is unchanged")
	got, whole := older.Apply(delta)
	g.Expect(whole).To(BeTrue())
	g.Expect(got).To(Equal(newer))
}

func TestADeltaThatDoesNotFitIsNotTaken(t *testing.T) {
	g := NewWithT(t)
	newer := stateOf(t, "b", "c", "d")
	empty := &mirror.State{}
	_, whole := empty.Apply(newer.Since(3))
	g.Expect(whole).To(BeFalse())
	got, whole := empty.Apply(newer.Since(0))
	g.Expect(whole).To(BeTrue())
	g.Expect(got).To(Equal(newer))
}

func TestARemovalMakesANewerCopyAndAConfirmationDoesNot(t *testing.T) {
	g := NewWithT(t)
	before, after := stateOf(t, "b"), stateOf(t, "b", "-b")
	g.Expect(after.Version().NewerThan(before.Version())).To(BeTrue())
	g.Expect(before.Version().NewerThan(after.Version())).To(BeFalse())
	confirmed := mirror.Version{Revision: before.Revision + 9, Digest: before.Digest}
	g.Expect(confirmed.NewerThan(before.Version())).To(BeFalse())
}

func TestAMirrorAtRestMakesNoCallsButTakesCopiesAndListsWhenBehind(t *testing.T) {
	var active atomic.Bool
	set := func(cfg *mirror.Config) { cfg.Active = func() bool { return active.Load() } }
	runMirrorWith(t, set, func(g *WithT, s *store, m *mirror.Mirror) {
		time.Sleep(time.Minute)
		synctest.Wait()
		g.Expect(s.calls).To(BeZero())
		g.Expect(m.ReplaceIfNewer(&mirror.State{Revision: 1, Digest: 7})).To(BeTrue())
		m.NoteNewer(mirror.Position{Revision: 2})
		s.change("b", false)
		time.Sleep(time.Second)
		synctest.Wait()
		g.Expect(names(m)).To(ConsistOf("a", "b"))
		g.Expect(s.calls).To(Equal(1))
		active.Store(true)
		s.change("c", false)
		time.Sleep(time.Second)
		g.Expect(names(m)).To(ConsistOf("a", "b", "c"))
	})
}

func TestAMirrorThatComesToRestNoLongerSaysThatTheStoreIsLost(t *testing.T) {
	var active, lost atomic.Bool
	active.Store(true)
	set := func(cfg *mirror.Config) {
		cfg.Active = func() bool { return active.Load() }
		cfg.OnReachability = func(now bool) { lost.Store(now) }
	}
	runMirrorWith(t, set, func(g *WithT, s *store, _ *mirror.Mirror) {
		s.set(func() { s.down = true })
		time.Sleep(2 * hold)
		g.Expect(lost.Load()).To(BeTrue())
		active.Store(false)
		time.Sleep(time.Second)
		g.Expect(lost.Load()).To(BeFalse())
	})
}
