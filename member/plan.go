package member

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/silverdeck/silverdeck/mirror"
)

// outgoing is a message and its destination addresses.
type outgoing struct {
	addrs   []string
	message message
}

// sentState is the state that this gateway sent last. It determines what a heartbeat may omit.
type sentState struct {
	copies  map[string]mirror.Version
	member  Member
	changes uint64
	// fullLeft is the number of full heartbeats still to be sent after a change.
	fullLeft int
}

// plan returns the messages to send now. own is this gateway's heartbeat.
func (t *Table) plan(own Heartbeat, now time.Time) []outgoing {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ready, t.ownDemand, t.ownWeight = own.Ready, own.Demand, own.Weight
	if !t.usesRelays() {
		return []outgoing{{addrs: t.peerAddrs(), message: message{Heartbeat: &own}}}
	}
	heartbeat := own
	if !t.needsFull(&own) {
		heartbeat = own.toBrief()
	}
	if t.isRelay() {
		return t.relayPlan(&own, heartbeat, now)
	}
	return []outgoing{{addrs: addrsOf(t.zoneRelays(t.self.Zone)), message: message{Heartbeat: &heartbeat}}}
}

// needsFull returns whether the next heartbeat must be full, as the first few after each change
// and every fullHeartbeatEvery-th are. The caller must hold t.mu.
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

// relayPlan returns the messages of a relay: its heartbeat and the digest of all gateways to
// the zone's other relay, the digest of all gateways to the rest of the zone, and the digest of
// its own zone to the relays of other zones. The caller must hold t.mu.
func (t *Table) relayPlan(own *Heartbeat, heartbeat Heartbeat, now time.Time) []outgoing {
	t.ownRoll.update(t.reportedMembers(own), now)
	roll := t.ownRoll.summary()
	withLoads := own.Sequence%digestLoadsEvery == 0
	zone := t.zoneTotals(own, now)
	fleet := t.fleetTotals(zone)
	weights := packWeights(t.directWeights())
	reduced := heartbeat.withoutEndpoints()
	var out []outgoing
	relays := addrsOf(t.zoneRelays(t.self.Zone))
	for _, e := range t.allEntries() {
		if e.Zone != t.self.Zone {
			continue
		}
		d := &Digest{Roll: roll}
		if withLoads {
			d.Loads = fleet.excluding(t.direct[e.Name], now)
			d.Loads.Weights = weights
		}
		m := message{Heartbeat: &reduced, Digest: d}
		// If this gateway sees no other relay, it may be mistaken: all gateways of the zone then
		// receive its loads.
		if len(relays) == 0 || slices.Contains(relays, e.Peer) {
			m.Heartbeat = &heartbeat
		}
		out = append(out, outgoing{addrs: []string{e.Peer}, message: m})
	}
	d := &Digest{Roll: roll}
	if withLoads {
		d.Loads = zone.excluding(nil, now)
	}
	out = append(out, outgoing{addrs: t.farRelays(), message: message{Heartbeat: &reduced, Digest: d}})
	probe := own.withoutEndpoints()
	return append(out, outgoing{addrs: t.probeTargets(own.Sequence), message: message{Heartbeat: &probe, Digest: d}})
}

// reportedMembers returns the members that this gateway reports as a relay. The caller must
// hold t.mu.
func (t *Table) reportedMembers(own *Heartbeat) map[string]Member {
	out := t.directMembers()
	out[t.self.Name] = own.member()
	return out
}

// zoneRelays returns the relays of a zone except this gateway. The caller must hold t.mu.
func (t *Table) zoneRelays(zone string) []Entry {
	var out []Entry
	for _, m := range Relays(t.zoneMembers(zone)) {
		if m.Entry.Name != t.self.Name {
			out = append(out, m.Entry)
		}
	}
	return out
}

// farRelays returns the addresses of the relays of all other zones. The caller must hold t.mu.
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

// probeTargets returns the addresses of some gateways of other zones that are not alive, in
// rotation by turn. The caller must hold t.mu.
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
