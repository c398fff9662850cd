package swarm

import (
	"math/bits"
	"math/rand/v2"
	"time"
)

// neighbour is a member from which chunks are requested.
type neighbour struct {
	member      Member
	active      bool
	failures    int
	outstanding int
	// retryAt is when requests may resume after a failure or a refusal as busy.
	retryAt time.Time
}

// transfer is a chunk that is being received from neighbours.
type transfer struct {
	began  time.Time
	copies int
	// from is the bit mask of the neighbours from which the chunk is requested.
	from uint32
}

// availability tracks which neighbours hold which chunks and which chunks are in flight, and
// selects the next chunk to request. It is not safe for concurrent use.
type availability struct {
	neighbours []neighbour
	holders    []uint32
	have       []bool
	transfers  map[int]transfer
	rand       *rand.Rand
}

func newAvailability(chunks int, r *rand.Rand) *availability {
	return &availability{
		holders:   make([]uint32, chunks),
		have:      make([]bool, chunks),
		transfers: map[int]transfer{},
		rand:      r,
	}
}

// idle returns the bit mask of the neighbours that can take one more request now.
func (a *availability) idle(now time.Time, perNeighbour int) uint32 {
	var mask uint32
	for i := range a.neighbours {
		n := &a.neighbours[i]
		if n.active && n.outstanding < perNeighbour && !now.Before(n.retryAt) {
			mask |= 1 << i
		}
	}
	return mask
}

// pick selects the next chunk to request and the neighbour to request it from, rarest chunk
// first. If all available chunks are in flight, it selects one that has been in flight for
// longer than slow, to be requested from a second neighbour.
func (a *availability) pick(now time.Time, perNeighbour int, slow time.Duration) (chunk, from int, ok bool) {
	idle := a.idle(now, perNeighbour)
	if idle == 0 {
		return 0, 0, false
	}
	chunk = a.rarest(idle, func(c int) bool { return a.transfers[c].copies == 0 })
	if chunk < 0 {
		chunk = a.rarest(idle, func(c int) bool {
			f := a.transfers[c]
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

// begin records a new request for chunk c to neighbour i.
func (a *availability) begin(c, i int, now time.Time) {
	f := a.transfers[c]
	f.began = now
	f.copies++
	f.from |= 1 << i
	a.transfers[c] = f
	a.neighbours[i].outstanding++
}

// end records that a request for chunk c to neighbour i has ended.
func (a *availability) end(c, i int) {
	a.neighbours[i].outstanding--
	f := a.transfers[c]
	f.copies--
	f.from &^= 1 << i
	if f.copies <= 0 {
		delete(a.transfers, c)
		return
	}
	a.transfers[c] = f
}

// clearHoldings removes neighbour i as a holder of all chunks.
func (a *availability) clearHoldings(i int) {
	for c := range a.holders {
		a.holders[c] &^= 1 << i
	}
}

// known reports whether chunk c is here or at one of the neighbours.
func (a *availability) known(c int) bool {
	return a.have[c] || a.holders[c] != 0
}

// obtainable reports whether one of the neighbours in mask holds chunk c or has been asked
// for it.
func (a *availability) obtainable(c int, mask uint32) bool {
	return (a.holders[c]|a.transfers[c].from)&mask != 0
}
