// Package member tells which entries are alive and how busy endpoints are:
// entries send each other heartbeats by UDP, with their own requests in
// progress at each endpoint and the revisions of the store that they know.
package member

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/silverdeck/silverdeck/mirror"
)

// Entry is what an entry tells of itself when it starts.
type Entry struct {
	// Name is the VM, Life a number drawn at each start.
	Name string `json:"name"`
	Life uint64 `json:"life"`
	// Peer takes heartbeats and calls, Callers takes callers' requests.
	Peer    string `json:"peer"`
	Callers string `json:"callers"`
	Zone    string `json:"zone"`
	Region  string `json:"region"`
}

// Heartbeat is what an entry tells regularly.
type Heartbeat struct {
	Entry Entry `json:"entry"`
	// Sequence rises with each heartbeat of one life.
	Sequence uint64 `json:"seq"`
	// Ready is set while the entry takes requests.
	Ready bool `json:"ready"`
	// Copies are the versions of the entry's copies of the store, by kind.
	Copies map[string]mirror.Version `json:"copies"`
	// Watching is set while the entry watches the store, Away while the store
	// does not answer it.
	Watching bool `json:"watching,omitempty"`
	Away     bool `json:"away,omitempty"`
	// InFlight counts the entry's requests in progress by endpoint.
	InFlight map[string]int `json:"inFlight,omitempty"`
	// Suspects are endpoints that fail for this entry.
	Suspects []string `json:"suspects,omitempty"`
}

// Silence is how long an entry may say nothing before it counts as dead.
const Silence = 900 * time.Millisecond

type peerState struct {
	beat    Heartbeat
	heardAt time.Time
}

// Table is what an entry knows of the others. It is safe for concurrent use.
type Table struct {
	self Entry

	mu    sync.Mutex
	known map[string]Entry
	// listed is set once the store's list was read.
	listed bool
	heard  map[string]*peerState
	// counts sums the others' requests in progress by endpoint, suspects counts
	// the others that suspect it.
	counts, suspects map[string]int
	// arrived are entries heard for the first time, or again, since last asked.
	arrived []string
}

// NewTable returns the table of self.
func NewTable(self Entry) *Table {
	return &Table{self: self, known: map[string]Entry{}, heard: map[string]*peerState{}, counts: map[string]int{}, suspects: map[string]int{}}
}

// Know replaces the list of entries that are to be told of this one.
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

// Expire forgets what silent entries said of endpoints, and returns the names
// of entries that have just fallen silent.
func (t *Table) Expire(now time.Time) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var silent []string
	for name, p := range t.heard {
		if now.Sub(p.heardAt) <= Silence {
			continue
		}
		t.count(&p.beat, -1)
		delete(t.heard, name)
		silent = append(silent, name)
	}
	slices.Sort(silent)
	return silent
}

// Arrived returns the entries heard anew since it was last called.
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
		add(t.counts, id, sign*n)
	}
	for _, id := range b.Suspects {
		add(t.suspects, id, sign)
	}
}

// add adds n to a count and drops it when nothing is left.
func add(counts map[string]int, id string, n int) {
	counts[id] += n
	if counts[id] <= 0 {
		delete(counts, id)
	}
}

// Suspected returns whether another entry suspects endpoint id.
func (t *Table) Suspected(id string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.suspects[id] > 0
}

// InFlight returns how many requests the other entries have at endpoint id.
func (t *Table) InFlight(id string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.counts[id]
}

// Live returns the entries that are alive and ready, without this one.
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

// Others returns the peer addresses of all entries that were ever told of and
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

// Sharers returns how many entries there are at most, with this one: those that
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

// Size returns how many entries are alive, with this one.
func (t *Table) Size() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.heard) + 1
}
