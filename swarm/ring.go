package swarm

import (
	"cmp"
	"math"
	"slices"

	"github.com/silverdeck/silverdeck/weights"
)

// MaxDegree is the maximum number of neighbours: availability keeps one bit per neighbour in a
// uint32.
const MaxDegree = 32

// candidates returns the other members of self's region in the order in which self prefers them
// as neighbours. The first degree candidates lie at geometrically growing offsets in a ring, in
// both directions. They form a graph of small diameter in which the in-degree of every member
// equals its out-degree. The ring is sorted by availability zone, so that near neighbours share
// one.
func candidates(root weights.Digest, self Member, members []Member, degree int) []Member {
	ring := inRegion(members, self.Region)
	slices.SortFunc(ring, func(a, b Member) int {
		if c := cmp.Compare(a.Zone, b.Zone); c != 0 {
			return c
		}
		return cmp.Compare(score(root, allChunks, a.VM), score(root, allChunks, b.VM))
	})
	at := slices.IndexFunc(ring, func(m Member) bool { return m.VM == self.VM })
	if at < 0 {
		return ring
	}
	n := len(ring)
	out := make([]Member, 0, n-1)
	seen := map[int]bool{at: true}
	add := func(offset int) {
		i := ((at+offset)%n + n) % n
		if !seen[i] {
			seen[i] = true
			out = append(out, ring[i])
		}
	}
	for _, o := range offsets(n, degree/2) {
		add(o)
		add(-o)
	}
	for o := 1; o < n; o++ {
		add(o)
	}
	return out
}

// offsets returns k distinct offsets that grow geometrically from 1 to about n/2.
func offsets(n, k int) []int {
	out := make([]int, 0, k)
	last := 0
	for i := 0; i < k; i++ {
		o := int(math.Round(math.Pow(float64(n)/2, float64(i)/float64(max(k-1, 1)))))
		o = max(o, last+1)
		out = append(out, o)
		last = o
	}
	return out
}
