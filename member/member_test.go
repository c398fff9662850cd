package member_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/silverdeck/silverdeck/member"
	"github.com/silverdeck/silverdeck/mirror"
	"github.com/silverdeck/silverdeck/roster"
)

var now = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

func afterMS(ms int) time.Time { return now.Add(time.Duration(ms) * time.Millisecond) }

func newHeartbeat(name string, life, sequence uint64, inFlight map[string]int) member.Heartbeat {
	return member.Heartbeat{
		Entry: member.Entry{Name: name, Life: life, Peer: name + ":1"}, Sequence: sequence, Ready: true,
		Copies: map[string]mirror.Version{"config": {Revision: int64(sequence), Digest: sequence}}, InFlight: inFlight,
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

	It("sums the in-flight requests of others from their latest heartbeats", func() {
		t.HandleHeartbeat(newHeartbeat("x", 1, 1, map[string]int{"e": 2}), now)
		t.HandleHeartbeat(newHeartbeat("y", 1, 1, map[string]int{"e": 1, "f": 1}), now)
		Expect(t.InFlight(roster.Incarnation{ID: "e"})).To(Equal(3))
		t.HandleHeartbeat(newHeartbeat("x", 1, 2, map[string]int{"e": 1}), now)
		Expect(t.InFlight(roster.Incarnation{ID: "e"})).To(Equal(2))
	})

	It("ignores outdated heartbeats, its own, and those without a name", func() {
		Expect(t.HandleHeartbeat(newHeartbeat("x", 1, 5, nil), now)).To(BeTrue())
		Expect(t.HandleHeartbeat(newHeartbeat("x", 1, 4, nil), now)).To(BeFalse())
		Expect(t.HandleHeartbeat(newHeartbeat("x", 2, 1, nil), now)).To(BeTrue(), "a new incarnation restarts the sequence")
		Expect(t.HandleHeartbeat(newHeartbeat("self", 1, 1, nil), now)).To(BeFalse())
		Expect(t.HandleHeartbeat(newHeartbeat("", 1, 1, nil), now)).To(BeFalse())
	})

	It("removes silent gateways and reports each once", func() {
		t.HandleHeartbeat(newHeartbeat("x", 1, 1, map[string]int{"e": 2}), now)
		Expect(t.Expire(afterMS(900))).To(BeEmpty())
		Expect(t.Expire(afterMS(901))).To(Equal([]string{"x"}))
		Expect(t.Expire(afterMS(902))).To(BeEmpty())
		Expect(t.InFlight(roster.Incarnation{ID: "e"})).To(BeZero())
		Expect(t.Live()).To(BeEmpty())
	})

	It("counts a gateway that is not ready as alive but does not list it", func() {
		b := newHeartbeat("x", 1, 1, nil)
		b.Ready = false
		t.HandleHeartbeat(b, now)
		Expect(t.Live()).To(BeEmpty())
		Expect(t.Size()).To(Equal(2))
	})

	It("sends to listed gateways and to live ones", func() {
		t.SetListed([]member.Entry{{Name: "self", Peer: "self:1"}, {Name: "x", Peer: "x:1"}})
		t.HandleHeartbeat(newHeartbeat("y", 1, 1, nil), now)
		Expect(t.PeerAddrs()).To(Equal([]string{"x:1", "y:1"}))
		Expect(names(t.Live())).To(Equal([]string{"y"}))
	})

	It("counts listed and live gateways, and none before the list is read", func() {
		t.HandleHeartbeat(newHeartbeat("y", 1, 1, nil), now)
		Expect(t.KnownSize()).To(BeZero())
		t.SetListed([]member.Entry{{Name: "self"}, {Name: "x"}, {Name: "z"}})
		Expect(t.KnownSize()).To(Equal(4))
	})

	It("reports the suspects of others until they withdraw the suspicion", func() {
		b := newHeartbeat("x", 1, 1, nil)
		b.Suspects = []string{"e"}
		t.HandleHeartbeat(b, now)
		Expect(t.Suspected(roster.Incarnation{ID: "e"})).To(BeTrue())
		Expect(t.Suspected(roster.Incarnation{ID: "f"})).To(BeFalse())
		t.HandleHeartbeat(newHeartbeat("x", 1, 2, nil), now)
		Expect(t.Suspected(roster.Incarnation{ID: "e"})).To(BeFalse())
	})
	It("counts by incarnation of an endpoint", func() {
		b := newHeartbeat("x", 1, 1, nil)
		b.SetEndpoints(map[roster.Incarnation]int{{ID: "e", Born: 5}: 3}, []roster.Incarnation{{ID: "f", Born: 5}})
		t.HandleHeartbeat(b, now)
		Expect(t.InFlight(roster.Incarnation{ID: "e", Born: 5})).To(Equal(3))
		Expect(t.InFlight(roster.Incarnation{ID: "e", Born: 6})).To(BeZero(), "requests at an earlier incarnation")
		Expect(t.InFlight(roster.Incarnation{ID: "e"})).To(Equal(3), "this gateway does not know the start time")
		Expect(t.Suspected(roster.Incarnation{ID: "f", Born: 5})).To(BeTrue())
		Expect(t.Suspected(roster.Incarnation{ID: "f", Born: 6})).To(BeFalse())
		t.HandleHeartbeat(newHeartbeat("y", 1, 1, map[string]int{"e": 2}), now)
		Expect(t.InFlight(roster.Incarnation{ID: "e", Born: 6})).To(Equal(2), "an older version sends no start times")
		t.Expire(afterMS(901))
		Expect(t.InFlight(roster.Incarnation{ID: "e", Born: 5})).To(BeZero())
	})
	It("returns gateways with newer copies", func() {
		t.HandleHeartbeat(newHeartbeat("x", 1, 3, nil), now)
		t.HandleHeartbeat(newHeartbeat("y", 1, 8, nil), now)
		t.HandleHeartbeat(newHeartbeat("z", 1, 9, nil), now)
		version := func(n int64) mirror.Version { return mirror.Version{Revision: n, Digest: uint64(n)} }
		Expect(t.PeersWithNewer("config", newerThan(version(3)))).To(Equal([]string{"y:1", "z:1"}))
		Expect(t.PeersWithNewer("config", newerThan(version(8)))).To(Equal([]string{"z:1"}))
		Expect(t.PeersWithNewer("config", newerThan(version(9)))).To(BeEmpty())
		Expect(t.PeersWithNewer("config", newerThan(mirror.Version{Revision: 8, Digest: 9}))).To(BeEmpty(), "the same objects, confirmed later")
	})
	It("prefers gateways of its own zone", func() {
		far := newHeartbeat("a", 1, 9, nil)
		far.Entry.Zone = "elsewhere"
		t.HandleHeartbeat(far, now)
		Expect(t.PeersWithNewer("config", newerThan(mirror.Version{}))).To(Equal([]string{"a:1"}))
		t.HandleHeartbeat(newHeartbeat("z", 1, 8, nil), now)
		Expect(t.PeersWithNewer("config", newerThan(mirror.Version{}))).To(Equal([]string{"z:1"}))
	})
})

