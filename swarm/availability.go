package swarm

import (
	"math/bits"
	"math/rand/v2"
	"time"
)

// neighbour is one member that is asked for chunks.
type neighbour struct {
	member      Member
	up          bool
	strikes     int
	outstanding int
	// until is when the neighbour may be asked again after a fault.
	until time.Time
}

// flight is a chunk under way from a neighbour.
type flight struct {
	began  time.Time
	copies int
	// from are the neighbours that it is under way from.
	from uint32
}

// availability knows which neighbour holds which chunk, what is under way, and
// which chunk to ask for next. It is not safe for concurrent use.
type availability struct {
	neighbours []neighbour
	holders    []uint32
	have       []bool
	flights    map[int]flight
	rand       *rand.Rand
}

func newAvailability(chunks int, r *rand.Rand) *availability {
	return &availability{
		holders: make([]uint32, chunks),
		have:    make([]bool, chunks),
		flights: map[int]flight{},
		rand:    r,
	}
}

// idle returns the neighbours that can be asked for one more chunk now.
func (a *availability) idle(now time.Time, perNeighbour int) uint32 {
	var mask uint32
	for i := range a.neighbours {
		n := &a.neighbours[i]
		if n.up && n.outstanding < perNeighbour && !now.Before(n.until) {
			mask |= 1 << i
		}
	}
	return mask
}

// pick returns the next chunk to ask for and the neighbour to ask, rarest
// first. When everything that can be had is under way, it returns a chunk that
// has been under way for longer than slow, to be asked for once more.
func (a *availability) pick(now time.Time, perNeighbour int, slow time.Duration) (chunk, from int, ok bool) {
	idle := a.idle(now, perNeighbour)
	if idle == 0 {
		return 0, 0, false
	}
	chunk = a.rarest(idle, func(c int) bool { return a.flights[c].copies == 0 })
	if chunk < 0 {
		chunk = a.rarest(idle, func(c int) bool {
			f := a.flights[c]
			return f.copies == 1 && now.Sub(f.began) > slow
		})
	}
	if chunk < 0 {
		return 0, 0, false
	}
	return chunk, a.leastBusy(a.holders[chunk] & idle), true
}

func (a *availability) rarest(idle uint32, wanted func(int) bool) int {
	best, rarity, ties := -1, MaxDegree+1, 0
	for c, h := range a.holders {
		if a.have[c] || h&idle == 0 || !wanted(c) {
			continue
		}
		n := bits.OnesCount32(h)
		switch {
		case n < rarity:
			best, rarity, ties = c, n, 1
		case n == rarity:
			ties++
			if a.rand.IntN(ties) == 0 {
				best = c
			}
		}
	}
	return best
}

func (a *availability) leastBusy(mask uint32) int {
	best, ties := -1, 0
	for i := range a.neighbours {
		if mask&(1<<i) == 0 {
			continue
		}
		if best < 0 || a.neighbours[i].outstanding < a.neighbours[best].outstanding {
			best, ties = i, 1
			continue
		}
		if a.neighbours[i].outstanding == a.neighbours[best].outstanding {
			ties++
			if a.rand.IntN(ties) == 0 {
				best = i
			}
		}
	}
	return best
}

// begin notes that chunk c is under way from neighbour i.
func (a *availability) begin(c, i int, now time.Time) {
	f := a.flights[c]
	f.began = now
	f.copies++
	f.from |= 1 << i
	a.flights[c] = f
	a.neighbours[i].outstanding++
}

// end notes that a request for chunk c to neighbour i is over.
func (a *availability) end(c, i int) {
	a.neighbours[i].outstanding--
	f := a.flights[c]
	f.copies--
	f.from &^= 1 << i
	if f.copies <= 0 {
		delete(a.flights, c)
		return
	}
	a.flights[c] = f
}

// forget drops what neighbour i was known to hold.
func (a *availability) forget(i int) {
	for c := range a.holders {
		a.holders[c] &^= 1 << i
	}
}

// expected returns whether chunk c may be had from one of the neighbours in mask, or
// is under way from one.
func (a *availability) expected(c int, mask uint32) bool {
	return (a.holders[c]|a.flights[c].from)&mask != 0
}
