// Package fleet keeps what an entry knows of the endpoints: what they serve,
// how loaded they are and whether they are heard.
//
// A Table owns that, in shards under locks of their own. It relies on reports of agents and on exchanges
// with other entries; the newest incarnation and sequence win.
package fleet

import (
	"cmp"
	"encoding/binary"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/silverdeck/silverdeck/standalone/peer"
)

// SuspectAfter is how long an endpoint may stay silent before its home entries
// suspect it. Agents report every second.
const SuspectAfter = 3500 * time.Millisecond

// shardCount is how many locks the table is spread over; a power of two.
const shardCount = 16

// Endpoint is what is known of one endpoint.
type Endpoint struct {
	peer.EndpointRecord
	Load peer.Load
	// LoadAt is when Load was heard; zero when it never was.
	LoadAt time.Time
	// HeardAt is when the endpoint itself was last heard here; zero when all
	// that is known came from other entries.
	HeardAt time.Time
}

// Table has the endpoints, in shards under locks of their own. It is safe for
// concurrent use.
type Table struct {
	shards [shardCount]shard

	mu      sync.Mutex
	changed chan struct{}
}

type shard struct {
	mu        sync.RWMutex
	endpoints map[string]*Endpoint
}

// NewTable returns an empty Table.
func NewTable() *Table {
	t := &Table{changed: make(chan struct{})}
	for i := range t.shards {
		t.shards[i].endpoints = map[string]*Endpoint{}
	}
	return t
}

func (t *Table) shard(vm string) *shard {
	return &t.shards[xxhash.Sum64String(vm)%shardCount]
}

// Changed returns a channel that is closed when the state of some endpoint
// changes next. Loads are no changes.
func (t *Table) Changed() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.changed
}

func (t *Table) announce() {
	t.mu.Lock()
	defer t.mu.Unlock()
	close(t.changed)
	t.changed = make(chan struct{})
}

// Heard takes in a report from an endpoint itself. It returns the incarnation
// known for the VM, which is higher than the report's when the report comes
// from an agent that must take a higher one.
func (t *Table) Heard(r *peer.Report, now time.Time) uint64 {
	s := t.shard(r.VM)
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.endpoints[r.VM]
	if e != nil && r.Incarnation < e.Incarnation {
		return e.Incarnation
	}
	if e == nil {
		e = &Endpoint{}
		s.endpoints[r.VM] = e
	}
	record := peer.EndpointRecord{
		VM: r.VM, Addr: r.Addr, Zone: r.Zone, Region: r.Region,
		Incarnation: r.Incarnation, Seq: r.Seq, State: r.State,
		Revision: r.Revision, Loaded: r.Loaded, Progress: r.Progress,
	}
	if newer(record, e.EndpointRecord) || e.Suspect {
		e.EndpointRecord = record
		t.announce()
	}
	e.Load, e.LoadAt, e.HeardAt = r.Load, now, now
	return e.Incarnation
}

// SetLoad notes a load that came with an answer.
func (t *Table) SetLoad(vm string, l peer.Load, now time.Time) {
	s := t.shard(vm)
	s.mu.Lock()
	defer s.mu.Unlock()
	if e := s.endpoints[vm]; e != nil {
		e.Load, e.LoadAt = l, now
	}
}

// Merge takes in a record from another entry and returns whether it was news.
func (t *Table) Merge(r peer.EndpointRecord) bool {
	s := t.shard(r.VM)
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.endpoints[r.VM]
	if e == nil {
		s.endpoints[r.VM] = &Endpoint{EndpointRecord: r}
		t.announce()
		return true
	}
	if !newer(r, e.EndpointRecord) {
		return false
	}
	e.EndpointRecord = r
	t.announce()
	return true
}

// Sweep suspects the endpoints that were heard here but no longer are. When
// more than half of them fell silent at once, the observer is more likely to
// be at fault, and nobody is suspected.
func (t *Table) Sweep(now time.Time) (suspected int, panicked bool) {
	var silent []string
	heard := 0
	t.Each(func(e *Endpoint) {
		if e.HeardAt.IsZero() || e.Suspect {
			return
		}
		heard++
		if now.Sub(e.HeardAt) > SuspectAfter {
			silent = append(silent, e.VM)
		}
	})
	if heard >= panicMinimum && len(silent)*2 > heard {
		return 0, true
	}
	for _, vm := range silent {
		t.suspect(vm)
	}
	return len(silent), false
}

// panicMinimum is how many endpoints an entry must hear before it distrusts
// itself rather than them.
const panicMinimum = 4

func (t *Table) suspect(vm string) {
	s := t.shard(vm)
	s.mu.Lock()
	defer s.mu.Unlock()
	if e := s.endpoints[vm]; e != nil {
		e.Suspect = true
	}
}

// Keep drops the endpoints that listed does not know and that are suspect.
func (t *Table) Keep(listed func(vm string) bool) {
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.Lock()
		for vm, e := range s.endpoints {
			if !listed(vm) && (e.Suspect || e.HeardAt.IsZero()) {
				delete(s.endpoints, vm)
			}
		}
		s.mu.Unlock()
	}
}

// Get returns what is known of vm.
func (t *Table) Get(vm string) (Endpoint, bool) {
	s := t.shard(vm)
	s.mu.RLock()
	defer s.mu.RUnlock()
	e := s.endpoints[vm]
	if e == nil {
		return Endpoint{}, false
	}
	return *e, true
}

// Each calls f for every endpoint, under the shard's lock: f must be quick and
// must not call the table.
func (t *Table) Each(f func(e *Endpoint)) {
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.RLock()
		for _, e := range s.endpoints {
			f(e)
		}
		s.mu.RUnlock()
	}
}

// All returns all endpoints in order of name.
func (t *Table) All() []Endpoint {
	var out []Endpoint
	t.Each(func(e *Endpoint) { out = append(out, *e) })
	slices.SortFunc(out, func(a, b Endpoint) int { return cmp.Compare(a.VM, b.VM) })
	return out
}

// Keys returns the state of each record.
func (t *Table) Keys() map[string]peer.RecordKey {
	keys := map[string]peer.RecordKey{}
	t.Each(func(e *Endpoint) { keys[e.VM] = e.key() })
	return keys
}

// Hash returns a hash over the states of all records.
func (t *Table) Hash() uint64 {
	var sum uint64
	t.Each(func(e *Endpoint) { sum ^= keyHash(e.VM, e.key()) })
	return sum
}

func (e *Endpoint) key() peer.RecordKey {
	return peer.RecordKey{Incarnation: e.Incarnation, Seq: e.Seq, Suspect: e.Suspect}
}

func keyHash(vm string, k peer.RecordKey) uint64 {
	var b [17]byte
	binary.LittleEndian.PutUint64(b[0:], k.Incarnation)
	binary.LittleEndian.PutUint64(b[8:], k.Seq)
	if k.Suspect {
		b[16] = 1
	}
	h := xxhash.New()
	_, _ = h.WriteString(vm)
	_, _ = h.Write(b[:])
	return h.Sum64()
}

// Newer returns whether key a is of a later state than b. At the same report a
// suspicion is later; the endpoint's next report refutes it.
func Newer(a, b peer.RecordKey) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	if a.Seq != b.Seq {
		return a.Seq > b.Seq
	}
	return a.Suspect && !b.Suspect
}

func newer(a, b peer.EndpointRecord) bool {
	return Newer(
		peer.RecordKey{Incarnation: a.Incarnation, Seq: a.Seq, Suspect: a.Suspect},
		peer.RecordKey{Incarnation: b.Incarnation, Seq: b.Seq, Suspect: b.Suspect},
	)
}
