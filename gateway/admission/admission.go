// Package admission decides which requests a gateway admits while a service's endpoints can't serve
// all that callers of all gateways ask for.
//
// Nobody leads. Each gateway measures what its callers ask for and learns from heartbeats what those
// of the others ask for and how many requests run. From the same sums each gateway derives the same
// levels by priority rank, and its own share of the room. It admits a request while it runs fewer
// requests than its share: it learns at once when one of its own ends, so the shares add up to the
// room although gateways learn of each other's requests late. While the room suffices for all,
// nothing is limited.
//
// The rules are pure functions: LevelsFor, InShortage, Share, Limit, Fits, AccountShare, WaitLimit,
// ShouldWait, CanReturn and ReturnAfter. Gate applies them. It owns the state of each service, guarded by the
// service's own lock, and relies on its Config for what is known of endpoints and other gateways.
package admission

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/silverdeck/silverdeck/member"
)

// Request describes a request that asks to be admitted.
type Request struct {
	Service, Account string
	// Rank is the priority rank; 0 is the highest.
	Rank int
	// SlotTime is the estimated time for which the request takes a slot, or 0 if it is unknown.
	SlotTime time.Duration
	// Target is the latency target, Elapsed the time since the caller's first try, Left the time to
	// its deadline.
	Target, Elapsed, Left time.Duration
}

// Supply is the room that a service's endpoints have.
type Supply struct {
	// Room is the number of requests that the endpoints run concurrently. Running is the number
	// that all gateways have outstanding at the same endpoints.
	Room, Running float64
	// Elsewhere is the number of this gateway's outstanding requests at endpoints that are not
	// included, such as those that are leaving.
	Elsewhere int
	// Own is the number of this gateway's requests in Running.
	Own float64
	// Coming holds the endpoints that are known to serve requests soon.
	Coming []Arrival
	// Open is the number of other endpoints, such as cold ones, that accept one request of this
	// gateway now.
	Open int
}

// Arrival is room that comes at a known time, such as that of an endpoint that loads weights.
type Arrival struct {
	// In is the latest time until it comes.
	In time.Duration
	// Places is the number of requests that it suffices for.
	Places float64
}

// News is what other gateways told of a service.
type News struct {
	// Demand is the demand of those that are included.
	Demand Demand
	// Accounts holds the request rates of client accounts, by member.AccountRate.Account.
	Accounts map[uint32]member.AccountRate
	// Told counts the callers whom they told to return, as member.FleetShortage does.
	Told []int
	// Covers is the number of gateways that are included, Gateways the number of other live
	// gateways, Known that of other known gateways, dead or alive.
	Covers, Gateways, Known int
	// Age is the age of the oldest news.
	Age time.Duration
	// LostFor is the time for which less than half of the known gateways have been alive. The Gate
	// sets it.
	LostFor time.Duration
	// Last is what was known when others were last heard. The Gate sets it.
	Last Heard
}

// Cause is why a request is refused.
type Cause string

// Causes of refusals.
const (
	// CauseRank means that the places of the request's rank are taken.
	CauseRank Cause = "rank"
	// CauseShare means that all places of this gateway are taken.
	CauseShare Cause = "share"
	// CauseAccount means that the client account asks for much more than usual.
	CauseAccount Cause = "account"
	// CauseWaited means that no place came free in the time that the request could wait.
	CauseWaited Cause = "waited"
	// CauseEarly means that the caller came back too early, as others of its account do.
	CauseEarly Cause = "early"
	// CauseLate means that the caller can't be served within its latency target any more.
	CauseLate Cause = "late"
)

// RefusedError reports that a request is not admitted. It was not sent to any endpoint.
type RefusedError struct {
	Service string
	Cause   Cause
	// ReturnAfter is when the caller should return, unless TooLate is set: then its request couldn't
	// end by its deadline.
	ReturnAfter time.Duration
	TooLate     bool
}

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("admission: no place for the request at %s: %s", e.Service, e.Cause)
}

// AsRefused returns the refusal that err is, or nil.
func AsRefused(err error) *RefusedError {
	var refused *RefusedError
	if errors.As(err, &refused) {
		return refused
	}
	return nil
}

// Config holds the dependencies of a Gate. The functions are called with a lock held and must not
// call the Gate.
type Config struct {
	// Supply returns the room of a service.
	Supply func(service string, now time.Time) Supply
	// News returns what other gateways told of a service.
	News func(service string, now time.Time) News
	// Random returns a number in [0, 1).
	Random func() float64
	// OnChange is called when a shortage of a service begins or ends and when its levels change.
	OnChange func(Status)
	// OnDecision is called for each request that waited or was refused during a shortage.
	OnDecision func(Decision)
}

