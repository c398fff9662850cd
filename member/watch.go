package member

import (
	"cmp"
	"slices"

	"github.com/silverdeck/silverdeck/mirror"
)

// Who watches the store.
const (
	// watchersPerZone is how many gateways of a zone watch the store for all of it, of those
	// that it answers: one may die.
	watchersPerZone = 2
	// watchersTotal is how many do in all zones, unless there are more zones: where the
	// store turns a third of the VMs away without a word, all of six are among them in one
	// case of a thousand. With two in each of five zones the store's calls grew with zones
	// and not with what must be survived (docs/LARGE.md).
	watchersTotal = 6
	// maxUnansweredWatchers is how many try to while the store answers none of them, so that an outage
	// does not make all of them call.
	maxUnansweredWatchers = 4
)

// WatchersOfZone returns how many gateways of a zone watch the store for it. zones is how many
// zones there are, and place that of the zone among them by name, 0 first.
func WatchersOfZone(zones, place int) int {
	if place < watchersTotal-zones {
		return watchersPerZone
	}
	return 1
}

// Watches returns whether a gateway watches the store for its zone, where so many do.
// before is how many gateways of the zone come before it by name, answered how many of
// these the store answers.
func Watches(before, answered, watchers int) bool {
	return answered < watchers && before < maxUnansweredWatchers
}

// watchers returns how many gateways of this zone watch the store, where all that there are
// have these zones. The caller holds the lock.
func (t *Table) watchers(zones map[string]bool) int {
	place := 0
	for zone := range zones {
		if zone < t.self.Zone {
			place++
		}
	}
	zones[t.self.Zone] = true
	return WatchersOfZone(len(zones), place)
}

// ShouldWatch returns whether this gateway is to watch the store for those of its
// zone. The first by name do; the next takes the place of one that the store does
// not answer.
func (t *Table) ShouldWatch() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	before, answered := 0, 0
	zones := map[string]bool{}
	for name, m := range t.liveMembers() {
		zones[m.Entry.Zone] = true
		if m.Entry.Zone != t.self.Zone || name > t.self.Name {
			continue
		}
		before++
		if !m.Away {
			answered++
		}
	}
	return Watches(before, answered, t.watchers(zones))
}

// FirstListed returns whether this gateway is one of the first of its zone by name that
// the store lists, by a record of its own. It is to watch the store at once when it starts
// and has not heard others yet: after a start of all nobody else does.
func (t *Table) FirstListed() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	before := 0
	zones := map[string]bool{}
	for name, e := range t.listedEntries {
		zones[e.Zone] = true
		if e.Zone == t.self.Zone && name < t.self.Name {
			before++
		}
	}
	return t.selfListed && before < t.watchers(zones)
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
	for _, m := range t.liveMembers() {
		if m.Watching {
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
	for _, m := range t.liveMembers() {
		if !m.Watching {
			continue
		}
		if !m.Away {
			return false
		}
		lost = true
	}
	return lost
}

// PeersWithNewer returns the peer addresses of gateways that have a newer copy of kind than mine,
// of those that this one hears itself: where there are relays, these bring a copy into
// their zone, and the others take it from them. Those of this gateway's zone come alone
// where there are some.
func (t *Table) PeersWithNewer(kind string, mine mirror.Version) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var near, far []string
	for _, p := range t.direct {
		switch {
		case !p.heartbeat.Copies[kind].NewerThan(mine):
		case p.heartbeat.Entry.Zone == t.self.Zone:
			near = append(near, p.heartbeat.Entry.Peer)
		default:
			far = append(far, p.heartbeat.Entry.Peer)
		}
	}
	slices.SortFunc(near, cmp.Compare[string])
	slices.SortFunc(far, cmp.Compare[string])
	if len(near) > 0 {
		return near
	}
	return far
}
