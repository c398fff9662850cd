package roster_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/silverdeck/silverdeck/roster"
)

// before lists the endpoints of a service, of which some disappear.
var before = []string{"a", "b", "c", "d", "e", "f", "g", "h"}

func TestTheBoundariesOfRetention(t *testing.T) {
	lost := func(r *roster.Retention) { r.StoreLost() }
	returned := func(r *roster.Retention) {
		r.StoreLost()
		r.StoreReturned(at(0))
	}
	lostAgain := func(r *roster.Retention) {
		returned(r)
		r.StoreLost()
	}
	never := func(*roster.Retention) {}
	for name, c := range map[string]struct {
		store func(*roster.Retention)
		// listed are the endpoints that the store lists at now, in ms.
		listed []string
		now    int
		// until is when the missing endpoints expire, in ms, or 0 if they are not kept.
		until int
	}{
		"just after the return":                     {returned, before[1:], 0, 2000},
		"just before the grace ends":                {returned, before[1:], 1999, 2000},
		"as the grace ends":                         {returned, before[1:], 2000, 0},
		"while the store is lost":                   {lost, before[1:], 0, 2000},
		"while the store is lost, a minute later":   {lost, before[1:], 60_000, 62_000},
		"when it is lost again":                     {lostAgain, before[1:], 5_000, 7_000},
		"three of eight disappear, below the share": {never, before[3:], 100, 0},
		"four of eight disappear together":          {never, before[4:], 100, 1100},
		"four disappear as the grace ends":          {returned, before[4:], 2000, 3000},
		"four disappear within the grace":           {returned, before[4:], 1999, 2000},
		"two of two disappear, below the count":     {never, nil, 100, 0},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			r := roster.NewRetention(grace, unnoticed)
			c.store(r)
			had := list(before...)
			if c.listed == nil {
				had = list("a", "b")
			}
			now := list(c.listed...)
			end := r.AddRetained(now, had, at(c.now))
			if c.until == 0 {
				g.Expect(end).To(BeZero())
				g.Expect(ids(now)).To(ConsistOf(c.listed))
				return
			}
			g.Expect(end).To(Equal(at(c.until)))
			g.Expect(now.Endpoints).To(HaveLen(len(had.Endpoints)))
			last := list(c.listed...)
			g.Expect(r.AddRetained(last, now, at(c.until).Add(-time.Millisecond))).To(Equal(at(c.until)))
			g.Expect(last.Endpoints).To(HaveLen(len(had.Endpoints)))
			after := list(c.listed...)
			g.Expect(r.AddRetained(after, last, at(c.until))).To(BeZero())
			g.Expect(ids(after)).To(ConsistOf(c.listed), "missing endpoints have expired")
		})
	}
}

func TestARecordThatReturnsAfterItWasGivenUpIsUsedAndKeptAnew(t *testing.T) {
	g := NewWithT(t)
	r := roster.NewRetention(grace, unnoticed)
	r.StoreLost()
	r.StoreReturned(at(0))
	without := func() *roster.List { return list("b", "c") }
	now := without()
	g.Expect(r.AddRetained(now, list("a", "b", "c"), at(100))).To(Equal(at(2000)))
	gone := without()
	g.Expect(r.AddRetained(gone, now, at(2000))).To(BeZero())
	back := list("a", "b", "c")
	g.Expect(r.AddRetained(back, gone, at(2600))).To(BeZero())
	g.Expect(ids(back)).To(ConsistOf("a", "b", "c"))
	r.StoreLost()
	later := without()
	g.Expect(r.AddRetained(later, back, at(9000))).To(Equal(at(11_000)), "the earlier expiry no longer applies")
}

func TestARecordThatReturnsInTimeAndSaysItLeavesIsNotKeptAgain(t *testing.T) {
	g := NewWithT(t)
	r := roster.NewRetention(grace, unnoticed)
	r.StoreLost()
	now := list("b", "c")
	r.AddRetained(now, list("a", "b", "c"), at(0))
	back := list("-a", "b", "c")
	g.Expect(r.AddRetained(back, now, at(500))).To(BeZero())
	after := list("b", "c")
	g.Expect(r.AddRetained(after, back, at(600))).To(BeZero())
	g.Expect(ids(after)).To(ConsistOf("b", "c"))
}
