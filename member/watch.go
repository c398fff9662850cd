package member

import (
	"cmp"
	"slices"

	"github.com/silverdeck/silverdeck/mirror"
)

// Who watches the store.
const (
	// watchersInZone is how many entries of a zone watch the store for all of it,
	// of those that reach it.
	watchersInZone = 2
	// mostInZone is how many try to when the store answers none of them.
	mostInZone = 4
)

// Watching returns whether this entry is to watch the store for the entries of
// its zone. The first by name do; those whom the store does not answer make
// room for the next.
func (t *Table) Watching() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	before, reaching := 0, 0
	for name, p := range t.heard {
		if p.beat.Entry.Zone != t.self.Zone || name > t.self.Name {
			continue
		}
		before++
		if !p.beat.Away {
			reaching++
		}
	}
	return reaching < watchersInZone && before < mostInZone
}

// Watchers returns how many entries watch the store, with this one if watching
// is set.
func (t *Table) Watchers(watching bool) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	if watching {
		n++
	}
	for _, p := range t.heard {
		if p.beat.Watching {
			n++
		}
	}
	return n
}

// StoreAway returns whether the store answers none of the other entries that
// watch it, and there are some.
func (t *Table) StoreAway() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	away := false
	for _, p := range t.heard {
		if !p.beat.Watching {
			continue
		}
		if !p.beat.Away {
			return false
		}
		away = true
	}
	return away
}

// Ahead returns the peer addresses of live entries that have a newer copy of
// kind than mine, those of this entry's zone first.
func (t *Table) Ahead(kind string, mine mirror.Version) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var near, far []string
	for _, p := range t.heard {
		switch {
		case !p.beat.Copies[kind].NewerThan(mine):
		case p.beat.Entry.Zone == t.self.Zone:
			near = append(near, p.beat.Entry.Peer)
		default:
			far = append(far, p.beat.Entry.Peer)
		}
	}
	slices.SortFunc(near, cmp.Compare[string])
	slices.SortFunc(far, cmp.Compare[string])
	if len(near) > 0 {
		return near
	}
	return far
}
