// Package balance chooses the endpoint for each request: it counts requests in
// progress, watches outcomes and leaves alone endpoints that fail.
package balance

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/silverdeck/silverdeck/roster"
)

// Outcome is what became of a request at an endpoint.
type Outcome int

// The outcomes of a request.
const (
	// Served means that the endpoint answered as it should.
	Served Outcome = iota
	// Refused means that the endpoint said that it did not run the request.
	Refused
	// Failed means an error answer, a broken answer or a lost one.
	Failed
	// Silent means that nothing came from the endpoint on any connection.
	Silent
	// Unreachable means that no connection could be had.
	Unreachable
	// Misdirected means that the address belongs to another endpoint now.
	Misdirected
	// Neutral says nothing of the endpoint, as when the caller left.
	Neutral
)

// Query says what an endpoint is wanted for.
type Query struct {
	Service string
	// Model and MinVersion are weights that the endpoint must hold; empty for none.
	Model      string
	MinVersion int64
	// Exclude are endpoints that had the request already, by ID.
	Exclude []string
	// Room is the load, in requests for each slot, at which an endpoint is
	// full; zero means no limit.
	Room float64
	// Reading is how long a model engine reads the prompt before the answer
	// begins; it delays all other requests there.
	Reading time.Duration
	// Resumed is set when a request goes on elsewhere; then endpoints with the
	// newest weights are preferred, since they will not change again soon.
	Resumed bool
}

// Balancer chooses endpoints. It is safe for concurrent use.
type Balancer struct {
	zone   string
	others func(id string) int
	random func() float64
	// heardAt is when anything was last heard, in Unix nanoseconds; see Touch.
	heardAt *atomic.Int64
	// observe hears of changes of belief; nil means nobody does.
	observe func(Belief)
	// suspected returns whether another entry suspects an endpoint; see Listen.
	suspected func(id string) bool

	mu       sync.RWMutex
	services map[string]*shard
}

// shard holds the endpoints of one service.
type shard struct {
	mu        sync.Mutex
	endpoints map[string]*endpoint
}

type endpoint struct {
	record   *roster.Endpoint
	inFlight int
	health   health
	// reading is the sum of what this entry's requests there have yet to read.
	reading time.Duration
	// owned is set when this entry is the one that prefers the endpoint.
	owned bool
	// told are weights that the process beside the endpoint told of.
	told roster.Weights
	// heardAt is when bytes of an answer last came, in Unix nanoseconds.
	heardAt atomic.Int64
}

// Penalties and draws in the choice, in requests for each slot.
const (
	otherZone = 0.10
	jitter    = 0.03
	// otherOwner keeps entries from choosing the same endpoint at the same moment.
	otherOwner = 0.80
	// readingUnit is the time of reading that counts as one request for each slot.
	readingUnit = 250 * time.Millisecond
	// olderWeights is added for a resumed request.
	olderWeights = 1.0
)

// New returns a Balancer for an entry in zone. others returns how many
// requests other entries have at an endpoint.
func New(zone string, others func(id string) int, random func() float64) *Balancer {
	return &Balancer{zone: zone, others: others, random: random, heardAt: &atomic.Int64{}, services: map[string]*shard{},
		suspected: func(string) bool { return false }}
}

// Touch notes that something was heard from outside, so that this entry and its
// link are well. While nothing is heard at all, no endpoint counts as silent.
func (b *Balancer) Touch(now time.Time) {
	b.heardAt.Store(now.UnixNano())
}

// Update takes in the list of endpoints. What is known of those that stay is kept.
func (b *Balancer) Update(l *roster.List) {
	b.mu.Lock()
	defer b.mu.Unlock()
	byService := map[string]map[string]*roster.Endpoint{}
	for id, e := range l.Endpoints {
		if byService[e.Service] == nil {
			byService[e.Service] = map[string]*roster.Endpoint{}
		}
		byService[e.Service][id] = e
	}
	for name := range b.services {
		if byService[name] == nil {
			byService[name] = nil
		}
	}
	for name, records := range byService {
		s := b.services[name]
		if s == nil {
			s = &shard{endpoints: map[string]*endpoint{}}
			b.services[name] = s
		}
		s.update(records)
	}
}

func (s *shard) update(records map[string]*roster.Endpoint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id := range s.endpoints {
		if records[id] == nil {
			delete(s.endpoints, id)
		}
	}
	for id, r := range records {
		if e := s.endpoints[id]; e != nil {
			e.record = r
			continue
		}
		s.endpoints[id] = &endpoint{record: r}
	}
}

func (b *Balancer) shard(service string) *shard {
	b.mu.RLock()
	defer b.mu.RUnlock()
	return b.services[service]
}

