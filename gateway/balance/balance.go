// Package balance chooses the endpoint for each request: it counts requests in
// progress, watches outcomes and ejects endpoints that fail.
//
// It owns what this gateway believes of each endpoint. It relies on the list of
// endpoints that the platform's store has, and on what other gateways tell of
// their requests in progress and of endpoints that they suspect. The endpoints of
// each service are a shard under a lock of its own.
package balance

import (
	"sync"
	"time"

	"github.com/silverdeck/silverdeck/roster"
)

// Query says what an endpoint is wanted for.
type Query struct {
	Service string
	// Model and MinVersion are weights that the endpoint must hold; empty for none.
	Model      string
	MinVersion int64
	// Lasting, unless it is 0, is the version of Model that endpoints stay with: one that
	// holds an older one loads it soon, and cuts then what runs there.
	Lasting int64
	// Exclude are endpoints that must not have the request, by ID, and Among, unless it is
	// empty, the only ones that may.
	Exclude, Among []string
	// Reloaded is an endpoint that may have the request although it is excluded.
	Reloaded Reloaded
	// MaxLoad is the load, in requests for each slot, at which an endpoint is
	// full; zero means no limit.
	MaxLoad float64
	// Healthy asks for an endpoint that is not ejected, paused or suspected, also where
	// there is no other.
	Healthy bool
	// MaxIdle, unless it is 0, asks for an endpoint that answers: not one that sent nothing
	// for longer on any of this gateway's requests, nor, while most are so, one of which
	// nothing is known.
	MaxIdle time.Duration
	// Apart asks for the least busy endpoint, whoever prefers it.
	Apart bool
	// Prefill is how long a model engine reads the prompt before the answer
	// begins; it delays all other requests there.
	Prefill time.Duration
}

// Reloaded is an endpoint that had a request and may have it again once it holds a newer
// version of its model than From: it broke off what ran there to load that.
type Reloaded struct {
	ID   string
	From int64
}

// Config holds what a Balancer relies on.
type Config struct {
	// Zone is this gateway's availability zone.
	Zone string
	// OtherLoad returns how many requests other gateways have at an endpoint.
	OtherLoad func(roster.Life) int
	// Suspected returns whether another gateway suspects an endpoint; nil means that
	// none does.
	Suspected func(roster.Life) bool
	// Random returns a number from [0, 1).
	Random func() float64
	// Observe hears of each change of belief. It is called under a lock and must not
	// wait; nil means that nobody does.
	Observe func(Belief)
	// Advised hears that an endpoint said something new in an answer, to be told to other
	// gateways. It is called under a lock and must not wait; nil means that nobody does.
	Advised func()
	// Unheard hears of an endpoint with a limit of which nothing was heard for long, so that
	// its holder is asked for a token. It is called as Advised is.
	Unheard func(roster.Life)
}

// Balancer chooses endpoints. It is safe for concurrent use.
type Balancer struct {
	cfg Config
	// lastTraffic is when anything last came from another process; see NoteTraffic.
	lastTraffic moment

	mu       sync.RWMutex
	services map[string]*shard
}

// New returns a Balancer without endpoints.
func New(cfg Config) *Balancer {
	if cfg.Suspected == nil {
		cfg.Suspected = func(roster.Life) bool { return false }
	}
	if cfg.Observe == nil {
		cfg.Observe = func(Belief) {}
	}
	if cfg.Advised == nil {
		cfg.Advised = func() {}
	}
	if cfg.Unheard == nil {
		cfg.Unheard = func(roster.Life) {}
	}
	return &Balancer{cfg: cfg, services: map[string]*shard{}}
}

