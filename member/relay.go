package member

import (
	"slices"
	"time"
)

// relayState is the state received from a relay.
type relayState struct {
	heardAt time.Time
	// firstHeardAt is the time of its first digest.
	firstHeardAt time.Time
	// fresh is set while the relay is alive, settled once all gateways of its zone have had
	// time to report to it.
	fresh, settled bool
	zone           string
	incarnation    uint64
	// roll is the relay's membership list as known here, reportedHash the hash in its last
	// digest. They differ while changes are missing.
	roll         *roll
	reportedHash uint64
	// requestedAt is when the relay's full list was last requested.
	requestedAt time.Time
	loads       relayLoads
}

// relayLoads are decoded Loads.
type relayLoads struct {
	covers             int
	inFlight, suspects keyCounts
	demand             []Demand
	shortages          []Shortage
	weights            map[uint32]int
	heardAt            time.Time
}

// applyDigest records the digest of the relay from. The caller must hold t.mu.
func (t *Table) applyDigest(from Entry, d *Digest, now time.Time) {
	r := t.relays[from.Name]
	if r == nil || r.incarnation != from.Life {
		r = &relayState{firstHeardAt: now, zone: from.Zone, incarnation: from.Life, roll: newRoll()}
		t.relays[from.Name] = r
	}
	r.heardAt, r.fresh, r.reportedHash = now, true, d.Roll.Hash
	if r.roll.apply(d.Roll.Changes) {
		t.invalidate()
	}
	if d.Loads != nil {
		r.loads = relayLoads{covers: d.Loads.Covers, inFlight: d.Loads.InFlight.unpack(), suspects: d.Loads.Suspects.unpack(),
			demand: d.Loads.Demand, shortages: d.Loads.Shortages, weights: d.Loads.Weights.unpack(), heardAt: now}
	}
}

// RelaysToSync returns the relays whose full membership list is to be requested now, and
// records the request.
func (t *Table) RelaysToSync(now time.Time) []Entry {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Entry
	for name, r := range t.relays {
		p := t.direct[name]
		if p == nil || r.reportedHash == r.roll.hash || now.Sub(r.requestedAt) < rollRequestInterval {
			continue
		}
		r.requestedAt = now
		out = append(out, p.heartbeat.Entry)
	}
	return out
}

// SetRoll replaces the membership list of a relay.
func (t *Table) SetRoll(from Entry, members []Member) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.relays[from.Name]
	if r == nil || r.incarnation != from.Life {
		return
	}
	r.roll = newRoll()
	for _, m := range members {
		r.roll.put(m)
	}
	t.invalidate()
}

// FullRoll returns all members of the list that this gateway sends as a relay.
func (t *Table) FullRoll() []Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]Member, 0, len(t.ownRoll.members))
	for _, m := range t.ownRoll.members {
		out = append(out, m)
	}
	return out
}

// expireRelays updates the state of relays that have been silent and removes it after
// rollRetention. The caller must hold t.mu.
func (t *Table) expireRelays(now time.Time) {
	for name, r := range t.relays {
		fresh := now.Sub(r.heardAt) <= AliveTime
		settled := fresh && now.Sub(r.firstHeardAt) >= settleTime
		if fresh != r.fresh || settled != r.settled {
			r.fresh, r.settled = fresh, settled
			t.invalidate()
		}
		if now.Sub(r.heardAt) > rollRetention {
			delete(t.relays, name)
			t.invalidate()
		}
	}
}

// forEachRelayed calls f with the members that relays report. Lists of silent relays are used
// only if no settled relay covers their zone, and never to keep another silent relay alive. The
// caller must hold t.mu.
func (t *Table) forEachRelayed(f func(r *relayState, m Member)) {
	covered := map[string]bool{}
	for _, r := range t.relays {
		if r.settled {
			covered[r.zone] = true
		}
	}
	for _, r := range t.relays {
		if !r.fresh && covered[r.zone] {
			continue
		}
		for name, m := range r.roll.members {
			if name != t.self.Name && (r.fresh || !t.isSilentRelay(name)) {
				f(r, m)
			}
		}
	}
}

// isSilentRelay returns whether a gateway has sent digests but is no longer alive as a relay.
// The caller must hold t.mu.
func (t *Table) isSilentRelay(name string) bool {
	r := t.relays[name]
	return r != nil && !r.fresh
}

// directMembers returns the live members from first-hand information: in this gateway's zone
// from heartbeats, in other zones from the zone's relays. A relay forwards only these, so that
// two relays can't keep a dead gateway alive by repeating each other's reports. The caller must
// hold t.mu.
func (t *Table) directMembers() map[string]Member {
	out := map[string]Member{}
	t.forEachRelayed(func(r *relayState, m Member) {
		if r.zone != t.self.Zone && m.Entry.Zone == r.zone {
			out[m.Entry.Name] = m
		}
	})
	for name, p := range t.direct {
		out[name] = p.heartbeat.member()
	}
	return out
}

// liveMembers returns the live members: directMembers and those that relays of this gateway's
// zone report. The caller must hold t.mu and must not modify the result.
func (t *Table) liveMembers() map[string]Member {
	if t.live != nil {
		return t.live
	}
	out := t.directMembers()
	t.forEachRelayed(func(r *relayState, m Member) {
		if _, heard := out[m.Entry.Name]; !heard && r.zone == t.self.Zone {
			out[m.Entry.Name] = m
		}
	})
	t.live = out
	t.recordChanges(out)
	return out
}

// zoneMembers returns the live members of a zone, including this gateway if it belongs to the
// zone. The caller must hold t.mu.
func (t *Table) zoneMembers(zone string) []Member {
	var out []Member
	for _, m := range t.liveMembers() {
		if m.Entry.Zone == zone {
			out = append(out, m)
		}
	}
	if zone == t.self.Zone {
		out = append(out, Member{Entry: t.self, Ready: t.ready})
	}
	return out
}

// IsRelay returns whether this gateway is a relay of its zone.
func (t *Table) IsRelay() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.usesRelays() && t.isRelay()
}

func (t *Table) isRelay() bool {
	return slices.ContainsFunc(Relays(t.zoneMembers(t.self.Zone)), func(m Member) bool { return m.Entry.Name == t.self.Name })
}

// usesRelays returns whether heartbeats go through relays. The caller must hold t.mu.
func (t *Table) usesRelays() bool {
	if !t.self.Relays {
		return false
	}
	older := false
	for _, p := range t.direct {
		older = older || !p.heartbeat.Entry.Relays
	}
	return UsesRelays(len(t.allEntries())+1, older)
}
