package member

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/silverdeck/silverdeck/roster"
)

// peerState is what another gateway told last.
type peerState struct {
	beat    Heartbeat
	heardAt time.Time
}

// Table is what a gateway knows of the others. It is safe for concurrent use.
type Table struct {
	self Entry

	mu    sync.Mutex
	known map[string]Entry
	// listed is set once the store's list was read.
	listed bool
	heard  map[string]*peerState
	// inFlight sums the others' requests in progress by endpoint, suspects counts
	// the others that suspect it.
	inFlight, suspects counts
	// arrived are gateways heard for the first time, or again, since last asked.
	arrived []string
}

// NewTable returns the table of self.
func NewTable(self Entry) *Table {
	return &Table{self: self, known: map[string]Entry{}, heard: map[string]*peerState{}, inFlight: counts{}, suspects: counts{}}
}

// Know replaces the list of gateways that are to be told of this one.
func (t *Table) Know(entries []Entry) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.known = map[string]Entry{}
	t.listed = true
	for _, e := range entries {
		if e.Name != t.self.Name {
			t.known[e.Name] = e
		}
	}
}

// Hear takes in a heartbeat and returns whether it is new.
func (t *Table) Hear(b Heartbeat, now time.Time) bool {
	if b.Entry.Name == t.self.Name || b.Entry.Name == "" {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	old := t.heard[b.Entry.Name]
	if old != nil && old.beat.Entry.Life == b.Entry.Life && old.beat.Sequence >= b.Sequence {
		return false
	}
	if old != nil {
		t.count(&old.beat, -1)
	} else {
		t.arrived = append(t.arrived, b.Entry.Name)
	}
	t.count(&b, 1)
	t.heard[b.Entry.Name] = &peerState{beat: b, heardAt: now}
	return true
}

// Expire forgets what gateways that are no longer alive told of endpoints, and
// returns their names.
func (t *Table) Expire(now time.Time) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var dead []string
	for name, p := range t.heard {
		if now.Sub(p.heardAt) <= AliveTime {
			continue
		}
		t.count(&p.beat, -1)
		delete(t.heard, name)
		dead = append(dead, name)
	}
	slices.Sort(dead)
	return dead
}

// Arrived returns the gateways heard anew since it was last called.
func (t *Table) Arrived() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := t.arrived
	t.arrived = nil
	return out
}

// count adds what a heartbeat says of endpoints, or takes it away.
func (t *Table) count(b *Heartbeat, sign int) {
	for id, n := range b.InFlight {
		t.inFlight.add(b.life(id), sign*n)
	}
	for _, id := range b.Suspects {
		t.suspects.add(b.life(id), sign)
	}
}

// Suspected returns whether another gateway suspects an endpoint.
func (t *Table) Suspected(l roster.Life) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.suspects.of(l) > 0
}

// InFlight returns how many requests the other gateways have at an endpoint.
func (t *Table) InFlight(l roster.Life) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.inFlight.of(l)
}

// Live returns the gateways that are alive and ready, without this one.
func (t *Table) Live() []Entry {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Entry
	for _, p := range t.heard {
		if p.beat.Ready {
			out = append(out, p.beat.Entry)
		}
	}
	slices.SortFunc(out, func(a, b Entry) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// Others returns the peer addresses of all gateways that were ever told of and
// of those that are heard.
func (t *Table) Others() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []string
	for _, e := range t.known {
		out = append(out, e.Peer)
	}
	for _, p := range t.heard {
		if !slices.Contains(out, p.beat.Entry.Peer) {
			out = append(out, p.beat.Entry.Peer)
		}
	}
	slices.Sort(out)
	return out
}

// Sharers returns how many gateways there are at most, with this one: those that
// the store lists and those that are heard. It is 0 until the store's list is known.
func (t *Table) Sharers() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.listed {
		return 0
	}
	n := len(t.known) + 1
	for name := range t.heard {
		if _, known := t.known[name]; !known {
			n++
		}
	}
	return n
}

// Size returns how many gateways are alive, with this one.
func (t *Table) Size() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.heard) + 1
}
