package policy

import "time"

// Limits after which a request is hedged. Latency and gap targets are those of its route.
const (
	// endpointIdleFactor is the number of gap targets for which an endpoint may send nothing on
	// any of this gateway's streams.
	endpointIdleFactor = 2
	// minEndpointIdle is the minimum of that limit: twice the interval of the heartbeats by
	// which a gateway detects that its own network link works.
	minEndpointIdle = 400 * time.Millisecond
	// streamIdleFactor is the number of latency targets, or of gap targets once the response
	// has begun, for which a stream may receive nothing while its endpoint sends on others.
	// After that its response counts as lost.
	streamIdleFactor = 3
	// minStreamIdle is the minimum of that limit.
	minStreamIdle = 900 * time.Millisecond
	// plainWaitFactor is the number of latency targets that a repeatable plain request may
	// take.
	plainWaitFactor = 2
)

// EndpointIdleLimit returns how long an endpoint may send nothing on any stream. gapTarget is
// the target time between two events.
func EndpointIdleLimit(gapTarget time.Duration) time.Duration {
	return max(endpointIdleFactor*gapTarget, minEndpointIdle)
}

// activeFraction is the fraction of EndpointIdleLimit within which an endpoint must have sent
// something to be the target of a hedge. When all endpoints stall, each reaches the limit a
// moment before or after the others, and a hedge would go to one that is stalled as well.
const activeFraction = 0.5

// HedgeTargetIdleLimit returns how long the target of a hedge for an idle endpoint may have sent
// nothing on any stream. gapTarget is the target time between two events.
func HedgeTargetIdleLimit(gapTarget time.Duration) time.Duration {
	return time.Duration(activeFraction * float64(EndpointIdleLimit(gapTarget)))
}

// StreamIdleLimit returns how long a stream may receive nothing while its endpoint sends on
// others. target is the latency target, or the gap target once the response has begun.
func StreamIdleLimit(target time.Duration) time.Duration {
	return max(streamIdleFactor*target, minStreamIdle)
}

// Stall describes a request that is waiting for its endpoint.
type Stall struct {
	// Begun is set when the endpoint has sent an event for this request.
	Begun bool
	// Outdated is set when the endpoint's weights are older than those on which a request may
	// still begin.
	Outdated bool
	// LastAttempt is set when the route allows no further attempt.
	LastAttempt bool
	// EndpointIdle is how long the endpoint has sent nothing on any stream.
	EndpointIdle time.Duration
	// EndpointIdleLimit is the limit of EndpointIdle; see the function of that name.
	EndpointIdleLimit time.Duration
	// StreamIdle is how long this request has received nothing.
	StreamIdle time.Duration
	// StreamIdleLimit is the limit of StreamIdle; see the function of that name.
	StreamIdleLimit time.Duration
	// Admitted is set if the request was admitted while the room was short.
	Admitted bool
	// FirstEvent is the time after which the first event was expected, or 0 if that is unknown.
	// TargetLeft is what is left of the latency target, counted from the caller's first try.
	FirstEvent, TargetLeft time.Duration
}

// overdueFactor is the multiple of the expected time to the first event after which a request is
// taken to be queued. Below it, the difference is less than that between two streams of usual
// lengths.
const overdueFactor = 1.25

// OverdueAfter returns the time after which a stream that has not begun is taken to be queued.
// firstEvent is the expected time to its first event.
func OverdueAfter(firstEvent time.Duration) time.Duration {
	return time.Duration(overdueFactor * float64(firstEvent))
}

// BeginsInTime returns whether the first event of a stream, which is expected after the given time,
// arrives within what is left of its latency target.
func BeginsInTime(firstEvent, targetLeft time.Duration) bool {
	return firstEvent > 0 && firstEvent <= targetLeft
}

// queued returns whether the request waits for a slot during a shortage and could still begin in time
// elsewhere.
func (s *Stall) queued() bool {
	return s.Admitted && !s.Begun && BeginsInTime(s.FirstEvent, s.TargetLeft) && s.StreamIdle >= OverdueAfter(s.FirstEvent)
}

// WaitDecision says what to do with a request that is waiting for its endpoint. It is one of
// KeepWaiting, Abandon and Hedge.
type WaitDecision interface {
	wait()
}

// KeepWaiting continues to wait.
type KeepWaiting struct{}

// Abandon ends the attempt, even if no other endpoint is available.
type Abandon struct{}

// Hedge continues to wait and also sends the request to another endpoint, if one has capacity
// now and the retry budget allows it. The first to respond serves the request. The first
// endpoint is not abandoned before that, because the other may refuse, fail or have been taken
// in the meantime.
type Hedge struct {
	// MaxLoad is the load below which the other endpoint must be, in requests per slot; 0 means
	// any.
	MaxLoad float64
	// Vacated is set if a slot at which a request of this gateway has just ended is preferred.
	Vacated bool
}

func (KeepWaiting) wait() {}
func (Abandon) wait()     {}
func (Hedge) wait()       {}

// WaitForStream returns whether a stream keeps waiting for its endpoint. A stream must not begin
// on outdated weights. If the endpoint is idle on all streams, any other endpoint may serve the
// hedge. If it sends on other streams, only one with a free slot may, since the request's position
// in the first endpoint's queue has value. During a shortage gateways that learn late of each other's
// requests choose the same slot; a stream that waits for one then is hedged while it can still begin
// in time.
func WaitForStream(s Stall) WaitDecision {
	switch {
	case !s.Begun && s.Outdated:
		return Abandon{}
	case s.LastAttempt:
		return KeepWaiting{}
	case s.EndpointIdle > s.EndpointIdleLimit:
		return Hedge{}
	case s.queued():
		return Hedge{MaxLoad: hedgeMaxLoad, Vacated: true}
	case s.StreamIdle > s.StreamIdleLimit:
		return Hedge{MaxLoad: hedgeMaxLoad}
	}
	return KeepWaiting{}
}

// WaitForPlain returns whether a repeatable plain request keeps waiting for its endpoint, from
// which it has received nothing for waited. target is its latency target.
func WaitForPlain(waited, target time.Duration, lastAttempt bool) WaitDecision {
	if !lastAttempt && waited > plainWaitFactor*target {
		return Hedge{}
	}
	return KeepWaiting{}
}
