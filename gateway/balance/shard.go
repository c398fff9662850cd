package balance

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/silverdeck/silverdeck/roster"
)

// shard holds the endpoints of one service, by ID.
type shard struct {
	mu        sync.Mutex
	endpoints map[string]*endpoint
	// ordered are the endpoints by ID, so that the same draws choose the same one.
	ordered []*endpoint
	// departed are endpoints that have no record any more, by ID.
	departed map[string]*departed
}

// endpoint is what this gateway knows of one endpoint. But for lastByte, its
// shard's lock guards it.
type endpoint struct {
	record   *roster.Endpoint
	inFlight int
	// busySince is when the first of the requests in progress began.
	busySince time.Time
	health    health
	// prefill is the time that this gateway's requests there have yet to be read.
	prefill time.Duration
	// preferred is set when this is the gateway that prefers the endpoint.
	preferred bool
	// announced are weights that the process beside the endpoint told of; the
	// record in the store follows later.
	announced roster.Weights
	// said is what the endpoint said of itself in its answers.
	said *said
	// held is set when this is the gateway that sends it requests while it names a limit.
	held bool
	// lastByte is when bytes of an answer last came.
	lastByte moment
}

// update replaces the records. What is known of endpoints that stay is kept, but not from
// one life to the next: ejections, requests in progress and announced weights of an
// endpoint that crashed say nothing of what started in its place. A record of an earlier
// life than the one that is known is out of date.
func (s *shard) update(records map[string]*roster.Endpoint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, e := range s.endpoints {
		if records[id] == nil {
			s.depart(e)
			delete(s.endpoints, id)
		}
	}
	for id, r := range records {
		e := s.endpoints[id]
		switch {
		case e == nil:
			s.endpoints[id] = s.come(r)
		case r.Life().Before(e.record.Life()):
		case r.Life().Same(e.record.Life()):
			e.record = r
		default:
			s.restart(e, r)
		}
	}
	s.order()
}

// order lists the endpoints by ID. The caller holds the lock.
func (s *shard) order() {
	s.ordered = s.ordered[:0]
	for _, id := range slices.Sorted(maps.Keys(s.endpoints)) {
		s.ordered = append(s.ordered, s.endpoints[id])
	}
}

// restart puts an endpoint's next life, as r has it, in the place of e. Who has a lease of
// e gives it back there. The caller holds the lock.
func (s *shard) restart(e *endpoint, r *roster.Endpoint) *endpoint {
	next := &endpoint{record: r, preferred: e.preferred, held: e.held, said: &said{}}
	s.endpoints[r.ID] = next
	if i := slices.Index(s.ordered, e); i >= 0 {
		s.ordered[i] = next
	}
	return next
}

// has returns whether e is the life that is known now. The caller holds the lock.
func (s *shard) has(e *endpoint) bool {
	return s.endpoints[e.record.ID] == e
}

// fits returns whether e may take a request of q at all.
func (e *endpoint) fits(q *Query) bool {
	if e.leaving() || e.health.reassigned {
		return false
	}
	if q.Model != "" && e.holds(q.Model) < max(q.MinVersion, 1) {
		return false
	}
	return e.among(q) && (!slices.Contains(q.Exclude, e.record.ID) || e.reloaded(q))
}

// reloaded returns whether the endpoint has loaded newer weights since it had a request of q.
func (e *endpoint) reloaded(q *Query) bool {
	return q.Model != "" && e.record.ID == q.Reloaded.ID && e.holds(q.Model) > q.Reloaded.From
}

// among returns whether e is one of those that may have a request of q.
func (e *endpoint) among(q *Query) bool {
	return len(q.Among) == 0 || slices.Contains(q.Among, e.record.ID)
}

// changes returns whether the endpoint loads newer weights soon, which matters to a request
// of q.
func (e *endpoint) changes(q *Query) bool {
	return q.Lasting > 0 && e.holds(q.Model) < q.Lasting
}

// begin counts a request that is sent now.
func (e *endpoint) begin(now time.Time) {
	if e.inFlight == 0 {
		e.busySince = now
	}
	e.inFlight++
}

// holds returns the version of model that the endpoint is known to hold, or 0.
func (e *endpoint) holds(model string) int64 {
	if e.announced.Model == model {
		return max(e.announced.Version, e.record.Holds(model))
	}
	return e.record.Holds(model)
}
