package member

import (
	"cmp"
	"slices"

	"github.com/silverdeck/silverdeck/mirror"
)

// Who watches the store.
const (
	// watchersInZone is how many gateways of a zone watch the store for all of it, of
	// those that it answers: one may die. Measured as a whole, "Copies between
	// gateways" in docs/MEASUREMENTS.md; the value is judgement.
	watchersInZone = 2
	// maxTrying is how many try to while the store answers none of them, so that an
	// outage does not make all of them call. Chosen by judgement, not measured.
	maxTrying = 4
)

// Watches returns whether a gateway watches the store for its zone. before is how
// many gateways of the zone come before it by name, answered how many of these the
// store answers.
func Watches(before, answered int) bool {
	return answered < watchersInZone && before < maxTrying
}

// Watching returns whether this gateway is to watch the store for those of its
// zone. The first by name do; the next takes the place of one that the store does
// not answer.
func (t *Table) Watching() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	before, answered := 0, 0
	for name, p := range t.heard {
		if p.beat.Entry.Zone != t.self.Zone || name > t.self.Name {
			continue
		}
		before++
		if !p.beat.Away {
			answered++
		}
	}
	return Watches(before, answered)
}

// Watchers returns how many gateways watch the store, with this one if watching
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

// StoreLost returns whether the store answers none of the other gateways that
// watch it, and there are some.
func (t *Table) StoreLost() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	lost := false
	for _, p := range t.heard {
		if !p.beat.Watching {
			continue
		}
		if !p.beat.Away {
			return false
		}
		lost = true
	}
	return lost
}

// Newer returns the peer addresses of live gateways that have a newer copy of kind
// than mine, those of this gateway's zone alone where there are some.
func (t *Table) Newer(kind string, mine mirror.Version) []string {
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
