package mirror_test

import (
	"io"
	"testing"

	"github.com/charmbracelet/log"
	. "github.com/onsi/gomega"

	"github.com/silverdeck/silverdeck/mirror"
)

func TestPositions(t *testing.T) {
	for _, c := range []struct {
		name  string
		p, q  mirror.Position
		after bool
	}{
		{"later revision", mirror.Position{Era: 1, Revision: 5}, mirror.Position{Era: 1, Revision: 4}, true},
		{"same", mirror.Position{Era: 1, Revision: 5}, mirror.Position{Era: 1, Revision: 5}, false},
		{"later era at a lower revision", mirror.Position{Era: 2, Revision: 3}, mirror.Position{Era: 1, Revision: 9}, true},
		{"earlier era at a higher revision", mirror.Position{Era: 1, Revision: 9}, mirror.Position{Era: 2, Revision: 3}, false},
		{"era unknown", mirror.Position{Revision: 9}, mirror.Position{Era: 1, Revision: 3}, false},
		{"store without eras", mirror.Position{Revision: 9}, mirror.Position{Revision: 3}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			NewWithT(t).Expect(c.p.After(c.q)).To(Equal(c.after))
		})
	}
}

// copyOf returns a copy of objects by name and revision.
func copyOf(era, revision int64, objects map[string]int64) *mirror.State {
	d := &mirror.Delta{Version: mirror.Version{Era: era, Revision: revision}}
	for name, r := range objects {
		d.Names = append(d.Names, name)
		d.Objects = append(d.Objects, mirror.Object{Name: name, Revision: r})
	}
	s, _ := (&mirror.State{}).Apply(d)
	return s
}

// idleMirror returns a mirror that makes no calls.
func idleMirror() *mirror.Mirror {
	return mirror.New(mirror.Config{Kind: "things", Log: log.New(io.Discard)}, func(*mirror.State) {})
}

// TestACopyOfAFormerEraIsNotTakenFromAnotherProcess guards against a peer that hands back what the store lost.
func TestACopyOfAFormerEraIsNotTakenFromAnotherProcess(t *testing.T) {
	g := NewWithT(t)
	m := idleMirror()
	g.Expect(m.ReplaceIfNewer(copyOf(1, 9, map[string]int64{"a": 9}))).To(BeTrue())
	g.Expect(m.ReplaceIfNewer(copyOf(2, 5, map[string]int64{"a": 4}))).To(BeTrue(), "a later era at a lower revision")
	g.Expect(m.ReplaceIfNewer(copyOf(1, 12, map[string]int64{"a": 12}))).To(BeFalse(), "late, of the former era")
	g.Expect(m.ReplaceIfNewer(copyOf(2, 9, map[string]int64{"a": 9}))).To(BeTrue(), "the same name and revision, other content")
	g.Expect(m.State().Position()).To(Equal(mirror.Position{Era: 2, Revision: 9}))
}

// TestACopyWithoutAnEraIsUsedUntilAnotherEraBegins guards against upgrades in which older programs have the newest copies.
func TestACopyWithoutAnEraIsUsedUntilAnotherEraBegins(t *testing.T) {
	g := NewWithT(t)
	m := idleMirror()
	g.Expect(m.ReplaceIfNewer(copyOf(0, 3, map[string]int64{"a": 3}))).To(BeTrue(), "the first copy")
	g.Expect(m.ReplaceIfNewer(copyOf(7, 4, map[string]int64{"a": 4}))).To(BeTrue())
	g.Expect(m.IsNewer(mirror.Version{Revision: 5, Digest: 1})).To(BeTrue())
	g.Expect(m.ReplaceIfNewer(copyOf(0, 6, map[string]int64{"a": 6}))).To(BeTrue())
	g.Expect(m.State().Era).To(Equal(int64(7)))
	g.Expect(m.ReplaceIfNewer(copyOf(8, 2, map[string]int64{"a": 2}))).To(BeTrue())
	g.Expect(m.IsNewer(mirror.Version{Revision: 9, Digest: 1})).To(BeFalse())
	g.Expect(m.ReplaceIfNewer(copyOf(0, 9, map[string]int64{"a": 9}))).To(BeFalse())
}

func TestADeltaOfAnotherEraUsesNothingOfTheCopy(t *testing.T) {
	g := NewWithT(t)
	before := copyOf(1, 9, map[string]int64{"a": 3, "b": 9})
	after := copyOf(2, 9, map[string]int64{"a": 3, "b": 9})
	_, complete := before.Apply(after.Since(before.Changed))
	g.Expect(complete).To(BeFalse(), "the objects have the same revisions, but may have other content")
	got, complete := before.Apply(after.Since(0))
	g.Expect(complete).To(BeTrue())
	g.Expect(got.Position()).To(Equal(after.Position()))
}
