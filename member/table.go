package member

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// peerState is the last heartbeat of another gateway.
type peerState struct {
	heartbeat Heartbeat
	heardAt   time.Time
}

// Table holds what a gateway knows of the other gateways. It is safe for concurrent use.
type Table struct {
	self Entry

	mu            sync.Mutex
	listedEntries map[string]Entry
	// listLoaded is set once the store's list of gateways was read, selfListed if it contains
	// this gateway.
	listLoaded, selfListed bool
	// direct holds the last heartbeats received from other gateways, by name.
	direct map[string]*peerState
	// inFlight sums the in-flight requests in them by endpoint, suspects counts the gateways
	// that suspect an endpoint.
	inFlight, suspects counts
	// relays holds the state received from relays, by the relay's name; see relay.go.
	relays map[string]*relayState
	// live caches liveMembers, view caches currentView. Both are nil while invalid.
	live map[string]Member
	view *loadView
	// entries caches allEntries; it is nil while invalid.
	entries map[string]Entry
	// reported holds the members at the last call of recordChanges. joined and lost are the
	// changes that Joined and Expire have not returned yet.
	reported     map[string]bool
	joined, lost []string
	// changes counts the changes of the membership.
	changes uint64
	// ownRoll is the membership list that this gateway sends as a relay.
	ownRoll *trackedRoll
	// lastSent is the state that this gateway sent last; see needsFull.
	lastSent sentState
	ready    bool
	// ownDemand and ownWeight are the demand and the weight in this gateway's last heartbeat.
	ownDemand []Demand
	ownWeight int
}

// NewTable returns an empty table of the gateway self.
func NewTable(self Entry) *Table {
	return &Table{
		self:          self,
		listedEntries: map[string]Entry{},
		direct:        map[string]*peerState{},
		inFlight:      counts{},
		suspects:      counts{},
		relays:        map[string]*relayState{},
		reported:      map[string]bool{},
		ownRoll:       newTrackedRoll(),
	}
}

// SetListed replaces the list of gateways that the store holds. Heartbeats are sent to these
// gateways also while they are not alive.
func (t *Table) SetListed(entries []Entry) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.listedEntries = map[string]Entry{}
	t.listLoaded, t.selfListed = true, false
	t.invalidate()
	for _, e := range entries {
		if e.Name == t.self.Name {
			t.selfListed = true
			continue
		}
		t.listedEntries[e.Name] = e
	}
}

// invalidate drops the caches that depend on the known and the live gateways. The caller must
// hold t.mu.
func (t *Table) invalidate() {
	t.live, t.entries = nil, nil
}

// HandleHeartbeat records a heartbeat and returns whether it is new.
func (t *Table) HandleHeartbeat(b Heartbeat, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.record(b, now)
}

// HandleRelayHeartbeat records a relay's heartbeat and digest and returns whether they are new.
func (t *Table) HandleRelayHeartbeat(b Heartbeat, d Digest, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.record(b, now) {
		return false
	}
	t.applyDigest(t.direct[b.Entry.Name].heartbeat.Entry, &d, now)
	return true
}

func (t *Table) record(b Heartbeat, now time.Time) bool {
	if b.Entry.Name == t.self.Name || b.Entry.Name == "" {
		return false
	}
	old := t.direct[b.Entry.Name]
	sameLife := old != nil && old.heartbeat.Entry.Life == b.Entry.Life
	if sameLife && old.heartbeat.Sequence >= b.Sequence {
		return false
	}
	if b.Brief {
		if !sameLife {
			return false // the next full heartbeat follows within a second
		}
		b = b.fromBrief(&old.heartbeat)
	}
	if old == nil || old.heartbeat.member() != b.member() {
		t.invalidate()
	}
	if old != nil {
		old.heartbeat.countInto(t.inFlight, t.suspects, -1)
	}
	b.countInto(t.inFlight, t.suspects, 1)
	t.direct[b.Entry.Name] = &peerState{heartbeat: b, heardAt: now}
	t.view = nil
	return true
}

// Expire removes gateways that are no longer alive, with the endpoint loads that they sent, and
// returns the names of the gateways lost since the last call.
func (t *Table) Expire(now time.Time) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	for name, p := range t.direct {
		if now.Sub(p.heardAt) <= AliveTime {
			continue
		}
		p.heartbeat.countInto(t.inFlight, t.suspects, -1)
		delete(t.direct, name)
		t.invalidate()
	}
	t.expireRelays(now)
	t.view = nil
	t.liveMembers()
	dead := t.lost
	t.lost = nil
	slices.Sort(dead)
	return dead
}

// Joined returns the names of the gateways that became alive since the last call.
func (t *Table) Joined() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.liveMembers()
	out := t.joined
	t.joined = nil
	return out
}

// recordChanges records which gateways joined and which were lost. The caller must hold t.mu.
func (t *Table) recordChanges(members map[string]Member) {
	t.changes++
	for name := range members {
		if !t.reported[name] {
			t.reported[name] = true
			t.joined = append(t.joined, name)
		}
	}
	for name := range t.reported {
		if _, still := members[name]; !still {
			delete(t.reported, name)
			t.lost = append(t.lost, name)
		}
	}
}

// Changes returns a counter that increases whenever the membership changes. Callers use it to
// avoid recomputing what depends on the members alone.
func (t *Table) Changes() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.liveMembers()
	return t.changes
}

// countInto adds the heartbeat's endpoint loads to the counts, multiplied by sign.
func (b *Heartbeat) countInto(inFlight, suspects counts, sign int) {
	for id, n := range b.InFlight {
		inFlight.add(b.incarnation(id), sign*n)
	}
	for _, id := range b.Suspects {
		suspects.add(b.incarnation(id), sign)
	}
}

// Live returns the other gateways that are alive and ready, sorted by name.
func (t *Table) Live() []Entry {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Entry
	for _, m := range t.liveMembers() {
		if m.Ready {
			out = append(out, m.Entry)
		}
	}
	slices.SortFunc(out, func(a, b Entry) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// PeerAddrs returns the peer addresses of all other known gateways: those that the store or a
// relay lists and those that are alive.
func (t *Table) PeerAddrs() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.peerAddrs()
}

func (t *Table) peerAddrs() []string {
	var out []string
	for _, e := range t.allEntries() {
		out = append(out, e.Peer)
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// allEntries returns the gateways that the store lists, those that any relay reports and those
// that are alive, by name. The caller must hold t.mu and must not modify the result.
func (t *Table) allEntries() map[string]Entry {
	if t.entries != nil {
		return t.entries
	}
	out := make(map[string]Entry, len(t.listedEntries))
	for name, e := range t.listedEntries {
		out[name] = e
	}
	t.forEachRelayed(func(_ *relayState, m Member) { out[m.Entry.Name] = m.Entry })
	for name, m := range t.liveMembers() {
		out[name] = m.Entry
	}
	t.entries = out
	return out
}

// KnownSize returns the number of known gateways, dead or alive and including this one, an
// upper bound of the fleet's size. It is 0 until the store's list was read.
func (t *Table) KnownSize() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.listLoaded {
		return 0
	}
	return len(t.allEntries()) + 1
}

// Size returns the number of live gateways, including this one.
func (t *Table) Size() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.liveMembers()) + 1
}
