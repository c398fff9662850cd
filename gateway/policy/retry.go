package policy

import (
	"time"

	"github.com/silverdeck/silverdeck/verdict"
)

// Codes of failures that the gateway itself decides on.
const (
	// CodeFull means that all endpoints of the service are at their limit.
	CodeFull verdict.Code = "full"
	// CodeClosed means that all endpoints of the service take no more requests for a while, by
	// what they say in their answers.
	CodeClosed verdict.Code = "closed"
	// CodeMisdirected means that an address belongs to another endpoint now.
	CodeMisdirected verdict.Code = "misdirected"
	// CodeQuarantined means that endpoints ended under the request, or under another copy of
	// it, so that it is sent to none any more.
	CodeQuarantined verdict.Code = "quarantined"
	// CodeOnTrial means that endpoints ended under another copy of the request, and that one
	// more copy is being tried: all others wait for what comes of that.
	CodeOnTrial verdict.Code = "on_trial"
	// CodeTooLarge means that a body is over the configuration's limit.
	CodeTooLarge verdict.Code = "too_large"
)

// minRetryTime is what must be left of a request's time for another attempt: a round trip
// between regions and a short answer.
const minRetryTime = 20 * time.Millisecond

// Retry says whether a request goes to another endpoint after a failed attempt.
type Retry int

// The decisions about a retry.
const (
	// FreeRetry sends it again without taking from the retry budget.
	FreeRetry Retry = iota
	// BudgetedRetry sends it again if the retry budget allows it.
	BudgetedRetry
	// NoTime ends the request with its last failure, since its time is over or its caller
	// gone.
	NoTime
	// AllFull does so since the other endpoints are full as well.
	AllFull
	// NotRepeatable does so since it may have run and must not run twice.
	NotRepeatable
	// Withheld does so since endpoints ended under it.
	Withheld
)

// retryNames are the names in log lines.
var retryNames = map[Retry]string{
	FreeRetry: "free", BudgetedRetry: "budget", NoTime: "no time", AllFull: "all full", NotRepeatable: "not repeatable",
	Withheld: "withheld",
}

// String returns the decision's name.
func (r Retry) String() string {
	return retryNames[r]
}

// Failure is what is known after a failed attempt.
type Failure struct {
	// Code and Verdict tell of the last attempt.
	Code    verdict.Code
	Verdict verdict.Verdict
	// Repeatable is set when the route allows a request to run more than once.
	Repeatable bool
	// Canceled is set when the caller is gone or the request's time is over.
	Canceled bool
	// Left is the time until the request's deadline.
	Left time.Duration
}

// DecideRetry returns whether a request is sent to another endpoint. A request
// that may have run is repeated only where its route allows it. One that reached
// nothing costs no endpoint any work, so it is free; any other repetition counts
// toward the budget, also one that an endpoint refused.
func DecideRetry(f Failure) Retry {
	switch {
	case Withholds(f.Code):
		return Withheld
	case f.Canceled || f.Left < minRetryTime:
		return NoTime
	case f.Code == CodeFull || f.Code == CodeClosed:
		return AllFull
	case f.Verdict != verdict.NotRun && !f.Repeatable:
		return NotRepeatable
	case f.Code == verdict.CodeUnreachable:
		return FreeRetry
	}
	return BudgetedRetry
}

// When an answer that has begun goes on at an endpoint that had it before.
const (
	// ReturnPause is how long it waits before that after a refusal: an endpoint that loads
	// weights takes requests again a moment later, and an event that comes 0.2 s late is
	// still in time.
	ReturnPause = 200 * time.Millisecond
	// returnFactor is how many times the route's attempts there may be with these: twice to
	// each endpoint. Without any return 4 of 373 requests of a soak were cut for want of
	// attempts; more than one to each was not tried.
	returnFactor = 2
)

const (
	// PauseWait is after how long an answer that has begun looks again for an endpoint that
	// takes requests, where the only ones are about to load weights: such a load would cut
	// it once more.
	PauseWait = 100 * time.Millisecond
	// maxPauseWait is for how long it does: a load takes less than that, and callers give
	// streams up after two seconds.
	maxPauseWait = time.Second
)

// AwaitsLoad returns whether an answer that has begun goes on waiting, after so long, for an
// endpoint that loads weights or is about to.
func AwaitsLoad(begun, loading bool, waited time.Duration) bool {
	return begun && loading && waited < maxPauseWait
}

// OpensSoon returns whether an answer that has begun waits for an endpoint that takes requests
// again after d, by its own word; 0 means that there is none.
func OpensSoon(d time.Duration) bool {
	return d > 0 && d <= maxPauseWait
}

// Returns returns whether an answer that has begun may go on, after so many attempts, at an
// endpoint that had it before. maxAttempts is the route's limit of endpoints, last why the
// last attempt failed.
func Returns(attempts, maxAttempts int, last verdict.Code) bool {
	return attempts < returnFactor*maxAttempts && last != verdict.CodeNoEndpoint
}

// ErrorAnswer is an endpoint's complete answer with a status of 500 or above.
type ErrorAnswer struct {
	// Repeatable is set when the route allows a request to run more than once.
	Repeatable bool
	// Attempts were made so far, MaxAttempts are allowed.
	Attempts, MaxAttempts int
	// Left is the time until the request's deadline.
	Left time.Duration
}

// ReplaceErrorAnswer returns whether another attempt may take the place of an
// error answer, which else is passed on as it is.
func ReplaceErrorAnswer(a ErrorAnswer) bool {
	return a.Repeatable && a.Attempts < a.MaxAttempts && a.Left > minRetryTime
}
