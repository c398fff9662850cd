package snapshot_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/silverdeck/silverdeck/standalone/object"
	"github.com/silverdeck/silverdeck/standalone/snapshot"
)

func model(name string) object.Object {
	return object.Object{Kind: object.KindModel, Name: name, Spec: &object.ModelSpec{Source: "models/" + name}}
}

func batch(author string, changes ...snapshot.Change) snapshot.Batch {
	return snapshot.Batch{Author: author, Mark: author + " did it", Changes: changes}
}

func put(o object.Object, expect int64) snapshot.Change {
	return snapshot.Change{Op: snapshot.OpPut, Object: o, Expect: expect}
}

func must(s *snapshot.Snapshot, b snapshot.Batch) *snapshot.Snapshot {
	n, err := snapshot.Next(s, b)
	Expect(err).NotTo(HaveOccurred())
	return n
}

var _ = Describe("Next", func() {
	It("changes all of a batch or nothing", func() {
		s := must(&snapshot.Snapshot{}, batch("ada", put(model("a"), 0)))
		_, err := snapshot.Next(s, batch("bela", put(model("b"), 0), put(model("a"), 0)))
		Expect(err).To(MatchError(ContainSubstring(`Model/a was changed by "ada" at revision 1`)))
		Expect(s.Objects).To(HaveLen(1))
	})

	It("tells who deleted an object that another wants to change", func() {
		s := must(&snapshot.Snapshot{}, batch("ada", put(model("a"), 0)))
		s = must(s, batch("bela", snapshot.Change{Op: snapshot.OpDelete, Object: model("a"), Expect: 1}))
		_, err := snapshot.Next(s, batch("ada", put(model("a"), 1)))
		Expect(err).To(MatchError(ContainSubstring(`changed by "bela" at revision 2: it was deleted`)))
	})

	It("refuses what would leave a name without its object", func() {
		service := object.Object{Kind: object.KindService, Name: "s", Spec: &object.ServiceSpec{Model: "a"}}
		_, err := snapshot.Next(&snapshot.Snapshot{}, batch("ada", put(service, 0)))
		Expect(err).To(MatchError(ContainSubstring("Model/a")))
		s := must(&snapshot.Snapshot{}, batch("ada", put(service, 0), put(model("a"), 0)))
		_, err = snapshot.Next(s, batch("ada", snapshot.Change{Op: snapshot.OpDelete, Object: model("a"), Expect: 1}))
		Expect(err).To(HaveOccurred())
	})

	It("keeps the marks of the last writes only", func() {
		s := &snapshot.Snapshot{}
		for i := range 100 {
			b := batch("ada", put(model("a"), int64(i)))
			b.Mark = string(rune('A' + i))
			s = must(s, b)
		}
		Expect(s.Marks).To(HaveLen(64))
		Expect(s.HasMark(string(rune('A' + 99)))).To(BeTrue())
	})
})

var _ = Describe("Holder", func() {
	It("only moves forward", func() {
		h := snapshot.NewHolder()
		changed := h.Changed()
		Expect(h.Advance(&snapshot.Snapshot{Revision: 5})).To(BeTrue())
		Expect(changed).To(BeClosed())
		Expect(h.Advance(&snapshot.Snapshot{Revision: 5})).To(BeFalse())
		Expect(h.Advance(&snapshot.Snapshot{Revision: 4})).To(BeFalse())
		Expect(h.Current().Revision).To(Equal(int64(5)))
	})
})

func FuzzDecode(f *testing.F) {
	b, err := snapshot.Encode(&snapshot.Snapshot{Revision: 1, Objects: []object.Object{model("a")}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(b)
	f.Add([]byte("not gzip"))
	f.Fuzz(func(t *testing.T, b []byte) {
		s, err := snapshot.Decode(b)
		if err != nil {
			return
		}
		if _, err := snapshot.Encode(s); err != nil {
			t.Fatal(err)
		}
	})
}
