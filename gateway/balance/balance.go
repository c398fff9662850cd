// Package balance selects an endpoint for each request. It counts outstanding requests,
// tracks request outcomes, and ejects failing endpoints.
//
// The package holds this gateway's view of each endpoint. Its inputs are the endpoint list
// from the platform's store, and the outstanding requests and suspected endpoints reported
// by other gateways. The endpoints of each service form a shard with its own lock.
package balance

import (
	"sync"
	"time"

	"github.com/silverdeck/silverdeck/gateway/residency"
	"github.com/silverdeck/silverdeck/gateway/work"
	"github.com/silverdeck/silverdeck/roster"
)

// Query describes the endpoint that a request needs.
type Query struct {
	Service string
	// Model and MinVersion name the weights that the endpoint must hold; empty if none are
	// required.
	Model      string
	MinVersion int64
	// LatestVersion, if nonzero, is the newest version of Model. An endpoint that holds an
	// older version will reload soon, which interrupts the requests running there.
	LatestVersion int64
	// Regions are the regions in which the request may be processed.
	Regions residency.Regions
	// Exclude lists the IDs of endpoints that must not be selected. Include, if not empty,
	// lists the only IDs that may be selected.
	Exclude, Include []string
	// Reloaded names an endpoint that may be selected in spite of Exclude.
	Reloaded Reloaded
	// MaxLoad is the load, in requests per slot, at which an endpoint counts as full; zero
	// means no limit.
	MaxLoad float64
	// Admitted is set if the request was admitted within the room of the whole fleet. The limit on
	// endpoints that other gateways prefer doesn't apply, since their requests are limited as well.
	Admitted bool
	// Vacated, if not empty, is the ID of an endpoint at which a request of this gateway has just
	// ended. It is selected unless it is full: no other gateway knows of the free slot yet.
	Vacated string
	// Healthy rules out ejected, paused, and suspected endpoints even if there are no
	// others.
	Healthy bool
	// MaxIdle, if nonzero, restricts the selection to responsive endpoints. It rules out
	// endpoints that have sent nothing on any of this gateway's requests for longer than
	// MaxIdle and, while most endpoints are in that state, endpoints whose responsiveness
	// is unknown.
	MaxIdle time.Duration
	// LeastLoaded selects the least loaded endpoint, whichever gateway prefers it.
	LeastLoaded bool
	// Prefill is how long a model engine processes the prompt before the response begins;
	// this delays all other requests at the endpoint.
	Prefill time.Duration
	// Work is the work of a stream. The zero value is unknown.
	Work work.Stream
}

// Reloaded identifies an endpoint that interrupted a request in order to load a newer
// version of its model. It may receive the request again once it holds a version newer than
// FromVersion.
type Reloaded struct {
	ID          string
	FromVersion int64
}

// Config holds the settings and dependencies of a Balancer.
type Config struct {
	// Zone is this gateway's availability zone.
	Zone string
	// OtherLoad returns the number of requests that other gateways have outstanding at an
	// endpoint.
	OtherLoad func(roster.Incarnation) int
	// Suspected reports whether another gateway suspects an endpoint; nil means that none
	// does.
	Suspected func(roster.Incarnation) bool
	// Random returns a number in [0, 1).
	Random func() float64
	// OnHealthChange, if not nil, is called for each health change of an endpoint. It is
	// called with a lock held and must not block.
	OnHealthChange func(HealthEvent)
	// OnAdvisory, if not nil, is called when a response carries new advisory information
	// that should be sent to other gateways. It is called with a lock held and must not
	// block.
	OnAdvisory func()
	// OnTokenWanted, if not nil, is called for an endpoint whose holder should be asked for a
	// token for a later request: a rate-limited one that no gateway has heard from for a long
	// time, or a cold one that costs less than the selected endpoint. It is called with a lock
	// held and must not block.
	OnTokenWanted func(roster.Incarnation)
	OnStaleLimit  func(roster.Incarnation)
	// OnPaceChange, if not nil, is called when an endpoint has become slow or no longer is. It
	// is called with a lock held and must not block.
	OnPaceChange func(PaceEvent)
}

// Balancer selects endpoints. It is safe for concurrent use.
type Balancer struct {
	cfg Config
	// lastTraffic is when anything was last received from another process; see NoteTraffic.
	lastTraffic atomicTime

	mu       sync.RWMutex
	services map[string]*shard
	// evacuated holds the availability zones that are being evacuated, coldLimits the limits on
	// requests to cold endpoints by service.
	evacuated  map[string]bool
	coldLimits map[string]ColdLimit
	// engines holds what is known about the engines of services, paces what sidecars told of
	// the endpoints by address.
	engines map[string]work.Service
	paces   map[string]toldPace
}

