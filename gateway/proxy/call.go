package proxy

import (
	"slices"
	"sync/atomic"
	"time"

	"github.com/silverdeck/silverdeck/gateway/admission"
	"github.com/silverdeck/silverdeck/gateway/poison"
	"github.com/silverdeck/silverdeck/gateway/policy"
	"github.com/silverdeck/silverdeck/gateway/residency"
	"github.com/silverdeck/silverdeck/gateway/upstream"
	"github.com/silverdeck/silverdeck/gateway/work"
	"github.com/silverdeck/silverdeck/routes"
	"github.com/silverdeck/silverdeck/verdict"
)

// call is the state of one caller's request: what was accepted and how far it has progressed.
type call struct {
	id      string
	config  *routes.Config
	route   *routes.Route
	account *routes.Account
	service string
	// http10 is set if the caller does not know chunks.
	http10 bool
	// resetOnExit sets whether the caller's connection is reset if this process is killed.
	resetOnExit func(on bool)
	// regions are the regions in which the request may be processed.
	regions residency.Regions
	// held is the memory that the bodies of the request and of its response take.
	held    reservation
	request *upstream.Request
	// suspects are what may be the cause if an endpoint crashes: the request together with all copies
	// of it, for example retries by its caller or the same request through other gateways, and the
	// parts of its prompt that other requests may share.
	suspects poison.Suspects
	// model is the model named by the caller, if any.
	model string
	// promptTokens is the number of tokens that the engine must process before it can respond.
	promptTokens int
	// maxAnswerTokens is the number of tokens at which the answer is cut off, answerHint the
	// caller's guess of its length; 0 if not stated.
	maxAnswerTokens, answerHint int
	startedAt                   time.Time
	// deadline is the earlier of the caller's deadline and the route's timeout.
	deadline time.Time
	// elapsed is the estimated time since the caller's first try, see timeoutTracker.
	elapsed time.Duration

	progress
}

// progress is how far a call has progressed.
type progress struct {
	// attempted lists the IDs of the endpoints that were sent the request, in order. current is
	// the one that has it now or had it last.
	attempted []string
	current   string
	// currentWeights is the version of the model that current held when it was sent the request.
	currentWeights int64
	// unconnected counts attempts for which no connection could be opened.
	unconnected int
	// hedge is the concurrent attempt at another endpoint, or nil.
	hedge *hedge
	// watch monitors the endpoint that the call is waiting for. A hedge wakes it.
	watch atomic.Pointer[upstream.Watchdog]
	// fallback is an endpoint's error response, kept while another endpoint may give a better
	// one.
	fallback *bufferedResponse
	// releaseTrials releases the leases held while the request is on trial, by their keys. crashCount
	// is the number of endpoints that had crashed under one of its suspects when it was admitted.
	releaseTrials map[poison.Key]func()
	// grant is the admission of the request, or nil before; see acquireGrant.
	grant      *admission.Grant
	crashCount int
	// crashedOnTrial is set if an endpoint crashed while the request was on trial because of a part of
	// its prompt.
	crashedOnTrial bool
	// completedAt is when the response ended, if the endpoint is known to have survived it.
	completedAt time.Time
	// withdrawn is set if the request was quarantined while an endpoint had it.
	withdrawn bool
	// unproven counts the endpoints that were sent the request without proof so far that they did not
	// run it.
	unproven int
	// headSent is set once the response head was sent to the caller. From then on the status is
	// fixed, and another endpoint must resume the response where it broke off.
	headSent bool
	// passedThrough is set once a part of a response was sent that no other endpoint can continue:
	// one that is forwarded as it arrives, or a stream with more events than an answer has.
	passedThrough bool
	// lastEventID is the ID of the last event that was forwarded completely.
	lastEventID string
	// lastEventAt is when the last event arrived, or zero before the first.
	lastEventAt time.Time
	// events counts the parts of a stream that arrived, each of which holds at least an event.
	events int
	// firstEvent is the time to the first event of a stream, longestGap the longest pause
	// between later events.
	firstEvent, longestGap time.Duration
	// received describes the body of the last response, and callerFraming how the response was
	// framed to the caller.
	received      receivedBody
	callerFraming upstream.Framing
	// noRetryReason states why there was no further attempt, for the log.
	noRetryReason string
}

// Reasons for not retrying that do not come from policy.DecideRetry.
const (
	// noRetryAttempts means that the route allows no more attempts.
	noRetryAttempts = "no attempts"
	// noRetryPassedThrough means that a part of a response was sent to the caller that no other endpoint
	// can continue.
	noRetryPassedThrough = "passed through"
	// noRetryBudget means that the retry budget was exhausted.
	noRetryBudget = "no budget"
)

// recordSend records that the request is sent to an endpoint. It may have run from then on, until
// recordFailure is told otherwise.
func (p *progress) recordSend() {
	p.unproven++
}

// mayHaveRun reports whether the request may have run on any endpoint.
func (p *progress) mayHaveRun() bool {
	return p.unproven > 0
}

