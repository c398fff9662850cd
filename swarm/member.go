// Package swarm moves chunks of weights from the origin to the VMs that want them
// and between these, without a leader.
//
// Every member computes from the list of members alone who reads which chunk
// from the origin (schedule.go) and who its neighbours are (ring.go). A chunk
// enters a region through its designated reader (obtain.go, readorigin.go) and
// spreads from neighbour to neighbour, rarest first (fetch.go). Nothing here needs
// the platform.
//
// A Download owns the state of one version on one VM, under one lock. It relies on
// a Transport to other members and on an Origin. Members are sent by gob, which
// puts the names of type, fields and package on the wire.
package swarm

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/silverdeck/silverdeck/weights"
)

// Member is a VM that takes part in a distribution.
type Member struct {
	VM     string
	Addr   string
	Zone   string
	Region string
}

// allChunks stands for the weights as a whole where a chunk is asked for.
const allChunks = -1

// score orders members for a chunk by rendezvous hashing.
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

// ranked returns the first n of members for a chunk, best first.
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
