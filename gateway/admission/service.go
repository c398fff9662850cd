package admission

import (
	"maps"
	"sync"
	"time"
)

const (
	// endsWindow is the time over which the rate at which places come free is smoothed.
	endsWindow = 2 * time.Second
	// refusedWindow is the time over which the share of refusals is smoothed.
	refusedWindow = 3 * time.Second
)

// services holds the state of each service.
type services struct {
	mu     sync.RWMutex
	byName map[string]*service
}

func (s *services) get(name string) *service {
	s.mu.RLock()
	found := s.byName[name]
	s.mu.RUnlock()
	if found != nil {
		return found
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.byName == nil {
		s.byName = map[string]*service{}
	}
	if s.byName[name] == nil {
		s.byName[name] = &service{name: name, levels: FullLevels(), reported: FullLevels()}
	}
	return s.byName[name]
}

func (s *services) all() map[string]*service {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return maps.Clone(s.byName)
}

// service is the state of one service.
type service struct {
	name string

	mu       sync.Mutex
	demand   demandMeter
	accounts accounts
	ends     meter
	// asked and refused count the callers who could be served in time and are within their account's
	// share, and those of them that were refused.
	asked, refused meter
	slotTimes      slotTimes
	// running is the number of admitted requests, byRank by rank.
	running int
	byRank  [Ranks]int
	queue   waitQueue
	returns returns
	vacated vacated

	// The fields below are the result of the last refresh.
	refreshedAt time.Time
	conditions  Conditions
	// fleetAccounts is what other gateways tell of accounts.
	fleetAccounts fleetAccounts
	elsewhere     int
	// coming holds the endpoints that serve requests soon, as of refreshedAt.
	coming []Arrival
	// open is the number of requests that endpoints outside the room still accept from this gateway.
	open int
	// mostHeardAt is when most of the known gateways were last alive.
	mostHeardAt time.Time
	// heard is what was known of the other gateways at heardAt, when most of them were last heard,
	// if the room was short.
	heard     Heard
	heardAt   time.Time
	shortage  bool
	changedAt time.Time
	levels    Levels
	limit     float64
	// reported holds the levels that OnChange was last called with.
	reported Levels
}

// result is the outcome of waiting.
type result struct {
	grant *Grant
	err   error
}

// acquire admits a request, refuses it, or returns a waiter for it.
func (s *service) acquire(g *Gate, r *Request, now time.Time) (*Grant, *waiter, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	q := *r
	q.Rank = min(max(q.Rank, 0), Ranks-1)
	returned := q.Elapsed >= MinReturn && s.returns.take(now)
	late := q.Elapsed >= q.Target
	a := s.accounts.get(q.Account)
	a.count(q.Elapsed, now)
	early := isEarly(q.Elapsed) && a.repeats(now)
	// Callers that can't be served in time any more get what others leave. In the demand they would
	// make it grow with each refusal.
	if !late && !early {
		s.demand.add(q.Rank, s.slotTimes.expected(q.SlotTime), now)
	}
	s.update(g, now)
	w := &waiter{request: &q, returned: returned, late: late || early, until: now}
	w.exceeds = s.shortage && !a.take(&s.fleetAccounts, now)
	if !w.late && !w.exceeds {
		s.asked.add(1, refusedWindow, now)
	}
	if !s.shortage {
		return s.admit(g, &q, false, now), nil, nil
	}
	s.queue.prepare(w)
	s.dispatch(g, now)
	cause := s.check(w, now)
	if cause == "" {
		g.cfg.OnDecision(Decision{Service: s.name, Returned: returned})
		return s.admit(g, &q, w.elsewhere, now), nil, nil
	}
	limit := WaitLimit(q.Target, q.Elapsed)
	if ShouldWait(s.queue.ahead(w), s.ends.rate(endsWindow, now), limit) {
		w.until, w.done = now.Add(limit), make(chan result, 1)
		s.queue.add(w)
		return nil, w, nil
	}
	return nil, nil, s.refuse(g, w, cause, false, now)
}

// check returns why a request can't be admitted now, or "".
func (s *service) check(w *waiter, now time.Time) Cause {
	if s.fits(w, now) { // requests that wait don't, or dispatch would have admitted them
		return ""
	}
	if s.open > 0 && !w.late && !w.exceeds {
		s.open--
		w.elsewhere = true
		return ""
	}
	switch {
	case w.late && w.request.Elapsed < MinReturn:
		return CauseEarly
	case w.late:
		return CauseLate
	case s.limit-float64(s.running-s.elsewhere) < 1:
		return CauseShare
	case w.exceeds:
		return CauseAccount
	}
	return CauseRank
}

// refusedShare returns the share of the callers who could be served in time that were refused.
func (s *service) refusedShare(now time.Time) float64 {
	asked := s.asked.rate(refusedWindow, now)
	if asked <= 0 {
		return 0
	}
	return s.refused.rate(refusedWindow, now) / asked
}

// fits returns whether w is admitted now.
func (s *service) fits(w *waiter, now time.Time) bool {
	rank := w.request.Rank
	included := float64(s.running-s.elsewhere) / float64(max(s.running, 1))
	return Fits(&Standing{
		Limit:         s.limit,
		Running:       s.running - s.elsewhere,
		RunningOfRank: included * float64(s.byRank[rank]),
		PartOfRank:    PartOf(rank, s.limit, s.levels, s.conditions.Own.Recent),
		Level:         s.levels[rank],
		Exceeds:       w.exceeds,
		Returned:      w.returned,
		Late:          w.late,
		RefusedShare:  s.refusedShare(now),
		Unmet:         s.conditions.Unmet(),
	})
}

// admit counts an admitted request. elsewhere is set if it is meant for an endpoint outside the room.
func (s *service) admit(g *Gate, r *Request, elsewhere bool, now time.Time) *Grant {
	s.running++
	s.byRank[r.Rank]++
	s.accounts.get(r.Account).running++
	grant := &Grant{gate: g, service: s, rank: r.Rank, account: r.Account, estimate: r.SlotTime, begunAt: now, Enforced: s.shortage}
	if elsewhere {
		s.elsewhere++
	} else {
		grant.Vacated = s.vacated.take(now)
	}
	return grant
}

// refuse returns the refusal of w and counts its caller among those that will return.
func (s *service) refuse(g *Gate, w *waiter, cause Cause, waited bool, now time.Time) error {
	forecast := &ReturnForecast{
		Target: w.request.Target, Elapsed: w.request.Elapsed, Left: w.request.Left,
		SlotTime:      s.slotTimes.expected(w.request.SlotTime),
		FreePerSecond: s.ends.rate(endsWindow, now),
		Coming:        s.comingPlaces(now),
		Exceeds:       w.exceeds,
		RefusedShare:  s.refusedShare(now),
		Expected:      func(d time.Duration) float64 { return s.returns.expected(d, now) },
		Random:        g.cfg.Random,
	}
	refused := &RefusedError{Service: s.name, Cause: cause, TooLate: !CanReturn(forecast)}
	if !refused.TooLate {
		refused.ReturnAfter = ReturnAfter(forecast)
		s.returns.expect(refused.ReturnAfter, now)
	}
	if !w.late && !w.exceeds {
		s.refused.add(1, refusedWindow, now)
	}
	g.cfg.OnDecision(Decision{Service: s.name, Refused: cause, Waited: waited, Returned: w.returned, TooLate: refused.TooLate})
	return refused
}

// comingPlaces returns the part of the room that comes which is this gateway's.
func (s *service) comingPlaces(now time.Time) []Arrival {
	if len(s.coming) == 0 {
		return nil
	}
	share, since := Share(&s.conditions), now.Sub(s.refreshedAt)
	out := make([]Arrival, 0, len(s.coming))
	for _, a := range s.coming {
		out = append(out, Arrival{In: a.In - since, Places: share * a.Places})
	}
	return out
}

// release ends a grant and admits waiting requests.
func (s *service) release(a *Grant, endpoint string, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if a.released {
		return
	}
	a.released = true
	s.running--
	s.byRank[a.rank]--
	s.accounts.get(a.account).running--
	s.vacated.add(endpoint, now)
	s.ends.add(1, endsWindow, now)
	if endpoint != "" {
		s.slotTimes.observe(a.estimate, now.Sub(a.begunAt))
	}
	s.dispatch(a.gate, now)
}

// takeVacated returns the endpoint of the slot that came free last, or empty if there is none or no
// shortage.
func (s *service) takeVacated(now time.Time) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.shortage {
		return ""
	}
	return s.vacated.take(now)
}

// abandon ends the wait of w. cause is why its caller doesn't wait any more, or nil if the time is
// over.
func (s *service) abandon(g *Gate, w *waiter, cause error) (*Grant, error) {
	return s.abandonAt(g, w, cause, time.Now())
}

func (s *service) abandonAt(g *Gate, w *waiter, cause error, now time.Time) (*Grant, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.queue.remove(w) {
		x := <-w.done
		return x.grant, x.err
	}
	if cause != nil {
		return nil, cause
	}
	return nil, s.refuse(g, w, CauseWaited, true, now)
}

// dispatch admits waiting requests in their order, and refuses those that no longer have a chance.
// The caller must hold s.mu.
func (s *service) dispatch(g *Gate, now time.Time) {
	var left []*waiter
	for _, w := range s.queue.waiting {
		switch {
		case !s.shortage || s.fits(w, now):
			g.cfg.OnDecision(Decision{Service: s.name, Waited: true, Returned: w.returned})
			w.done <- result{grant: s.admit(g, w.request, false, now)}
		case !now.Before(w.until):
			w.done <- result{err: s.refuse(g, w, CauseWaited, true, now)}
		default:
			left = append(left, w)
		}
	}
	s.queue.waiting = left
}
