// Package swarm distributes chunks of weights from an origin to VMs and among these VMs, without
// a coordinator.
//
// Every member derives from the list of members alone which member reads which chunk from the
// origin (schedule.go) and which members are its neighbours (ring.go). A chunk enters a region
// through its designated reader (obtain.go, readorigin.go) and spreads from neighbour to
// neighbour, rarest first (fetch.go). The package does not depend on the platform.
//
// A Download holds the state of one version on one VM, guarded by one lock. It uses a Transport
// to reach other members and an Origin to read chunks. Member is encoded with gob, which writes
// the names of the package, the type and its fields.
package swarm

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/silverdeck/silverdeck/weights"
)

// Member is a VM that takes part in the distribution of a version.
type Member struct {
	VM     string
	Addr   string
	Zone   string
	Region string
}

// allChunks is the chunk index that stands for the weights as a whole in score.
const allChunks = -1

// score returns the rendezvous hash of a chunk and a VM, by which members are ranked.
func score(root weights.Digest, chunk int, vm string) uint64 {
	var b [weights.DigestSize + 4]byte
	copy(b[:], root[:])
	b[weights.DigestSize] = byte(chunk)
	b[weights.DigestSize+1] = byte(chunk >> 8)
	b[weights.DigestSize+2] = byte(chunk >> 16)
	b[weights.DigestSize+3] = byte(chunk >> 24)
	h := xxhash.New()
	_, _ = h.Write(b[:])
	_, _ = h.WriteString(vm)
	return h.Sum64()
}

// ranked returns the n members with the highest scores for a chunk, in descending order.
func ranked(root weights.Digest, chunk int, members []Member, n int) []Member {
	type scored struct {
		s uint64
		m int
	}
	best := make([]scored, 0, n+1)
	for i := range members {
		s := scored{s: score(root, chunk, members[i].VM), m: i}
		at, _ := slices.BinarySearchFunc(best, s, func(a, b scored) int { return cmp.Compare(b.s, a.s) })
		if at >= n {
			continue
		}
		best = slices.Insert(best, at, s)
		if len(best) > n {
			best = best[:n]
		}
	}
	out := make([]Member, len(best))
	for i, s := range best {
		out[i] = members[s.m]
	}
	return out
}

// inRegion returns the members of a region.
func inRegion(members []Member, region string) []Member {
	var out []Member
	for _, m := range members {
		if m.Region == region {
			out = append(out, m)
		}
	}
	return out
}