// Decision is the outcome of a request during a shortage.
type Decision struct {
	Service string
	// Refused is the cause of a refusal, or empty if the request was admitted.
	Refused Cause
	// Waited is set if the request waited for a place.
	Waited bool
	// Returned is set if the caller returned at the time that it was told.
	Returned bool
	// TooLate is set if the caller was refused and can't return in time.
	TooLate bool
}

// Status is a service's state, as shown to operators.
type Status struct {
	Service  string `json:"service"`
	Shortage bool   `json:"shortage"`
	Conditions
	Levels Levels `json:"levels"`
	// Limit is the number of requests that this gateway may run, Admitted the number that it runs,
	// Waiting the number that wait, Told that of callers that were told to return.
	Limit    float64 `json:"limit"`
	Admitted int     `json:"admitted"`
	Waiting  int     `json:"waiting"`
	Told     int     `json:"told"`
}

// Gate admits requests. It is safe for concurrent use.
type Gate struct {
	cfg      Config
	services services
	// rounding is added to limits before they are rounded down. It differs between gateways, so
	// that the rounded limits of all add up to the room.
	rounding float64
}

// New returns a Gate.
func New(cfg Config) *Gate {
	if cfg.OnChange == nil {
		cfg.OnChange = func(Status) {}
	}
	if cfg.OnDecision == nil {
		cfg.OnDecision = func(Decision) {}
	}
	return &Gate{cfg: cfg, rounding: cfg.Random()}
}

// Acquire admits a request or returns *RefusedError. It may wait for a part of the latency target.
// If ctx ends meanwhile, it returns the cause.
func (g *Gate) Acquire(ctx context.Context, r *Request) (*Grant, error) {
	s := g.services.get(r.Service)
	now := time.Now()
	grant, w, err := s.acquire(g, r, now)
	if w == nil {
		return grant, err
	}
	timer := time.NewTimer(w.until.Sub(now))
	defer timer.Stop()
	select {
	case x := <-w.done:
		return x.grant, x.err
	case <-ctx.Done():
		return s.abandon(g, w, context.Cause(ctx))
	case <-timer.C:
		return s.abandon(g, w, nil)
	}
}

// TryAcquire admits a request at the given time or returns *RefusedError. It doesn't wait.
func (g *Gate) TryAcquire(r *Request, now time.Time) (*Grant, error) {
	s := g.services.get(r.Service)
	grant, w, err := s.acquire(g, r, now)
	if w != nil {
		return s.abandonAt(g, w, nil, now)
	}
	return grant, err
}

// Refresh applies changes of the room and news of other gateways. It is called periodically.
func (g *Gate) Refresh(now time.Time) {
	for _, s := range g.services.all() {
		s.refresh(g, now)
	}
}

// Demand returns the demand of this gateway's callers by service.
func (g *Gate) Demand(now time.Time) map[string]Demand {
	out := map[string]Demand{}
	for name, s := range g.services.all() {
		out[name] = s.currentDemand(now)
	}
	return out
}

// Status returns the state of all services.
func (g *Gate) Status() []Status {
	var out []Status
	for _, s := range g.services.all() {
		out = append(out, s.statusNow())
	}
	return out
}

// Grant is the admission of a request.
type Grant struct {
	gate    *Gate
	service *service
	rank    int
	account string
	// estimate is the slot time that was estimated.
	estimate time.Duration
	begunAt  time.Time
	// Enforced is set if the request was admitted while limits were in force, so that it counts
	// within the fleet's room.
	Enforced bool
	// Vacated is the endpoint at which the place came free that the request takes, or empty.
	Vacated  string
	released bool
}

// TakeVacated returns an endpoint at which a request of this gateway has just ended, for a request
// that waits at another endpoint, or empty if there is none or the room is not short.
func (a *Grant) TakeVacated(now time.Time) string {
	if a == nil {
		return ""
	}
	return a.service.takeVacated(now)
}

// Release ends the admission when the request has ended. endpoint is the endpoint that served it, or
// empty if it took no slot. Later calls have no effect.
func (a *Grant) Release(endpoint string, now time.Time) {
	if a == nil {
		return
	}
	a.service.release(a, endpoint, now)
}