// New returns a Balancer without endpoints.
func New(cfg Config) *Balancer {
	if cfg.Suspected == nil {
		cfg.Suspected = func(roster.Incarnation) bool { return false }
	}
	if cfg.OnHealthChange == nil {
		cfg.OnHealthChange = func(HealthEvent) {}
	}
	if cfg.OnAdvisory == nil {
		cfg.OnAdvisory = func() {}
	}
	if cfg.OnTokenWanted == nil {
		cfg.OnTokenWanted = func(roster.Incarnation) {}
	}
	if cfg.OnPaceChange == nil {
		cfg.OnPaceChange = func(PaceEvent) {}
	}
	return &Balancer{cfg: cfg, services: map[string]*shard{}}
}

// NoteTraffic records that something was received from another process, which shows that
// this gateway and its network link work. While nothing is received from any process, no
// endpoint counts as idle.
func (b *Balancer) NoteTraffic(now time.Time) {
	b.lastTraffic.store(now)
}

// Update replaces the list of endpoints. The state of endpoints that remain is kept.
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
			s = &shard{endpoints: map[string]*endpoint{}, busy: map[*endpoint]bool{}, evacuated: b.evacuated, coldLimit: b.coldLimits[name], engines: b.engines[name]}
			b.services[name] = s
		}
		b.updateShard(s, records)
	}
}

// updateShard replaces the records of s. The lock of b must be held.
func (b *Balancer) updateShard(s *shard, records map[string]*roster.Endpoint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.update(records)
	for _, e := range s.endpoints {
		b.applyPace(s, e)
		s.updateSpeed(e)
	}
}

// Pick selects an endpoint and counts a request there until the lease is done. It returns
// *FullError if endpoints exist but all are at their limit, and *NoEndpointError if none is
// eligible for the request.
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
	expected := chosen.expectedTimes(&q.Work, b.load(chosen), now)
	s.addRequest(chosen, now)
	chosen.advisory.limit.noteSent(now)
	chosen.prefill += q.Prefill
	chosen.health.beginProbe(now)
	return &Lease{Record: chosen.record, balancer: b, shard: s, endpoint: chosen, prefill: q.Prefill, expected: expected}, nil
}

// SetPreferred sets the endpoints that this gateway prefers, by ID.
func (b *Balancer) SetPreferred(ids map[string]bool) {
	b.eachShard(func(s *shard) {
		for id, e := range s.endpoints {
			e.preferred = ids[id]
		}
		s.index.current = false
	})
}

// InFlight returns this gateway's outstanding requests by endpoint.
func (b *Balancer) InFlight() map[roster.Incarnation]int {
	out := map[roster.Incarnation]int{}
	b.eachShard(func(s *shard) {
		for _, e := range s.endpoints {
			if e.inFlight > 0 {
				out[e.record.Incarnation()] = e.inFlight
			}
		}
	})
	return out
}

// Suspects returns the endpoints that were unresponsive to several concurrent requests and
// that this gateway has ejected or is about to probe.
func (b *Balancer) Suspects(now time.Time) []roster.Incarnation {
	var out []roster.Incarnation
	b.eachShard(func(s *shard) { out = append(out, s.suspects(now)...) })
	return out
}

func (b *Balancer) shard(service string) *shard {
	b.mu.RLock()
	defer b.mu.RUnlock()
	return b.services[service]
}

// eachShard calls f for each shard, with the shard's lock held.
func (b *Balancer) eachShard(f func(*shard)) {
	b.mu.RLock()
	defer b.mu.RUnlock()
	for _, s := range b.services {
		s.mu.Lock()
		f(s)
		s.mu.Unlock()
	}
}

// load returns the requests of all gateways at e, per slot.
func (b *Balancer) load(e *endpoint) float64 {
	return float64(b.totalInFlight(e)) / float64(max(e.record.Slots, 1))
}

// expectedTimes returns the expected times of a stream that is sent to e. A cold endpoint, which has
// fewer places, is the more loaded.
func (e *endpoint) expectedTimes(w *work.Stream, load float64, now time.Time) work.Times {
	return e.speed.Times(w, e.perPlace(load, now), e.prefill)
}

// fit returns whether w can be served in time at e.
func (e *endpoint) fit(w *work.Stream, load float64, now time.Time) work.Fit {
	return e.speed.Fit(w, e.perPlace(load, now), e.prefill)
}

// perPlace converts a load per slot of e to one per place. Where the time of a mean stream is unknown,
// a rate limit takes no places.
func (e *endpoint) perPlace(load float64, now time.Time) float64 {
	places := e.speed.Places
	if e.speed.MeanTime > 0 {
		places = max(e.places(now), 1)
	}
	return load * float64(max(e.record.Slots, 1)) / places
}

// totalInFlight returns the outstanding requests of all gateways at e. The counts of other
// gateways are as old as their last heartbeats.
func (b *Balancer) totalInFlight(e *endpoint) int {
	return e.inFlight + b.cfg.OtherLoad(e.record.Incarnation())
}
