package member

import "github.com/silverdeck/silverdeck/roster"

// sums are what all other gateways told of endpoints, as far as this one knows: its own
// view, or that of a relay of its zone, whichever covers more gateways. They are not mixed,
// since each is whole.
type sums struct {
	covers int
	// direct is set for the own view: then what was heard directly is counted as well.
	direct bool
	far    []*loads
}

// best returns the sums to go by. A relay that hears nobody itself, as behind a cut of one
// direction, covers few, and the other one's are taken. The caller holds the lock.
func (t *Table) best() sums {
	own := t.ownView()
	var relay *relayState
	for _, r := range t.relays {
		if !r.fresh || r.zone != t.self.Zone || r.loads.covers <= own.covers {
			continue
		}
		if relay == nil || better(r, relay) {
			relay = r
		}
	}
	if relay == nil {
		return own
	}
	return sums{covers: relay.loads.covers, far: []*loads{&relay.loads}}
}

// better returns whether the loads that relay r told are to be gone by rather than those
// of s: that cover more gateways, or are newer.
func better(r, s *relayState) bool {
	if r.loads.covers != s.loads.covers {
		return r.loads.covers > s.loads.covers
	}
	return r.heardAt.After(s.heardAt)
}

// ownView returns the sums of what this gateway heard itself: heartbeats, and for each
// other zone the loads of one of its relays. The caller holds the lock.
func (t *Table) ownView() sums {
	out := sums{direct: true}
	zones := map[string]*relayState{}
	for _, r := range t.relays {
		if r.zone == t.self.Zone || !r.fresh || r.loads.covers == 0 {
			continue
		}
		if known := zones[r.zone]; known == nil || better(r, known) {
			zones[r.zone] = r
		}
	}
	for _, p := range t.direct {
		if zones[p.beat.Entry.Zone] == nil {
			out.covers++
		}
	}
	for _, r := range zones {
		out.covers += r.loads.covers
		out.far = append(out.far, &r.loads)
	}
	return out
}

// Suspected returns whether another gateway suspects an endpoint.
func (t *Table) Suspected(l roster.Life) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.currentSums()
	if s.direct && t.suspects.of(l) > 0 {
		return true
	}
	for _, f := range s.far {
		if f.suspects.of(l) > 0 {
			return true
		}
	}
	return false
}

// InFlight returns how many requests the other gateways have at an endpoint.
func (t *Table) InFlight(l roster.Life) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.currentSums()
	n := 0
	if s.direct {
		n = t.inFlight.of(l)
	}
	for _, f := range s.far {
		n += f.inFlight.of(l)
	}
	return n
}

// currentSums returns the sums to go by, which are worked out once after each heartbeat.
// The caller holds the lock.
func (t *Table) currentSums() *sums {
	if t.sums == nil {
		s := t.best()
		t.sums = &s
	}
	return t.sums
}

// total is what a relay tells others of endpoints.
type total struct {
	covers             int
	inFlight, suspects keyCounts
}

// zoneTotal returns the sums of the gateways of this zone, this one among them, whose
// heartbeat is own. The caller holds the lock.
func (t *Table) zoneTotal(own *Heartbeat) total {
	out := total{covers: 1, inFlight: keyCounts{}, suspects: keyCounts{}}
	ownCounts, ownSuspects := counts{}, counts{}
	own.countInto(ownCounts, ownSuspects, 1)
	out.inFlight.addLives(ownCounts, 1)
	out.suspects.addLives(ownSuspects, 1)
	for _, p := range t.direct {
		if p.beat.Entry.Zone == t.self.Zone {
			out.covers++
		}
	}
	out.inFlight.addLives(t.inFlight, 1)
	out.suspects.addLives(t.suspects, 1)
	return out
}

// wholeTotal returns the sums of all gateways, as far as this one heard itself. The caller
// holds the lock.
func (t *Table) wholeTotal(zone total) total {
	far := t.ownView()
	out := total{covers: far.covers + 1, inFlight: keyCounts{}, suspects: keyCounts{}}
	out.inFlight.add(zone.inFlight)
	out.suspects.add(zone.suspects)
	for _, f := range far.far {
		out.inFlight.add(f.inFlight)
		out.suspects.add(f.suspects)
	}
	return out
}

// without returns the sums for a gateway, without what it told itself; b is its heartbeat,
// nil if there was none.
func (s total) without(b *Heartbeat) *Loads {
	if b == nil {
		return &Loads{Covers: s.covers, InFlight: s.inFlight.pack(), Suspects: s.suspects.pack()}
	}
	inFlight, suspects := counts{}, counts{}
	b.countInto(inFlight, suspects, 1)
	out := total{inFlight: keyCounts{}, suspects: keyCounts{}}
	out.inFlight.add(s.inFlight)
	out.inFlight.addLives(inFlight, -1)
	out.suspects.add(s.suspects)
	out.suspects.addLives(suspects, -1)
	return &Loads{Covers: s.covers - 1, InFlight: out.inFlight.pack(), Suspects: out.suspects.pack()}
}