// watcherHeartbeat returns a heartbeat of a gateway that watches the store. away is set if the
// store does not respond to it.
func watcherHeartbeat(name string, away bool) member.Heartbeat {
	b := newHeartbeat(name, 1, 1, nil)
	b.Watching, b.Away = true, away
	return b
}

var _ = Describe("Gateways that watch the store", func() {
	var t *member.Table
	BeforeEach(func() { t = member.NewTable(member.Entry{Name: "m"}) })

	It("are the first two of a zone", func() {
		Expect(t.ShouldWatch()).To(BeTrue(), "the only gateway")
		t.HandleHeartbeat(newHeartbeat("a", 1, 1, nil), now)
		t.HandleHeartbeat(newHeartbeat("z", 1, 1, nil), now)
		Expect(t.ShouldWatch()).To(BeTrue())
		far := newHeartbeat("c", 1, 1, nil)
		far.Entry.Zone = "elsewhere"
		t.HandleHeartbeat(far, now)
		Expect(t.ShouldWatch()).To(BeTrue())
		t.HandleHeartbeat(newHeartbeat("b", 1, 1, nil), now)
		Expect(t.ShouldWatch()).To(BeFalse())
	})
	It("are six in total, or one in each zone if there are more than six zones", func() {
		for _, c := range []struct {
			zones int
			want  []int
		}{
			{1, []int{2}}, {2, []int{2, 2}}, {3, []int{2, 2, 2}}, {4, []int{2, 2, 1, 1}},
			{5, []int{2, 1, 1, 1, 1}}, {6, []int{1, 1, 1, 1, 1, 1}}, {8, []int{1, 1, 1, 1, 1, 1, 1, 1}},
		} {
			var got []int
			for place := range c.zones {
				got = append(got, member.WatchersOfZone(c.zones, place))
			}
			Expect(got).To(Equal(c.want), "%d zones", c.zones)
		}
	})
	It("are fewer per zone with many zones, and are replaced on failure", func() {
		for _, zone := range []string{"b", "c", "d", "e"} {
			far := newHeartbeat("far-"+zone, 1, 1, nil)
			far.Entry.Zone = zone
			t.HandleHeartbeat(far, now)
		}
		t.HandleHeartbeat(watcherHeartbeat("a", false), now)
		Expect(t.ShouldWatch()).To(BeTrue(), "its zone is the first of five")
		t.HandleHeartbeat(watcherHeartbeat("b", false), now)
		Expect(t.ShouldWatch()).To(BeFalse())
		last := member.NewTable(member.Entry{Name: "m", Zone: "z"})
		for _, zone := range []string{"a", "b", "c", "d"} {
			far := newHeartbeat("far-"+zone, 1, 1, nil)
			far.Entry.Zone = zone
			last.HandleHeartbeat(far, now)
		}
		Expect(last.ShouldWatch()).To(BeTrue(), "alone in its zone")
		near := watcherHeartbeat("k", false)
		near.Entry.Zone = "z"
		last.HandleHeartbeat(near, now)
		Expect(last.ShouldWatch()).To(BeFalse())
		near.Away, near.Sequence = true, 2
		last.HandleHeartbeat(near, now)
		Expect(last.ShouldWatch()).To(BeTrue(), "the store does not respond to the preceding gateway")
	})
	It("are replaced while the store does not respond to them, up to a limit", func() {
		t.HandleHeartbeat(watcherHeartbeat("a", false), now)
		t.HandleHeartbeat(watcherHeartbeat("b", true), now)
		Expect(t.ShouldWatch()).To(BeTrue())
		Expect(t.StoreLost()).To(BeFalse())
		again := watcherHeartbeat("a", true)
		again.Sequence++
		t.HandleHeartbeat(again, now)
		Expect(t.StoreLost()).To(BeTrue())
		t.HandleHeartbeat(watcherHeartbeat("c", true), now)
		Expect(t.ShouldWatch()).To(BeTrue())
		t.HandleHeartbeat(watcherHeartbeat("d", true), now)
		Expect(t.ShouldWatch()).To(BeFalse())
		Expect(t.Watchers(false)).To(Equal(4))
	})
	It("are replaced when they fall silent", func() {
		t.HandleHeartbeat(watcherHeartbeat("a", false), now)
		t.HandleHeartbeat(watcherHeartbeat("b", false), now)
		Expect(t.ShouldWatch()).To(BeFalse())
		t.Expire(afterMS(901))
		Expect(t.ShouldWatch()).To(BeTrue())
		Expect(t.StoreLost()).To(BeFalse(), "no gateway reports it")
	})
})

// newerThan returns a function that reports whether a version is newer than mine.
func newerThan(mine mirror.Version) func(mirror.Version) bool {
	return func(v mirror.Version) bool { return v.NewerThan(mine) }
}
