package member

import "github.com/silverdeck/silverdeck/roster"

// loadView are what all other gateways told of endpoints, as far as this one knows: its own
// view, or that of a relay of its zone, whichever covers more gateways. They are not mixed,
// since each is whole.
type loadView struct {
	covers int
	// direct is set for the own view: then what was heard directly is counted as well.
	direct bool
	remote []*relayLoads
}

// bestView returns the sums to go by. A relay that hears nobody itself, as behind a cut of one
// direction, covers few, and the other one's are taken. The caller holds the lock.
func (t *Table) bestView() loadView {
	own := t.ownView()
	var relay *relayState
	for _, r := range t.relays {
		if !r.fresh || r.zone != t.self.Zone || r.loads.covers <= own.covers {
			continue
		}
		if relay == nil || preferred(r, relay) {
			relay = r
		}
	}
	if relay == nil {
		return own
	}
	return loadView{covers: relay.loads.covers, remote: []*relayLoads{&relay.loads}}
}

// preferred returns whether the loads that relay r told are to be gone by rather than those
// of s: that cover more gateways, or are newer.
func preferred(r, s *relayState) bool {
	if r.loads.covers != s.loads.covers {
		return r.loads.covers > s.loads.covers
	}
	return r.heardAt.After(s.heardAt)
}

// ownView returns the sums of what this gateway heard itself: heartbeats, and for each
// other zone the loads of one of its relays. The caller holds the lock.
func (t *Table) ownView() loadView {
	out := loadView{direct: true}
	zones := map[string]*relayState{}
	for _, r := range t.relays {
		if r.zone == t.self.Zone || !r.fresh || r.loads.covers == 0 {
			continue
		}
		if known := zones[r.zone]; known == nil || preferred(r, known) {
			zones[r.zone] = r
		}
	}
	for _, p := range t.direct {
		if zones[p.heartbeat.Entry.Zone] == nil {
			out.covers++
		}
	}
	for _, r := range zones {
		out.covers += r.loads.covers
		out.remote = append(out.remote, &r.loads)
	}
	return out
}

// Suspected returns whether another gateway suspects an endpoint.
func (t *Table) Suspected(l roster.Life) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.currentView()
	if s.direct && t.suspects.get(l) > 0 {
		return true
	}
	for _, f := range s.remote {
		if f.suspects.get(l) > 0 {
			return true
		}
	}
	return false
}

// InFlight returns how many requests the other gateways have at an endpoint.
func (t *Table) InFlight(l roster.Life) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.currentView()
	n := 0
	if s.direct {
		n = t.inFlight.get(l)
	}
	for _, f := range s.remote {
		n += f.inFlight.get(l)
	}
	return n
}

// currentView returns the sums to go by, which are worked out once after each heartbeat.
// The caller holds the lock.
func (t *Table) currentView() *loadView {
	if t.view == nil {
		s := t.bestView()
		t.view = &s
	}
	return t.view
}

// loadTotals is what a relay tells others of endpoints.
type loadTotals struct {
	covers             int
	inFlight, suspects keyCounts
}

// zoneTotals returns the sums of the gateways of this zone, this one among them, whose
// heartbeat is own. The caller holds the lock.
func (t *Table) zoneTotals(own *Heartbeat) loadTotals {
	out := loadTotals{covers: 1, inFlight: keyCounts{}, suspects: keyCounts{}}
	ownCounts, ownSuspects := counts{}, counts{}
	own.countInto(ownCounts, ownSuspects, 1)
	out.inFlight.addCounts(ownCounts, 1)
	out.suspects.addCounts(ownSuspects, 1)
	for _, p := range t.direct {
		if p.heartbeat.Entry.Zone == t.self.Zone {
			out.covers++
		}
	}
	out.inFlight.addCounts(t.inFlight, 1)
	out.suspects.addCounts(t.suspects, 1)
	return out
}

// fleetTotals returns the sums of all gateways, as far as this one heard itself. The caller
// holds the lock.
func (t *Table) fleetTotals(zone loadTotals) loadTotals {
	far := t.ownView()
	out := loadTotals{covers: far.covers + 1, inFlight: keyCounts{}, suspects: keyCounts{}}
	out.inFlight.add(zone.inFlight)
	out.suspects.add(zone.suspects)
	for _, f := range far.remote {
		out.inFlight.add(f.inFlight)
		out.suspects.add(f.suspects)
	}
	return out
}

// excluding returns the sums for a gateway, excluding what it told itself; b is its heartbeat,
// nil if there was none.
func (s loadTotals) excluding(b *Heartbeat) *Loads {
	if b == nil {
		return &Loads{Covers: s.covers, InFlight: s.inFlight.pack(), Suspects: s.suspects.pack()}
	}
	inFlight, suspects := counts{}, counts{}
	b.countInto(inFlight, suspects, 1)
	out := loadTotals{inFlight: keyCounts{}, suspects: keyCounts{}}
	out.inFlight.add(s.inFlight)
	out.inFlight.addCounts(inFlight, -1)
	out.suspects.add(s.suspects)
	out.suspects.addCounts(suspects, -1)
	return &Loads{Covers: s.covers - 1, InFlight: out.inFlight.pack(), Suspects: out.suspects.pack()}
}
