package member

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// peerState is what another gateway told last.
type peerState struct {
	heartbeat Heartbeat
	heardAt   time.Time
}

// Table is what a gateway knows of the others. It is safe for concurrent use.
type Table struct {
	self Entry

	mu            sync.Mutex
	listedEntries map[string]Entry
	// listLoaded is set once the store's list was read, selfListed if this gateway stood in it.
	listLoaded, selfListed bool
	// direct is what other gateways told themselves, by name.
	direct map[string]*peerState
	// inFlight sums their requests in progress by endpoint, suspects counts those of them
	// that suspect it.
	inFlight, suspects counts
	// relays is what relays told of others, by the relay's name; see relay.go.
	relays map[string]*relayState
	// live are all that are alive, by name, nil when they are to be worked out anew;
	// see alive. sums are what they told of endpoints, likewise; see currentSums.
	live map[string]Member
	view *loadView
	// entries are the members and entries others that are known of, nil when they are to be worked
	// out anew; see everybody.
	entries map[string]Entry
	// reported are the members of which Arrived and Expire have told, or are to tell:
	// arrived and lost.
	reported     map[string]bool
	joined, lost []string
	// changes counts how often the members changed.
	changes uint64
	// ownRoll is the roll that this gateway tells as a relay.
	ownRoll *trackedRoll
	// lastSent is what this gateway told last; see plan.
	lastSent sentState
	ready    bool
}

// NewTable returns the table of self.
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

// SetListed replaces the list of gateways that are to be told of this one.
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

// invalidate makes what follows from who is known and alive be worked out anew. The caller holds
// the lock.
func (t *Table) invalidate() {
	t.live, t.entries = nil, nil
}

// HandleHeartbeat takes in a heartbeat and returns whether it is new.
func (t *Table) HandleHeartbeat(b Heartbeat, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.record(b, now)
}

// HandleRelayHeartbeat takes in a relay's heartbeat with its digest, and returns whether they are new.
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
			return false // the next one that is whole comes within a second
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

// Expire forgets what gateways that are no longer alive told of endpoints, and
// returns their names.
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

// Joined returns the gateways that are alive anew since it was last called.
func (t *Table) Joined() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.liveMembers()
	out := t.joined
	t.joined = nil
	return out
}

// recordChanges notes who has come and gone. The caller holds the lock.
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

// Changes counts how often what is known of members changed: what follows from them alone
// need not be worked out anew while it stays.
func (t *Table) Changes() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.liveMembers()
	return t.changes
}

// countInto adds what the heartbeat says of endpoints to counts, or takes it away.
func (b *Heartbeat) countInto(inFlight, suspects counts, sign int) {
	for id, n := range b.InFlight {
		inFlight.add(b.life(id), sign*n)
	}
	for _, id := range b.Suspects {
		suspects.add(b.life(id), sign)
	}
}

// Live returns the gateways that are alive and ready, without this one.
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

// PeerAddrs returns the peer addresses of all gateways that were ever told of and
// of those that are alive.
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

// allEntries returns all gateways that the store lists, those that any relay tells of and
// those that are alive, by name. The caller holds the lock and does not change the result.
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

// KnownSize returns how many gateways there are at most, with this one: those that
// the store lists and those that are alive. It is 0 until the store's list is known.
func (t *Table) KnownSize() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.listLoaded {
		return 0
	}
	return len(t.allEntries()) + 1
}

// Size returns how many gateways are alive, with this one.
func (t *Table) Size() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.liveMembers()) + 1
}
