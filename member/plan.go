package member

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/silverdeck/silverdeck/mirror"
)

// outgoing is a message and the addresses that get it.
type outgoing struct {
	addrs   []string
	message message
}

// sentState is what this gateway told last, from which follows what it can leave out.
type sentState struct {
	copies  map[string]mirror.Version
	member  Member
	changes uint64
	// fullLeft is how many more heartbeats tell everything.
	fullLeft int
}

// plan returns what this gateway sends now. own is its heartbeat.
func (t *Table) plan(own Heartbeat, now time.Time) []outgoing {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ready = own.Ready
	if !t.usesRelays() {
		return []outgoing{{addrs: t.peerAddrs(), message: message{Heartbeat: &own}}}
	}
	beat := own
	if !t.needsFull(&own) {
		beat = own.toBrief()
	}
	if t.isRelay() {
		return t.relayPlan(&own, beat, now)
	}
	return []outgoing{{addrs: addrsOf(t.zoneRelays(t.self.Zone)), message: message{Heartbeat: &beat}}}
}

// needsFull returns whether the next heartbeat leaves nothing out: for a few after each
// change, and now and then. The caller holds the lock.
func (t *Table) needsFull(own *Heartbeat) bool {
	t.liveMembers()
	if own.member() != t.lastSent.member || t.changes != t.lastSent.changes || !maps.Equal(own.Copies, t.lastSent.copies) {
		t.lastSent = sentState{copies: own.Copies, member: own.member(), changes: t.changes, fullLeft: fullHeartbeatsAfterChange}
	}
	if t.lastSent.fullLeft > 0 {
		t.lastSent.fullLeft--
		return true
	}
	return own.Sequence%fullHeartbeatEvery == 0
}

// relayPlan returns what a relay sends: to the other relay of its zone its own heartbeat
// and the digest of everybody, to the zone's others that digest, and to the relays of other
// zones the digest of its own zone. The caller holds the lock.
func (t *Table) relayPlan(own *Heartbeat, beat Heartbeat, now time.Time) []outgoing {
	t.ownRoll.update(t.reportedMembers(own), now)
	roll := t.ownRoll.summary()
	withLoads := own.Sequence%digestLoadsEvery == 0
	zone := t.zoneTotals(own)
	whole := t.fleetTotals(zone)
	bare := beat.withoutEndpoints()
	var out []outgoing
	relays := addrsOf(t.zoneRelays(t.self.Zone))
	for _, e := range t.allEntries() {
		if e.Zone != t.self.Zone {
			continue
		}
		d := &Digest{Roll: roll}
		if withLoads {
			d.Loads = whole.excluding(t.lastHeartbeat(e.Name))
		}
		m := message{Heartbeat: &bare, Digest: d}
		if len(relays) == 0 || slices.Contains(relays, e.Peer) { // who is alone may be wrong
			m.Heartbeat = &beat
		}
		out = append(out, outgoing{addrs: []string{e.Peer}, message: m})
	}
	d := &Digest{Roll: roll}
	if withLoads {
		d.Loads = zone.excluding(nil)
	}
	out = append(out, outgoing{addrs: t.farRelays(), message: message{Heartbeat: &bare, Digest: d}})
	stranger := own.withoutEndpoints()
	return append(out, outgoing{addrs: t.probeTargets(own.Sequence), message: message{Heartbeat: &stranger, Digest: d}})
}

// reportedMembers returns the members that a relay tells of. The caller holds the lock.
func (t *Table) reportedMembers(own *Heartbeat) map[string]Member {
	out := t.directMembers()
	out[t.self.Name] = own.member()
	return out
}

// lastHeartbeat returns the last heartbeat of a gateway, or nil. The caller holds the lock.
func (t *Table) lastHeartbeat(name string) *Heartbeat {
	if p := t.direct[name]; p != nil {
		return &p.heartbeat
	}
	return nil
}

// zoneRelays returns the relays of a zone without this gateway. The caller holds the lock.
func (t *Table) zoneRelays(zone string) []Entry {
	var out []Entry
	for _, m := range Relays(t.zoneMembers(zone)) {
		if m.Entry.Name != t.self.Name {
			out = append(out, m.Entry)
		}
	}
	return out
}

// farRelays returns the addresses of the relays of all other zones. The caller holds the
// lock.
func (t *Table) farRelays() []string {
	zones := map[string][]Member{}
	for _, m := range t.liveMembers() {
		if m.Entry.Zone != t.self.Zone {
			zones[m.Entry.Zone] = append(zones[m.Entry.Zone], m)
		}
	}
	var out []string
	for _, members := range zones {
		for _, m := range Relays(members) {
			out = append(out, m.Entry.Peer)
		}
	}
	return out
}

// probeTargets returns the addresses of a few gateways of other zones that are not alive, others
// each turn. The caller holds the lock.
func (t *Table) probeTargets(turn uint64) []string {
	var silent []Entry
	for name, e := range t.allEntries() {
		if _, alive := t.liveMembers()[name]; !alive && e.Zone != t.self.Zone {
			silent = append(silent, e)
		}
	}
	slices.SortFunc(silent, func(a, b Entry) int { return cmp.Compare(a.Name, b.Name) })
	n := min(probesPerHeartbeat, len(silent))
	out := make([]string, 0, n)
	for i := range n {
		at := (turn*probesPerHeartbeat + uint64(i)) % uint64(len(silent))
		out = append(out, silent[at].Peer)
	}
	return out
}

func addrsOf(entries []Entry) []string {
	out := make([]string, 0, len(entries))
	for _, e := range entries {
		out = append(out, e.Peer)
	}
	return out
}
