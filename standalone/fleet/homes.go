package fleet

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// HomeCount is how many entries an agent reports to. At today's size these
// are all entries; at 340 entries and 1,900 agents each entry is home to
// about 34 agents.
const HomeCount = 6

// Homes returns the addresses of the home entries of vm, by rendezvous hashing
// over the addresses of all entries.
func Homes(vm string, entries []string) []string {
	out := slices.Clone(entries)
	key := func(addr string) uint64 { return xxhash.Sum64String(vm + "\x00" + addr) }
	slices.SortFunc(out, func(a, b string) int { return cmp.Compare(key(a), key(b)) })
	if len(out) > HomeCount {
		out = out[:HomeCount]
	}
	return out
}