// recordAttempt records that the endpoint id, which holds the given version of the model, has
// the request now.
func (p *progress) recordAttempt(id string, weights int64) {
	p.current, p.currentWeights = id, weights
	if !slices.Contains(p.attempted, id) {
		p.attempted = append(p.attempted, id)
	}
}

// recordFailure updates the progress after a failed attempt.
func (p *progress) recordFailure(e *verdict.Error) {
	if e.Verdict() == verdict.NotRun {
		p.unproven--
	}
	if e.Code == verdict.CodeUnreachable {
		p.unconnected++
	}
}

// countedAttempts returns how many of n attempts count towards the route's limit. The limit is
// on the number of endpoints that were sent the request, and an attempt without a connection
// sent nothing.
func (p *progress) countedAttempts(n int) int {
	return n - min(p.unconnected, maxUncountedAttempts)
}

// maxUncountedAttempts is how many attempts without a connection are not counted. When endpoints
// crash one after another, a request can meet two that have just crashed or are being tried again:
// with three of six endpoints ending, 2 of 200 requests failed that way. Each such attempt costs
// one network round trip.
const maxUncountedAttempts = 3

// recordEvent measures the pauses between events of a stream.
func (p *progress) recordEvent(now, startedAt time.Time) {
	if p.lastEventAt.IsZero() {
		p.firstEvent = now.Sub(startedAt)
	} else {
		p.longestGap = max(p.longestGap, now.Sub(p.lastEventAt))
	}
	p.lastEventAt = now
	p.events++
}

// timeoutKey returns the group of callers that are expected to use the same timeout.
func (c *call) timeoutKey() timeoutKey {
	k := timeoutKey{route: c.route.Name}
	if c.account != nil {
		k.account = c.account.Name
	}
	return k
}

// late reports whether the caller can no longer be served within the latency target. A caller
// that resumes a response is never late, because it waits only for the next event.
func (c *call) late() bool {
	return c.lastEventID == "" && policy.Late(c.elapsed, c.route.LatencyTarget)
}

// waitLimit returns how long the call may wait at this gateway for an endpoint that opens. A response
// that has begun waits by other rules; see pickOrAwaitLoad.
func (c *call) waitLimit() time.Duration {
	if c.headSent {
		return 0
	}
	return admission.WaitLimit(c.route.LatencyTarget, c.elapsed+time.Since(c.startedAt))
}

// targetLeft returns what is left of the latency target, counted from the caller's first try, or 0
// once the response has begun.
func (c *call) targetLeft(now time.Time) time.Duration {
	if c.lastEventID != "" {
		return 0
	}
	return max(0, c.route.LatencyTarget-c.elapsed-now.Sub(c.startedAt))
}

// lastAttempt reports whether the route allows no further attempt.
func (c *call) lastAttempt() bool {
	return c.countedAttempts(len(c.attempted)) >= c.route.Attempts
}

// purpose returns the purpose that a retry at this point has for the retry budget.
func (c *call) purpose() Purpose {
	if c.headSent {
		return Resume
	}
	return Retry
}

// rank returns the priority rank of the account or else of the route; 0 is the highest.
func (c *call) rank() int {
	if c.account != nil && c.account.Ranked {
		return c.account.Priority
	}
	return c.route.Priority
}

// priority returns the current priority of the request at endpoints.
func (c *call) priority() int {
	return policy.Priority(policy.PriorityInputs{
		Rank:          c.rank(),
		Resumed:       c.headSent,
		LongestTarget: c.route.LatencyTarget >= c.config.LongestTarget(c.service),
	})
}

// engine returns the configured properties of the service's engines, or nil.
func (c *call) engine() *routes.Engine {
	if s := c.config.Services[c.service]; s != nil {
		return s.Engine
	}
	return nil
}

// prefill returns the time that an engine needs to process the prompt.
func (c *call) prefill() time.Duration {
	if e := c.engine(); e != nil {
		return e.Prefill(float64(c.promptTokens))
	}
	return 0
}

// tokens returns the expected lengths of the prompt and the answer.
func (c *call) tokens() work.Tokens {
	stated := work.Stated{Prompt: c.promptTokens, MaxAnswer: c.maxAnswerTokens, Hint: c.answerHint}
	return stated.Lengths(c.engine())
}

// work returns the work that is left of the stream, with its time limits. A response that has begun
// is not refused for want of time: what the caller has would be lost.
func (c *call) work(now time.Time) work.Stream {
	w := work.StreamOf(c.engine(), c.tokens())
	w.Left = c.deadline.Sub(now)
	if c.headSent || c.lastEventID != "" {
		w.Events, w.MinEvents = max(w.Events-float64(c.events), 1), 0
		return w
	}
	w.FirstWithin = policy.FirstEventWithin(c.route.LatencyTarget - now.Sub(c.startedAt))
	return w
}

// idleLimit returns how long this stream may receive nothing from an endpoint that is sending on
// other streams.
func (c *call) idleLimit() time.Duration {
	if c.headSent {
		return policy.StreamIdleLimit(c.route.GapTarget)
	}
	return policy.StreamIdleLimit(c.route.LatencyTarget)
}