// NoteTraffic notes that something came from another process, so that this gateway
// and its link are well. While nothing comes at all, no endpoint counts as idle.
func (b *Balancer) NoteTraffic(now time.Time) {
	b.lastTraffic.note(now)
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

// Pick chooses an endpoint and counts a request there until the lease is done. It
// returns *FullError when endpoints exist and all are at their limit, or
// *NoEndpointError when none may take the request at all.
func (b *Balancer) Pick(q *Query, now time.Time) (*Lease, error) {
	s := b.shard(q.Service)
	if s == nil {
		return nil, &NoEndpointError{Service: q.Service}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	chosen, err := b.choose(s, q, now)
	if err != nil {
		return nil, err
	}
	chosen.begin(now)
	chosen.said.limit.take(now)
	chosen.prefill += q.Prefill
	chosen.health.beginTrial(now)
	return &Lease{Record: chosen.record, balancer: b, shard: s, endpoint: chosen, prefill: q.Prefill}, nil
}

// Prefer tells which endpoints this gateway prefers to others, by ID.
func (b *Balancer) Prefer(ids map[string]bool) {
	b.eachShard(func(s *shard) {
		for id, e := range s.endpoints {
			e.preferred = ids[id]
		}
	})
}

// Announcement is what the process beside an endpoint tells of it.
type Announcement struct {
	// Addr is the endpoint's address as that process knows it, and Born tells which of its
	// lives is meant, as in roster.Life.
	Addr string
	Born int64
	// PausedUntil is until when no request is to be sent there. A time that has passed
	// ends an earlier pause.
	PausedUntil time.Time
	// Weights are what it runs, if any are named.
	Weights roster.Weights
}

// Announce takes in what the process beside an endpoint told. Where that is of a later
// life than the record in the store, which follows by a second or two, the endpoint counts
// as started again; what is told of an earlier one is out of date.
func (b *Balancer) Announce(a Announcement) {
	isMeant := b.meant(a.Addr)
	b.eachShard(func(s *shard) {
		for id, e := range s.endpoints {
			told := roster.Life{ID: id, Born: a.Born}
			if !isMeant(e.record) || told.Before(e.record.Life()) {
				continue
			}
			if !told.Same(e.record.Life()) {
				e = s.restart(e, startedAgain(e.record, a.Born))
			}
			e.health.pausedUntil = a.PausedUntil
			if a.Weights.Model != "" {
				e.announced = a.Weights
			}
		}
	})
}

// meant returns which endpoints the process beside one means by an address: that with the
// address, or where none has it, those of the VM.
func (b *Balancer) meant(addr string) func(*roster.Endpoint) bool {
	known := false
	b.eachShard(func(s *shard) {
		for _, e := range s.endpoints {
			known = known || e.record.Addr == addr
		}
	})
	if known {
		return func(r *roster.Endpoint) bool { return r.Addr == addr }
	}
	vm := roster.VM(addr)
	return func(r *roster.Endpoint) bool { return roster.VM(r.Addr) == vm }
}

// startedAgain returns what is known of an endpoint that started again: it holds nothing.
func startedAgain(r *roster.Endpoint, born int64) *roster.Endpoint {
	again := *r
	again.Born, again.Leaving, again.Weights = born, false, nil
	return &again
}

// InFlight returns this gateway's requests in progress by endpoint.
func (b *Balancer) InFlight() map[roster.Life]int {
	out := map[roster.Life]int{}
	b.eachShard(func(s *shard) {
		for _, e := range s.endpoints {
			if e.inFlight > 0 {
				out[e.record.Life()] = e.inFlight
			}
		}
	})
	return out
}

// Suspects returns the endpoints that were idle on several requests at once, while
// this gateway has ejected them or is about to try them.
func (b *Balancer) Suspects(now time.Time) []roster.Life {
	var out []roster.Life
	b.eachShard(func(s *shard) { out = append(out, s.suspects(now)...) })
	return out
}

func (b *Balancer) shard(service string) *shard {
	b.mu.RLock()
	defer b.mu.RUnlock()
	return b.services[service]
}

// eachShard calls f with each shard, under its lock.
func (b *Balancer) eachShard(f func(*shard)) {
	b.mu.RLock()
	defer b.mu.RUnlock()
	for _, s := range b.services {
		s.mu.Lock()
		f(s)
		s.mu.Unlock()
	}
}

// load returns the requests at e of all gateways, for each slot.
func (b *Balancer) load(e *endpoint) float64 {
	return float64(b.allInFlight(e)) / float64(max(e.record.Slots, 1))
}

// allInFlight returns the requests at e of all gateways; those of others are as old as their
// last heartbeat.
func (b *Balancer) allInFlight(e *endpoint) int {
	return e.inFlight + b.cfg.OtherLoad(e.record.Life())
}
