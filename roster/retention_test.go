package roster_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/silverdeck/silverdeck/roster"
)

const (
	grace     = 2 * time.Second
	unnoticed = time.Second
)

var start = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// list returns a list of endpoints of one service; a leading "-" marks a leaving one.
func list(ids ...string) *roster.List {
	l := &roster.List{Endpoints: map[string]*roster.Endpoint{}}
	for _, id := range ids {
		leaving := id[0] == '-'
		if leaving {
			id = id[1:]
		}
		l.Endpoints[id] = &roster.Endpoint{ID: id, Service: "s", Leaving: leaving}
	}
	return l
}

func ids(l *roster.List) []string {
	out := []string{}
	for id := range l.Endpoints {
		out = append(out, id)
	}
	return out
}

func TestEndpointsThatLapsedWhileTheStoreWasAwayAreKeptUntilTheyAreBack(t *testing.T) {
	g := NewWithT(t)
	r := roster.NewRetention(grace, unnoticed)
	r.StoreLost()
	r.StoreReturned(at(0))
	now := list("c")
	g.Expect(r.AddRetained(now, list("a", "b", "c"), at(100))).To(Equal(at(2000)))
	g.Expect(ids(now)).To(ConsistOf("a", "b", "c"))
	later := list("a", "c")
	g.Expect(r.AddRetained(later, now, at(1500))).To(Equal(at(2000)))
	g.Expect(ids(later)).To(ConsistOf("a", "b", "c"))
	last := list("a", "c")
	g.Expect(r.AddRetained(last, later, at(2000))).To(BeZero())
	g.Expect(ids(last)).To(ConsistOf("a", "c"), "a missing endpoint has expired")
}

func TestAnEndpointThatVanishesWhileTheStoreAnswersIsGone(t *testing.T) {
	g := NewWithT(t)
	r := roster.NewRetention(grace, unnoticed)
	now := list("b", "c")
	g.Expect(r.AddRetained(now, list("a", "b", "c"), at(0))).To(BeZero())
	g.Expect(ids(now)).To(ConsistOf("b", "c"))
}

func TestASingleEndpointThatVanishesJustAfterTheReturnIsKeptTillItsEnd(t *testing.T) {
	g := NewWithT(t)
	r := roster.NewRetention(grace, unnoticed)
	r.StoreLost()
	r.StoreReturned(at(0))
	now := list("b", "c", "d")
	g.Expect(r.AddRetained(now, list("a", "b", "c", "d"), at(1200))).To(Equal(at(2000)))
	g.Expect(ids(now)).To(ConsistOf("a", "b", "c", "d"))
}

func TestAnEndpointThatSaidItLeavesIsNotKept(t *testing.T) {
	g := NewWithT(t)
	r := roster.NewRetention(grace, unnoticed)
	r.StoreLost()
	now := list("b")
	g.Expect(r.AddRetained(now, list("-a", "b"), at(0))).To(BeZero())
	g.Expect(ids(now)).To(ConsistOf("b"))
}

func TestWhatVanishesInACopyOfAnotherEntryIsKeptWhileTheStoreIsAway(t *testing.T) {
	g := NewWithT(t)
	r := roster.NewRetention(grace, unnoticed)
	r.StoreLost()
	now := list("b", "c", "d")
	g.Expect(r.AddRetained(now, list("a", "b", "c", "d"), at(500))).To(Equal(at(2500)))
	next := list("b", "c", "d")
	g.Expect(r.AddRetained(next, now, at(2500))).To(BeZero())
	g.Expect(ids(next)).To(ConsistOf("b", "c", "d"))
}

func TestManyThatVanishTogetherAreKeptThoughNoCopyWasSeenToFail(t *testing.T) {
	g := NewWithT(t)
	r := roster.NewRetention(grace, unnoticed)
	before := list("a", "b", "c", "d", "e", "f", "g")
	now := list("d", "e", "f", "g")
	g.Expect(r.AddRetained(now, before, at(0))).To(Equal(at(1000)))
	g.Expect(ids(now)).To(HaveLen(7))
	few := list("c", "d", "e", "f", "g")
	g.Expect(roster.NewRetention(grace, unnoticed).AddRetained(few, before, at(0))).To(BeZero(), "two may have left at the same time")
}

// Guards against losing all endpoints of a service in a store outage: their records lapse
// together, before the gateways detect that the store is unreachable.
func TestManyThatVanishedTogetherAreKeptWhileTheStoreIsAway(t *testing.T) {
	before := list("a", "b", "c", "d")
	for name, c := range map[string]struct{ lost, returned int }{
		"detected before the disappearance": {-100, 5000},
		"detected afterwards":               {500, 5000},
		"detected just before they expire":  {999, 5000},
		"detected afterwards, short outage": {500, 600},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			r := roster.NewRetention(grace, unnoticed)
			kept := before
			look := func(ms int) []string {
				next := list("d")
				r.AddRetained(next, kept, at(ms))
				kept = next
				return ids(next)
			}
			for ms := -100; ms < c.returned+2000; ms++ {
				if ms == c.lost {
					r.StoreLost()
				}
				if ms == c.returned {
					r.StoreReturned(at(ms))
				}
				if ms >= 0 {
					g.Expect(look(ms)).To(HaveLen(4), "at %d ms", ms)
				}
			}
			g.Expect(look(c.returned + 2000)).To(ConsistOf("d"))
		})
	}
}

func TestManyThatVanishedTogetherLongBeforeTheStoreWasAwayAreGone(t *testing.T) {
	g := NewWithT(t)
	r := roster.NewRetention(grace, unnoticed)
	kept := list("d")
	r.AddRetained(kept, list("a", "b", "c", "d"), at(0))
	g.Expect(ids(kept)).To(HaveLen(4))
	r.AddRetained(list("d"), kept, at(1000))
	r.StoreLost()
	last := list("d")
	g.Expect(r.AddRetained(last, list("d"), at(1001))).To(BeZero())
	g.Expect(ids(last)).To(ConsistOf("d"))
}

func TestTheReturnIsThatOfTheFirstCallThatSucceeds(t *testing.T) {
	g := NewWithT(t)
	r := roster.NewRetention(grace, unnoticed)
	r.StoreLost()
	r.StoreReturned(at(0))
	r.StoreReturned(at(1500))
	now := list("b", "c", "d")
	g.Expect(r.AddRetained(now, list("a", "b", "c", "d"), at(2100))).To(BeZero())
	g.Expect(ids(now)).To(ConsistOf("b", "c", "d"))
}
