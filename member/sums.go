package member

import (
	"maps"
	"time"

	"github.com/silverdeck/silverdeck/roster"
)

// loadView is a consistent view of the endpoint loads of all other gateways: either this
// gateway's own view or that of a relay of its zone, whichever covers more gateways. The two
// are never mixed, since each is complete in itself.
type loadView struct {
	covers int
	// direct is set for this gateway's own view, to which the heartbeats it received
	// contribute.
	direct bool
	remote []*relayLoads
	// oldest is when the oldest message that contributes was heard, or zero if there is none.
	oldest time.Time
	// demand caches otherDemand; it is nil while invalid.
	demand demandSums
	// shortages caches otherShortages; it is nil while invalid.
	shortages shortageSums
}

// noteHeard updates oldest with a message that was heard at the given time.
func (v *loadView) noteHeard(at time.Time) {
	if v.oldest.IsZero() || at.Before(v.oldest) {
		v.oldest = at
	}
}

// bestView selects the view to use. A relay that receives nothing, as in a one-way partition,
// covers few gateways, so the view of the zone's other relay is selected. The caller must hold
// t.mu.
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
	return loadView{covers: relay.loads.covers, remote: []*relayLoads{&relay.loads}, oldest: relay.loads.heardAt}
}

// preferred returns whether the loads from relay r take precedence over those from s: they
// cover more gateways or are more recent.
func preferred(r, s *relayState) bool {
	if r.loads.covers != s.loads.covers {
		return r.loads.covers > s.loads.covers
	}
	return r.heardAt.After(s.heardAt)
}

// ownView returns the view from the heartbeats that this gateway received and, for each other
// zone, the loads from one of its relays. The caller must hold t.mu.
func (t *Table) ownView() loadView {
	out := loadView{direct: true}
	byZone := map[string]*relayState{}
	for _, r := range t.relays {
		if r.zone == t.self.Zone || !r.fresh || r.loads.covers == 0 {
			continue
		}
		if known := byZone[r.zone]; known == nil || preferred(r, known) {
			byZone[r.zone] = r
		}
	}
	for _, p := range t.direct {
		if byZone[p.heartbeat.Entry.Zone] == nil {
			out.covers++
			out.noteHeard(p.heardAt)
		}
	}
	for _, r := range byZone {
		out.covers += r.loads.covers
		out.noteHeard(r.loads.heardAt)
		out.remote = append(out.remote, &r.loads)
	}
	return out
}

// Suspected returns whether another gateway suspects an endpoint.
func (t *Table) Suspected(l roster.Incarnation) bool {
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

// InFlight returns the number of requests that other gateways have in flight at an endpoint.
func (t *Table) InFlight(l roster.Incarnation) int {
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

// currentView returns the view to use. It is cached until the next heartbeat or Expire. The caller must
// hold t.mu.
func (t *Table) currentView() *loadView {
	if t.view == nil {
		s := t.bestView()
		t.view = &s
	}
	return t.view
}

// loadTotals holds the endpoint loads that a relay aggregates for others.
type loadTotals struct {
	covers             int
	inFlight, suspects keyCounts
	demand             demandSums
	shortages          shortageSums
}

// zoneTotals returns the totals of this gateway's zone, including this gateway, whose heartbeat
// is own. The caller must hold t.mu.
func (t *Table) zoneTotals(own *Heartbeat, now time.Time) loadTotals {
	out := loadTotals{covers: 1, inFlight: keyCounts{}, suspects: keyCounts{}, demand: t.directDemand(), shortages: t.directShortages()}
	out.demand.addAll(own.Demand, t.self.Zone, 1)
	out.shortages.addAll(own.Shortages, now)
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

// fleetTotals returns the totals of all gateways as received by this one. The caller must hold
// t.mu.
func (t *Table) fleetTotals(zone loadTotals) loadTotals {
	far := t.ownView()
	out := loadTotals{covers: far.covers + 1, inFlight: keyCounts{}, suspects: keyCounts{}, demand: maps.Clone(zone.demand), shortages: shortageSums{}}
	out.inFlight.add(zone.inFlight)
	out.suspects.add(zone.suspects)
	out.shortages.addSums(zone.shortages)
	for _, f := range far.remote {
		out.inFlight.add(f.inFlight)
		out.suspects.add(f.suspects)
		out.demand.addAll(f.demand, "", 1)
		out.shortages.addAll(f.shortages, f.heardAt)
	}
	return out
}

// excluding returns the totals for a receiver, without its own contribution. p holds the
// receiver's last heartbeat, or is nil if there was none.
func (s loadTotals) excluding(p *peerState, now time.Time) *Loads {
	if p == nil {
		return &Loads{Covers: s.covers, InFlight: s.inFlight.pack(), Suspects: s.suspects.pack(), Demand: s.demand.encode(),
			Shortages: s.shortages.encode(nil, now)}
	}
	b := &p.heartbeat
	inFlight, suspects := counts{}, counts{}
	b.countInto(inFlight, suspects, 1)
	out := loadTotals{inFlight: keyCounts{}, suspects: keyCounts{}, demand: maps.Clone(s.demand)}
	out.demand.addAll(b.Demand, b.Entry.Zone, -1)
	out.inFlight.add(s.inFlight)
	out.inFlight.addCounts(inFlight, -1)
	out.suspects.add(s.suspects)
	out.suspects.addCounts(suspects, -1)
	shortages := shortageSums{}
	shortages.addAll(b.Shortages, p.heardAt)
	return &Loads{Covers: s.covers - 1, InFlight: out.inFlight.pack(), Suspects: out.suspects.pack(), Demand: out.demand.encode(),
		Shortages: s.shortages.encode(shortages, now)}
}