// Pick chooses an endpoint and counts a request there until the lease is done.
// It returns nil when there is none with room; then the state tells why.
func (b *Balancer) Pick(q *Query, now time.Time) (*Lease, Shortage) {
	s := b.shard(q.Service)
	if s == nil {
		return nil, NoEndpoint
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	best, full := b.best(s, q, now)
	if best == nil && full {
		return nil, AllFull
	}
	if best == nil {
		return nil, NoEndpoint
	}
	best.inFlight++
	best.reading += q.Reading
	best.health.tried(now)
	return &Lease{shard: s, endpoint: best, Record: best.record, reading: q.Reading, observe: b.observe, heardAt: b.heardAt}, 0
}

// Shortage says why no endpoint was chosen.
type Shortage int

// The shortages.
const (
	// NoEndpoint means that no endpoint may take the request at all.
	NoEndpoint Shortage = iota + 1
	// AllFull means that endpoints exist, and all are at their limit.
	AllFull
)

// best returns the endpoint with the lowest cost, and whether others were full.
func (b *Balancer) best(s *shard, q *Query, now time.Time) (*endpoint, bool) {
	var best, spare *endpoint
	var bestCost, spareCost float64
	full := false
	newest := s.newest(q.Model)
	owns := s.owns()
	for _, e := range s.endpoints {
		if !e.fits(q) {
			continue
		}
		load := e.load(b.others)
		if q.Room > 0 && load >= e.room(q.Room, owns) {
			full = true
			continue
		}
		cost := load + jitter*b.random() + b.penalty(e, q, newest)
		if !b.usable(e, now) {
			if spare == nil || cost < spareCost {
				spare, spareCost = e, cost
			}
			continue
		}
		if best == nil || cost < bestCost {
			best, bestCost = e, cost
		}
	}
	if best == nil && !full {
		best = spare
	}
	return best, full
}

// spareRoom is the load up to which an entry uses other entries' endpoints.
// What it knows of them is some time old: when almost all are full, all entries
// would send to the few that seem not to be.
const spareRoom = 0.8

// room returns the load at which e is full for this entry.
func (e *endpoint) room(limit float64, owns bool) float64 {
	if e.owned || !owns {
		return limit
	}
	return min(limit, spareRoom)
}

// owns returns whether this entry owns endpoints of the service.
func (s *shard) owns() bool {
	for _, e := range s.endpoints {
		if e.owned {
			return true
		}
	}
	return false
}

// penalty returns what speaks against e besides its load.
func (b *Balancer) penalty(e *endpoint, q *Query, newest int64) float64 {
	cost := float64(e.reading) / float64(readingUnit)
	if e.record.Zone != b.zone {
		cost += otherZone
	}
	if !e.owned {
		cost += otherOwner
	}
	if q.Resumed && e.holds(q.Model) < newest {
		cost += olderWeights
	}
	return cost
}

// newest returns the highest version of model that an endpoint holds.
func (s *shard) newest(model string) int64 {
	var newest int64
	if model == "" {
		return 0
	}
	for _, e := range s.endpoints {
		newest = max(newest, e.holds(model))
	}
	return newest
}

// Own tells which endpoints this entry prefers to others, by ID.
func (b *Balancer) Own(ids map[string]bool) {
	b.mu.RLock()
	defer b.mu.RUnlock()
	for _, s := range b.services {
		s.mu.Lock()
		for id, e := range s.endpoints {
			e.owned = ids[id]
		}
		s.mu.Unlock()
	}
}

// fits returns whether e may take a request of q at all.
func (e *endpoint) fits(q *Query) bool {
	if e.record.Leaving || e.health.gone {
		return false
	}
	if q.Model != "" && e.holds(q.Model) < max(q.MinVersion, 1) {
		return false
	}
	for _, id := range q.Exclude {
		if id == e.record.ID {
			return false
		}
	}
	return true
}

// holds returns the version of model that the endpoint is known to hold.
func (e *endpoint) holds(model string) int64 {
	if e.told.Model == model {
		return max(e.told.Version, e.record.Holds(model))
	}
	return e.record.Holds(model)
}

// Notice leaves the endpoint at addr alone until a time, and notes weights that
// it runs, if any are told. A time that has passed ends an earlier pause.
func (b *Balancer) Notice(addr string, until time.Time, told roster.Weights) {
	b.mu.RLock()
	defer b.mu.RUnlock()
	for _, s := range b.services {
		s.notice(addr, until, told)
	}
}

func (s *shard) notice(addr string, until time.Time, told roster.Weights) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range s.endpoints {
		if e.record.Addr != addr {
			continue
		}
		e.health.noticed = until
		if told.Model != "" {
			e.told = told
		}
	}
}

// load returns the requests at e of all entries, for each slot.
func (e *endpoint) load(others func(string) int) float64 {
	return float64(e.inFlight+others(e.record.ID)) / float64(max(e.record.Slots, 1))
}

// InFlight returns this entry's requests in progress by endpoint.
func (b *Balancer) InFlight() map[string]int {
	b.mu.RLock()
	defer b.mu.RUnlock()
	out := map[string]int{}
	for _, s := range b.services {
		s.mu.Lock()
		for id, e := range s.endpoints {
			if e.inFlight > 0 {
				out[id] = e.inFlight
			}
		}
		s.mu.Unlock()
	}
	return out
}

// Has returns whether an endpoint for q could be chosen now.
func (b *Balancer) Has(q *Query, now time.Time) bool {
	s := b.shard(q.Service)
	if s == nil {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range s.endpoints {
		if e.fits(q) && b.usable(e, now) && (q.Room == 0 || e.load(b.others) < q.Room) {
			return true
		}
	}
	return false
}
