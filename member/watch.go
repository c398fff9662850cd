package member

import (
	"cmp"
	"slices"

	"github.com/silverdeck/silverdeck/mirror"
)

// Limits on how many gateways watch the store.
const (
	// watchersPerZone is how many gateways that the store responds to watch it for their zone.
	// With two, one may fail.
	watchersPerZone = 2
	// watchersTotal is how many gateways watch the store in all zones together, unless there
	// are more zones. If the store silently rejects a third of the VMs, all six are among them
	// in one of a thousand cases. With two in each of five zones the number of store calls grew
	// with the number of zones rather than with the failures to be survived (docs/LARGE.md).
	watchersTotal = 6
	// maxUnansweredWatchers is how many gateways of a zone try to watch while the store
	// responds to none of them, so that an outage does not make all gateways call the store.
	maxUnansweredWatchers = 4
)

// WatchersOfZone returns how many gateways of a zone watch the store for it. zones is the
// number of zones, and place the zone's rank among them by name, starting at 0.
func WatchersOfZone(zones, place int) int {
	if place < watchersTotal-zones {
		return watchersPerZone
	}
	return 1
}

// Watches returns whether a gateway watches the store for its zone, which has the given number
// of watchers. before is how many gateways of the zone precede it by name, and answered how
// many of these the store responds to.
func Watches(before, answered, watchers int) bool {
	return answered < watchers && before < maxUnansweredWatchers
}

// watchers returns how many gateways of this zone watch the store. zones holds the zones of all
// known gateways; the method adds this gateway's own. The caller must hold t.mu.
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

// ShouldWatch returns whether this gateway has to watch the store for its zone. The first
// gateways by name do; the next one takes over from one that the store does not respond to.
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

// FirstListed returns whether this gateway is among the first of its zone by name in the
// store's list, by its own record there. Such a gateway has to watch the store immediately at
// its start, before it has heard others: after a simultaneous start of all gateways nobody else
// does.
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

// Watchers returns how many gateways watch the store, including this one if watching is set.
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

// StoreLost returns whether other gateways watch the store and it responds to none of them.
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

// PeersWithNewer returns the peer addresses of gateways whose copy of kind has a version that
// isNewer returns true for.
// Only gateways heard directly count: relays bring a copy into their zone, and the zone's other
// gateways take it from them. Gateways of this gateway's zone are preferred; others are
// returned only if there are none.
func (t *Table) PeersWithNewer(kind string, isNewer func(mirror.Version) bool) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var near, far []string
	for _, p := range t.direct {
		switch {
		case !isNewer(p.heartbeat.Copies[kind]):
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
