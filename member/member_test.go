package member_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/silverdeck/silverdeck/member"
)

var now = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

func at(ms int) time.Time { return now.Add(time.Duration(ms) * time.Millisecond) }

func beat(name string, life, sequence uint64, inFlight map[string]int) member.Heartbeat {
	return member.Heartbeat{
		Entry: member.Entry{Name: name, Life: life, Peer: name + ":1"}, Sequence: sequence, Ready: true,
		Revisions: map[string]int64{"config": int64(sequence)}, InFlight: inFlight,
	}
}

func names(entries []member.Entry) []string {
	var out []string
	for _, e := range entries {
		out = append(out, e.Name)
	}
	return out
}

var _ = Describe("Table", func() {
	var t *member.Table
	BeforeEach(func() { t = member.NewTable(member.Entry{Name: "self"}) })

	It("sums what others have in progress, by their newest word", func() {
		t.Hear(beat("x", 1, 1, map[string]int{"e": 2}), now)
		t.Hear(beat("y", 1, 1, map[string]int{"e": 1, "f": 1}), now)
		Expect(t.InFlight("e")).To(Equal(3))
		t.Hear(beat("x", 1, 2, map[string]int{"e": 1}), now)
		Expect(t.InFlight("e")).To(Equal(2))
	})

	It("ignores heartbeats that are late, its own, and those of nobody", func() {
		Expect(t.Hear(beat("x", 1, 5, nil), now)).To(BeTrue())
		Expect(t.Hear(beat("x", 1, 4, nil), now)).To(BeFalse())
		Expect(t.Hear(beat("x", 2, 1, nil), now)).To(BeTrue(), "a new life begins anew")
		Expect(t.Hear(beat("self", 1, 1, nil), now)).To(BeFalse())
		Expect(t.Hear(beat("", 1, 1, nil), now)).To(BeFalse())
	})

	It("forgets the silent, and says so once", func() {
		t.Hear(beat("x", 1, 1, map[string]int{"e": 2}), now)
		Expect(t.Expire(at(900))).To(BeEmpty())
		Expect(t.Expire(at(901))).To(Equal([]string{"x"}))
		Expect(t.Expire(at(902))).To(BeEmpty())
		Expect(t.InFlight("e")).To(BeZero())
		Expect(t.Live()).To(BeEmpty())
	})

	It("counts an entry that is not ready as alive and does not name it", func() {
		b := beat("x", 1, 1, nil)
		b.Ready = false
		t.Hear(b, now)
		Expect(t.Live()).To(BeEmpty())
		Expect(t.Size()).To(Equal(2))
	})

	It("tells those that the store lists and those that it hears", func() {
		t.Know([]member.Entry{{Name: "self", Peer: "self:1"}, {Name: "x", Peer: "x:1"}})
		t.Hear(beat("y", 1, 1, nil), now)
		Expect(t.Others()).To(Equal([]string{"x:1", "y:1"}))
		Expect(names(t.Live())).To(Equal([]string{"y"}))
	})

	It("shares with all that are listed or heard, and with nobody knows how many before", func() {
		t.Hear(beat("y", 1, 1, nil), now)
		Expect(t.Sharers()).To(BeZero())
		t.Know([]member.Entry{{Name: "self"}, {Name: "x"}, {Name: "z"}})
		Expect(t.Sharers()).To(Equal(4))
	})

	It("knows who is ahead, and spreads those who ask", func() {
		t.Hear(beat("x", 1, 3, nil), now)
		t.Hear(beat("y", 1, 8, nil), now)
		t.Hear(beat("z", 1, 9, nil), now)
		Expect(t.Ahead("config", 3, 0)).To(Equal("y:1"))
		Expect(t.Ahead("config", 3, 0.99)).To(Equal("z:1"))
		Expect(t.Ahead("config", 8, 0)).To(Equal("z:1"))
		Expect(t.Ahead("config", 9, 0)).To(BeEmpty())
	})
})
