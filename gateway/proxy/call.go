package proxy

import (
	"slices"
	"sync/atomic"
	"time"

	"github.com/silverdeck/silverdeck/gateway/poison"
	"github.com/silverdeck/silverdeck/gateway/policy"
	"github.com/silverdeck/silverdeck/gateway/upstream"
	"github.com/silverdeck/silverdeck/routes"
	"github.com/silverdeck/silverdeck/verdict"
)

// call is one caller's request on its way, as it was accepted and how far it has
// come.
type call struct {
	id      string
	config  *routes.Config
	route   *routes.Route
	account *routes.Account
	service string
	request *upstream.Request
	// copies is what all copies of the request have in common.
	copies *poison.Request
	// model is the model that the caller names, if any.
	model string
	// promptTokens is how many tokens the engine must read before it answers.
	promptTokens int
	startedAt    time.Time
	// deadline is when the caller or the route gives up.
	deadline time.Time
	// spent is how long the caller has waited since its first try, as far as its patience
	// tells.
	spent time.Duration

	progress
}

// progress is how far a call has come.
type progress struct {
	// attempted are the endpoints that had the request, by ID, in order, current the one
	// that has it or had it last.
	attempted []string
	current   string
	// currentWeights is the version of the model that current held when it got the request.
	currentWeights int64
	// unreached is how many attempts found no connection.
	unreached int
	// hedge is the attempt under way beside the one that is waited for, or nil.
	hedge *hedge
	// watch looks at the endpoint that is waited for; a hedge wakes it.
	watch atomic.Pointer[upstream.Watch]
	// fallback is an endpoint's error answer while another one may give a better one.
	fallback *wholeAnswer
	// trial ends the lease that the request has while it is suspected, or is nil; ends is how
	// many endpoints had ended under it and its copies then.
	trial func()
	ends  int
	// withdrawn is set once the request was quarantined while an endpoint had it.
	withdrawn bool
	// mayHaveRun is set once the request may have run somewhere.
	mayHaveRun bool
	// headSent is set once the answer's head was sent to the caller: the status can't
	// change any more, and the rest must come from where the answer broke off.
	headSent bool
	// lastEventID is the id of the last event that the caller got whole.
	lastEventID string
	// lastEventAt is when the last event came; zero before the first.
	lastEventAt time.Time
	// firstEvent is the time to a stream's first event, longestGap the longest pause
	// after it.
	firstEvent, longestGap time.Duration
	// ended says why there was no further attempt, for the log.
	ended string
}

// Why there was no further attempt, beside the decisions of policy.DecideRetry.
const (
	// endedByAttempts means that the route allows no more.
	endedByAttempts = "no attempts"
	// endedByBudget means that the retry budget was used up.
	endedByBudget = "no budget"
)

// noteAttempt notes that the endpoint with id, which holds a version of the model, has the
// request now.
func (p *progress) noteAttempt(id string, weights int64) {
	p.current, p.currentWeights = id, weights
	if !slices.Contains(p.attempted, id) {
		p.attempted = append(p.attempted, id)
	}
}

// noteFailure takes in what a failed attempt tells.
func (p *progress) noteFailure(e *verdict.Error) {
	if e.Verdict != verdict.NotRun {
		p.mayHaveRun = true
	}
	if e.Code == verdict.CodeUnreachable {
		p.unreached++
	}
}

// reached returns how many endpoints count as having had the request, of n attempts. The
// route bounds to how many it is sent, and what found no connection was not sent.
func (p *progress) reached(n int) int {
	return n - min(p.unreached, maxUnreached)
}

// maxUnreached is how many attempts without a connection do not count. Where endpoints end
// one after the other, a request meets two that have just ended or are tried again: 2 of
// 200 were refused so beside three ends of six endpoints. Each costs a way there and back.
const maxUnreached = 3

// noteEvent measures the pauses of a stream.
func (p *progress) noteEvent(now, startedAt time.Time) {
	if p.lastEventAt.IsZero() {
		p.firstEvent = now.Sub(startedAt)
	} else {
		p.longestGap = max(p.longestGap, now.Sub(p.lastEventAt))
	}
	p.lastEventAt = now
}

// patienceKey returns whose callers usually wait as long as this one.
func (c *call) patienceKey() patienceKey {
	k := patienceKey{route: c.route.Name}
	if c.account != nil {
		k.account = c.account.Name
	}
	return k
}

// late returns whether the caller can't be served in time any more. One that asks for
// the rest of an answer is not late: it waits for the next event only.
func (c *call) late() bool {
	return c.lastEventID == "" && policy.Late(c.spent, c.route.LatencyTarget)
}

// lastAttempt returns whether the route allows no further attempt.
func (c *call) lastAttempt() bool {
	return c.reached(len(c.attempted)) >= c.route.Attempts
}

// purpose returns what a repetition of the request now would be for.
func (c *call) purpose() Purpose {
	if c.headSent {
		return Resume
	}
	return Retry
}

// rank returns the rank by account or route, 0 first.
func (c *call) rank() int {
	if c.account != nil && c.account.Ranked {
		return c.account.Priority
	}
	return c.route.Priority
}

// priority returns the request's priority at endpoints now.
func (c *call) priority() int {
	return policy.Priority(policy.PriorityInputs{
		Rank:          c.rank(),
		Resumed:       c.headSent,
		LongestTarget: c.route.LatencyTarget >= c.config.LongestTarget(c.service),
	})
}

// engine returns what the configuration tells of the service's engines, or nil.
func (c *call) engine() *routes.Engine {
	if s := c.config.Services[c.service]; s != nil {
		return s.Engine
	}
	return nil
}

// prefill returns the time that an engine takes to read the prompt.
func (c *call) prefill() time.Duration {
	if e := c.engine(); e != nil {
		return e.Prefill(float64(c.promptTokens))
	}
	return 0
}

// idleLimit returns for how long this stream may get nothing from an endpoint that
// sends on others.
func (c *call) idleLimit() time.Duration {
	if c.headSent {
		return policy.StreamIdleLimit(c.route.GapTarget)
	}
	return policy.StreamIdleLimit(c.route.LatencyTarget)
}
