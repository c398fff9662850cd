package balance

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/silverdeck/silverdeck/gateway/work"
	"github.com/silverdeck/silverdeck/roster"
)

// shard holds the endpoints of one service, by ID.
type shard struct {
	mu        sync.Mutex
	endpoints map[string]*endpoint
	// ordered holds the endpoints sorted by ID, so that the selection is deterministic for
	// given random numbers.
	ordered []*endpoint
	index   index
	// byVM holds the endpoints of each VM, from which sidecars send notices.
	byVM map[string][]*endpoint
	// observedSlow holds the endpoints that are slow by their streams.
	observedSlow map[*endpoint]bool
	// busy holds the endpoints with requests of this gateway.
	busy map[*endpoint]bool
	// removed holds endpoints that no longer have a record, by ID.
	removed map[string]*removedEndpoint
	// evacuated holds the availability zones that are being evacuated. coldLimit applies to cold
	// endpoints of the service.
	evacuated map[string]bool
	coldLimit ColdLimit
	// engines is what is known about the service's model engines.
	engines work.Service
	// ratio compares the streams of all endpoints with the engines' figures.
	ratio work.ServiceRatio
}

// endpoint is this gateway's view of one endpoint. All fields except lastByte are guarded
// by the shard's lock.
type endpoint struct {
	record   *roster.Endpoint
	inFlight int
	// busySince is when the number of requests in flight last rose from zero.
	busySince time.Time
	health    health
	// prefill is the pending prefill time of this gateway's requests.
	prefill time.Duration
	// preferred is set if this gateway prefers the endpoint.
	preferred bool
	// announced holds the weights that the endpoint's sidecar announced; the record in the
	// store follows later.
	announced roster.Weights
	// advisory is what the endpoint reported about itself in its responses.
	advisory *advisoryState
	// held is set if this gateway is the endpoint's holder, which alone sends it requests
	// while it has a rate limit.
	held bool
	// evacuated is set while the endpoint's availability zone is being evacuated.
	evacuated bool
	// lastByte is when response bytes were last received.
	lastByte atomicTime
	// pace is the factor by which the endpoint is slower than its engine's figures, and speed
	// the resulting speed.
	pace  float64
	speed work.Speed
	// group is the group of the shard's index to which the endpoint belongs, position its position there.
	group    *group
	position int
	// observed is the estimate of pace from the endpoint's streams.
	observed work.Observations
}

// update replaces the records. The state of endpoints that remain is kept, but not across
// incarnations: ejections, requests in flight, and announced weights of an endpoint that
// crashed do not apply to its replacement. A record of an earlier incarnation than the
// known one is out of date and ignored. The lock must be held.
func (s *shard) update(records map[string]*roster.Endpoint) {
	for id, e := range s.endpoints {
		if records[id] == nil {
			s.keepRemoved(e)
			delete(s.endpoints, id)
			delete(s.busy, e)
		}
	}
	for id, r := range records {
		e := s.endpoints[id]
		switch {
		case e == nil:
			s.endpoints[id] = s.newEndpoint(r)
		case r.Incarnation().Before(e.record.Incarnation()):
		case r.Incarnation().Same(e.record.Incarnation()):
			if !slices.Equal(r.Weights, e.record.Weights) {
				e.health.prepare()
			}
			e.record = r
			e.applyCold(s.coldLimit)
		default:
			s.restart(e, r)
		}
	}
	s.sortEndpoints()
	s.index.current = false
}

// sortEndpoints rebuilds ordered and byVM. The lock must be held.
func (s *shard) sortEndpoints() {
	s.ordered, s.byVM = s.ordered[:0], map[string][]*endpoint{}
	for _, id := range slices.Sorted(maps.Keys(s.endpoints)) {
		e := s.endpoints[id]
		s.ordered = append(s.ordered, e)
		vm := roster.VM(e.record.Addr)
		s.byVM[vm] = append(s.byVM[vm], e)
	}
}

// at returns the endpoints with an address. The lock must be held.
func (s *shard) at(addr string) []*endpoint {
	var out []*endpoint
	for _, e := range s.byVM[roster.VM(addr)] {
		if e.record.Addr == addr {
			out = append(out, e)
		}
	}
	return out
}

// restart replaces e by its next incarnation, which has record r. Existing leases of e are
// still released there. The lock must be held.
func (s *shard) restart(e *endpoint, r *roster.Endpoint) *endpoint {
	next := &endpoint{record: r, preferred: e.preferred, held: e.held, advisory: &advisoryState{}, evacuated: s.evacuated[r.Zone], pace: 1}
	next.applyCold(s.coldLimit)
	s.updateSpeed(next)
	s.endpoints[r.ID] = next
	delete(s.busy, e)
	s.index.current = false
	for _, list := range [][]*endpoint{s.ordered, s.byVM[roster.VM(e.record.Addr)]} {
		if i := slices.Index(list, e); i >= 0 {
			list[i] = next
		}
	}
	return next
}

// isCurrent reports whether e is the current incarnation. The lock must be held.
func (s *shard) isCurrent(e *endpoint) bool {
	return s.endpoints[e.record.ID] == e
}

// reloadedSinceAttempt reports whether the endpoint has loaded newer weights since it was
// last tried for q.
func (e *endpoint) reloadedSinceAttempt(q *Query) bool {
	return q.Model != "" && e.record.ID == q.Reloaded.ID && e.holds(q.Model) > q.Reloaded.FromVersion
}

// included reports whether q.Include allows e.
func (e *endpoint) included(q *Query) bool {
	return len(q.Include) == 0 || slices.Contains(q.Include, e.record.ID)
}

// reloadPending reports whether the endpoint will soon load newer weights, if that matters
// for q.
func (e *endpoint) reloadPending(q *Query) bool {
	return q.LatestVersion > 0 && e.holds(q.Model) < q.LatestVersion
}

// addRequest counts a request that is sent to e now. The lock must be held.
func (s *shard) addRequest(e *endpoint, now time.Time) {
	if e.inFlight == 0 {
		e.busySince = now
		s.busy[e] = true
	}
	e.inFlight++
}

// removeRequest counts a request that has ended at e. The lock must be held.
func (s *shard) removeRequest(e *endpoint) {
	e.inFlight--
	if e.inFlight == 0 {
		delete(s.busy, e)
	}
}

// holds returns the version of model that the endpoint is known to hold, or 0.
func (e *endpoint) holds(model string) int64 {
	if e.announced.Model == model {
		return max(e.announced.Version, e.record.Holds(model))
	}
	return e.record.Holds(model)
}
