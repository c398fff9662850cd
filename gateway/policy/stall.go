package policy

import "time"

// When another endpoint is asked for a request whose endpoint does not answer. Targets are those of
// the request's route.
const (
	// gapFactor is how many times the target between events an endpoint may send nothing on
	// any of this gateway's streams.
	gapFactor = 2
	// minEndpointIdle is the least such time, twice the interval of the heartbeats by which
	// a gateway knows that its own link is well.
	minEndpointIdle = 400 * time.Millisecond
	// lostFactor is how many times its latency target, or the target between events, one
	// stream may get nothing while its endpoint sends on others: then its answer is lost.
	lostFactor = 3
	// minStreamIdle is the least such time.
	minStreamIdle = 900 * time.Millisecond
	// plainFactor is how many times its latency target a plain request may take that may
	// run twice.
	plainFactor = 2
)

// EndpointIdleLimit returns for how long an endpoint may send nothing on any
// stream, where gapTarget is the target between two events.
func EndpointIdleLimit(gapTarget time.Duration) time.Duration {
	return max(gapFactor*gapTarget, minEndpointIdle)
}

// answeringShare is the part of EndpointIdleLimit within which an endpoint must have sent
// something to be asked in the place of another: where all stand still, each reaches that
// limit a moment before or after the others.
const answeringShare = 0.5

// AnsweringLimit returns for how long an endpoint may have sent nothing on any stream that
// is asked in the place of an idle one, where gapTarget is the target between two events.
func AnsweringLimit(gapTarget time.Duration) time.Duration {
	return time.Duration(answeringShare * float64(EndpointIdleLimit(gapTarget)))
}

// StreamIdleLimit returns for how long one stream may get nothing although its
// endpoint sends on others. target is that of the first event, or that between
// events once the answer has begun.
func StreamIdleLimit(target time.Duration) time.Duration {
	return max(lostFactor*target, minStreamIdle)
}

// Stall is what is known of a request while its endpoint is waited for.
type Stall struct {
	// Begun is set when an event came from this endpoint for this request.
	Begun bool
	// Outdated is set when the endpoint holds weights on which no request may begin
	// any more.
	Outdated bool
	// LastAttempt is set when the route allows no further one.
	LastAttempt bool
	// EndpointIdle is for how long the endpoint sent nothing on any stream.
	EndpointIdle time.Duration
	// EndpointIdleLimit is what it may be; see the function of that name.
	EndpointIdleLimit time.Duration
	// StreamIdle is for how long this request got nothing.
	StreamIdle time.Duration
	// StreamIdleLimit is what it may be; see the function of that name.
	StreamIdleLimit time.Duration
}

// Wait is what becomes of a request whose endpoint is waited for. It is one of
// KeepWaiting, Leave and Hedge.
type Wait interface {
	wait()
}

// KeepWaiting goes on waiting.
type KeepWaiting struct{}

// Leave gives the endpoint up, whatever there is elsewhere.
type Leave struct{}

// Hedge goes on waiting and sends the request to another endpoint as well, if one can take
// it now and the retry budget has a retry. The first that answers serves it: an endpoint is
// not left on the mere prospect of another, which may refuse, fail or be taken by then.
type Hedge struct {
	// MaxLoad is the load below which the other endpoint must be, in requests for
	// each slot; 0 means any.
	MaxLoad float64
}

func (KeepWaiting) wait() {}
func (Leave) wait()       {}
func (Hedge) wait()       {}

// WaitForStream returns whether a stream goes on waiting for its endpoint. A stream
// that has not begun must not begin on outdated weights. An endpoint that is idle
// on all streams is doubted in favour of any other; one that sends to others only of one
// with a free slot, since the place in its queue is worth something.
func WaitForStream(s Stall) Wait {
	switch {
	case !s.Begun && s.Outdated:
		return Leave{}
	case s.LastAttempt:
		return KeepWaiting{}
	case s.EndpointIdle > s.EndpointIdleLimit:
		return Hedge{}
	case s.StreamIdle > s.StreamIdleLimit:
		return Hedge{MaxLoad: idleLoad}
	}
	return KeepWaiting{}
}

// WaitForPlain returns whether a plain request that may run twice goes on waiting
// for its endpoint, of which it has got nothing for waited. target is its latency
// target.
func WaitForPlain(waited, target time.Duration, lastAttempt bool) Wait {
	if !lastAttempt && waited > plainFactor*target {
		return Hedge{}
	}
	return KeepWaiting{}
}
