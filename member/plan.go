package member

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/silverdeck/silverdeck/mirror"
)

// parcel is a message and the addresses that get it.
type parcel struct {
	addrs   []string
	message message
}

// sent is what this gateway told last, from which follows what it can leave out.
type sent struct {
	copies  map[string]mirror.Version
	member  Member
	changes uint64
	// whole is how many more heartbeats tell everything.
	whole int
}

// plan returns what this gateway sends now. own is its heartbeat.
func (t *Table) plan(own Heartbeat, now time.Time) []parcel {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ready = own.Ready
	if !t.usesRelays() {
		return []parcel{{addrs: t.others(), message: message{Heartbeat: &own}}}
	}
	beat := own
	if !t.tellsAll(&own) {
		beat = own.shortened()
	}
	if t.isRelay() {
		return t.relayPlan(&own, beat, now)
	}
	return []parcel{{addrs: peers(t.zoneRelays(t.self.Zone)), message: message{Heartbeat: &beat}}}
}

// tellsAll returns whether the next heartbeat leaves nothing out: for a few after each
// change, and now and then. The caller holds the lock.
func (t *Table) tellsAll(own *Heartbeat) bool {
	t.alive()
	if own.member() != t.sent.member || t.changes != t.sent.changes || !maps.Equal(own.Copies, t.sent.copies) {
		t.sent = sent{copies: own.Copies, member: own.member(), changes: t.changes, whole: fullAfterNews}
	}
	if t.sent.whole > 0 {
		t.sent.whole--
		return true
	}
	return own.Sequence%fullEvery == 0
}

// relayPlan returns what a relay sends: to the other relay of its zone its own heartbeat
// and the digest of everybody, to the zone's others that digest, and to the relays of other
// zones the digest of its own zone. The caller holds the lock.
func (t *Table) relayPlan(own *Heartbeat, beat Heartbeat, now time.Time) []parcel {
	t.log.update(t.told(own), now)
	roll := t.log.news()
	withLoads := own.Sequence%loadsEvery == 0
	zone := t.zoneTotal(own)
	whole := t.wholeTotal(zone)
	bare := beat.bare()
	var out []parcel
	relays := peers(t.zoneRelays(t.self.Zone))
	for _, e := range t.everybody() {
		if e.Zone != t.self.Zone {
			continue
		}
		d := &Digest{Roll: roll}
		if withLoads {
			d.Loads = whole.without(t.beatOf(e.Name))
		}
		m := message{Heartbeat: &bare, Digest: d}
		if len(relays) == 0 || slices.Contains(relays, e.Peer) { // who is alone may be wrong
			m.Heartbeat = &beat
		}
		out = append(out, parcel{addrs: []string{e.Peer}, message: m})
	}
	d := &Digest{Roll: roll}
	if withLoads {
		d.Loads = zone.without(nil)
	}
	out = append(out, parcel{addrs: t.farRelays(), message: message{Heartbeat: &bare, Digest: d}})
	stranger := own.bare()
	return append(out, parcel{addrs: t.tried(own.Sequence), message: message{Heartbeat: &stranger, Digest: d}})
}

// told returns the members that a relay tells of. The caller holds the lock.
func (t *Table) told(own *Heartbeat) map[string]Member {
	out := t.firstHand()
	out[t.self.Name] = own.member()
	return out
}

// beatOf returns the last heartbeat of a gateway, or nil. The caller holds the lock.
func (t *Table) beatOf(name string) *Heartbeat {
	if p := t.direct[name]; p != nil {
		return &p.beat
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
	for _, m := range t.alive() {
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

// tried returns the addresses of a few gateways of other zones that are not alive, others
// each turn. The caller holds the lock.
func (t *Table) tried(turn uint64) []string {
	var silent []Entry
	for name, e := range t.everybody() {
		if _, alive := t.alive()[name]; !alive && e.Zone != t.self.Zone {
			silent = append(silent, e)
		}
	}
	slices.SortFunc(silent, func(a, b Entry) int { return cmp.Compare(a.Name, b.Name) })
	n := min(probes, len(silent))
	out := make([]string, 0, n)
	for i := range n {
		at := (turn*probes + uint64(i)) % uint64(len(silent))
		out = append(out, silent[at].Peer)
	}
	return out
}

func peers(entries []Entry) []string {
	out := make([]string, 0, len(entries))
	for _, e := range entries {
		out = append(out, e.Peer)
	}
	return out
}
