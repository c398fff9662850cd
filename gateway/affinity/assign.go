package affinity

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

const (
	// pointsPerEndpoint is the number of points of each endpoint on the ring.
	pointsPerEndpoint = 4
	// maxProbes is the number of points that are drawn for an assignment before the ring is
	// searched from the last one on.
	maxProbes = 16
)

// assignment is consistent hashing with bounded loads: the ring holds the endpoints, and each
// gateway is assigned as many as its quota, at points that depend on its name only. An endpoint
// that has enough gateways is passed over.
type assignment struct {
	ring []point
	// room is how many more gateways each endpoint is to be preferred by.
	room []int
	// assigned holds the endpoints of each gateway.
	assigned [][]int
}

// point is a point of an endpoint on the ring.
type point struct {
	hash     uint64
	endpoint int
}

// pick is one of the endpoints that a gateway is to prefer.
type pick struct {
	gateway     int
	start, step uint64
}

// assign returns the indices of the endpoints that each gateway prefers. Both lists must be sorted.
func assign(ids []string, gateways []gateway) [][]int {
	quotas := quotas(gateways, len(ids))
	a := newAssignment(ids, quotas)
	for _, p := range picksOf(gateways, quotas) {
		if endpoint, found := a.search(&p); found {
			a.add(p.gateway, endpoint)
		} else {
			a.exchange(p.gateway)
		}
	}
	return a.assigned
}

// newAssignment returns an assignment without assigned endpoints. The room is even; which endpoints
// have one more follows from their hashes, so that one endpoint more or less changes little.
func newAssignment(ids []string, quotas []int) *assignment {
	total := 0
	for _, n := range quotas {
		total += n
	}
	a := &assignment{room: make([]int, len(ids)), assigned: make([][]int, len(quotas))}
	firsts := make([]point, 0, len(ids))
	for i, id := range ids {
		a.room[i] = total / len(ids)
		firsts = append(firsts, point{hash: xxhash.Sum64String(id), endpoint: i})
		for k := range pointsPerEndpoint {
			a.ring = append(a.ring, point{hash: xxhash.Sum64String(id + "\x00" + strconv.Itoa(k)), endpoint: i})
		}
	}
	byHash := func(a, b point) int { return cmp.Compare(a.hash, b.hash) }
	slices.SortFunc(a.ring, byHash)
	slices.SortFunc(firsts, byHash)
	for _, p := range firsts[:total%len(ids)] {
		a.room[p.endpoint]++
	}
	return a
}

// picksOf returns the picks of all gateways. Their order follows from hashes, so that those of one
// gateway more or less leave most others where they were.
func picksOf(gateways []gateway, quotas []int) []pick {
	var out []pick
	for i, g := range gateways {
		for k := range quotas[i] {
			key := g.name + "\x00" + strconv.Itoa(k)
			out = append(out, pick{gateway: i, start: xxhash.Sum64String(key), step: xxhash.Sum64String(key+"\x00") | 1})
		}
	}
	slices.SortFunc(out, func(a, b pick) int { return cmp.Compare(a.start, b.start) })
	return out
}

// search returns the first endpoint with room that the gateway of p does not have yet.
func (a *assignment) search(p *pick) (endpoint int, found bool) {
	hash, i := p.start, 0
	for range maxProbes {
		hash += p.step
		i, _ = slices.BinarySearchFunc(a.ring, hash, func(at point, hash uint64) int { return cmp.Compare(at.hash, hash) })
		if endpoint := a.ring[i%len(a.ring)].endpoint; a.fits(p.gateway, endpoint) {
			return endpoint, true
		}
	}
	for k := range a.ring {
		if endpoint := a.ring[(i+k)%len(a.ring)].endpoint; a.fits(p.gateway, endpoint) {
			return endpoint, true
		}
	}
	return 0, false
}

func (a *assignment) fits(gateway, endpoint int) bool {
	return a.room[endpoint] > 0 && !slices.Contains(a.assigned[gateway], endpoint)
}

func (a *assignment) add(gateway, endpoint int) {
	a.assigned[gateway] = append(a.assigned[gateway], endpoint)
	a.room[endpoint]--
}

// exchange assigns to a gateway, which has all endpoints with room, an endpoint of another gateway
// that takes one of those in its place.
func (a *assignment) exchange(gateway int) {
	mine := a.assigned[gateway]
	for other, theirs := range a.assigned {
		for i, endpoint := range theirs {
			if slices.Contains(mine, endpoint) {
				continue
			}
			for _, free := range mine {
				if a.fits(other, free) {
					theirs[i] = free
					a.room[free]--
					a.assigned[gateway] = append(mine, endpoint)
					return
				}
			}
		}
	}
}
