package policy

import (
	"time"

	"github.com/silverdeck/silverdeck/verdict"
)

// Codes of failures that the gateway itself decides on.
const (
	// CodeFull means that all endpoints of the service are at their load limit.
	CodeFull verdict.Code = "full"
	// CodeNotAdmitted means that the endpoints of the service can't serve all requests, and that
	// this one is not among those that are served.
	CodeNotAdmitted verdict.Code = "not_admitted"
	// CodeClosed means that all endpoints of the service have announced, in response headers,
	// that they accept no more requests for a while.
	CodeClosed verdict.Code = "closed"
	// CodeTooLate means that no endpoint could finish the request before its deadline.
	CodeTooLate verdict.Code = "too_late"
	// CodeGarbled means that an endpoint sent bytes that are no response, or a head that contradicts
	// itself.
	CodeGarbled verdict.Code = "garbled"
	// CodeUnproven means that an endpoint states that it did not run the request, and that its
	// response does not prove it.
	CodeUnproven verdict.Code = "unproven"
	// CodeMisdirected means that the endpoint lacks the weights that the request needs, or that another
	// endpoint has the address.
	CodeMisdirected verdict.Code = "misdirected"
	// CodeQuarantined means that endpoints crashed while processing the request or another
	// copy of it, and that it is no longer sent to any endpoint.
	CodeQuarantined verdict.Code = "quarantined"
	// CodePartQuarantined means that endpoints crashed while processing other requests with a part of
	// the prompt, and that no request with that part is sent to any endpoint.
	CodePartQuarantined verdict.Code = "part_quarantined"
	// CodeOnTrial means that endpoints crashed while processing another copy of the request, or
	// another request with a part of its prompt. One is being tried; all others are withheld until
	// its result is known.
	CodeOnTrial verdict.Code = "on_trial"
	// CodeTooLarge means that the body exceeds the configured limit.
	CodeTooLarge verdict.Code = "too_large"
)

// minRetryTime is the time to the deadline that another attempt requires: a round trip between
// regions and a short response.
const minRetryTime = 20 * time.Millisecond

// RetryDecision says whether a request is sent to another endpoint after a failed attempt.
type RetryDecision int

// The possible decisions.
const (
	// UnbudgetedRetry retries without charging the retry budget.
	UnbudgetedRetry RetryDecision = iota
	// BudgetedRetry retries if the retry budget allows it.
	BudgetedRetry
	// NoTime fails the request because its deadline is too close or its caller is gone.
	NoTime
	// AllFull fails the request because the other endpoints are full as well.
	AllFull
	// NotRepeatable fails the request because it may have run and must not run twice.
	NotRepeatable
	// Withheld fails the request because endpoints crashed while processing it.
	Withheld
)

// retryNames are the names in log lines.
var retryNames = map[RetryDecision]string{
	UnbudgetedRetry: "free", BudgetedRetry: "budget", NoTime: "no time", AllFull: "all full", NotRepeatable: "not repeatable",
	Withheld: "withheld",
}

// String returns the name of the decision in log lines.
func (r RetryDecision) String() string {
	return retryNames[r]
}

// Failure describes the state of a request after a failed attempt.
type Failure struct {
	// Code and Verdict are those of the last attempt.
	Code    verdict.Code
	Verdict verdict.Verdict
	// Repeatable is set when the route allows a request to run more than once.
	Repeatable bool
	// Canceled is set when the caller is gone or the deadline has passed.
	Canceled bool
	// Left is the time until the request's deadline.
	Left time.Duration
}

// DecideRetry returns whether a request is sent to another endpoint. A request that may have
// run is retried only if its route allows that. An attempt that reached no endpoint costs none
// of them any work and is not charged to the retry budget; any other is, including one that an
// endpoint refused.
func DecideRetry(f Failure) RetryDecision {
	switch {
	case IsWithheld(f.Code):
		return Withheld
	case f.Canceled || f.Left < minRetryTime || f.Code == CodeTooLate:
		return NoTime
	case f.Code == CodeFull || f.Code == CodeClosed || f.Code == CodeNotAdmitted:
		return AllFull
	case f.Verdict != verdict.NotRun && !f.Repeatable:
		return NotRepeatable
	case f.Code == verdict.CodeUnreachable:
		return UnbudgetedRetry
	}
	return BudgetedRetry
}

// Limits for resuming a stream at an endpoint that had it before.
const (
	// ReuseDelay is the delay before that if the last endpoint refused the request. An endpoint
	// that is loading weights accepts requests again a moment later, and an event that is 0.2 s
	// late still meets its target.
	ReuseDelay = 200 * time.Millisecond
	// reuseFactor bounds the number of attempts including these, as a multiple of the route's
	// limit: two for each endpoint. Without reuse, 4 of 373 requests in a soak test were cut off
	// because their attempts were used up.
	reuseFactor = 2
)

const (
	// LoadPollInterval is the interval at which a stream that has begun looks for an endpoint
	// to resume at while the only ones available are about to load weights, which would
	// interrupt it again.
	LoadPollInterval = 100 * time.Millisecond
	// maxLoadWait bounds that wait. Loading takes less, and callers abandon a stream after two
	// seconds.
	maxLoadWait = time.Second
)

// WaitsForLoad returns whether a stream that has begun keeps waiting, after the given time, for
// an endpoint that is loading weights or about to.
func WaitsForLoad(begun, loading bool, waited time.Duration) bool {
	return begun && loading && waited < maxLoadWait
}

// ReopensSoon returns whether a stream that has begun waits for an endpoint that has announced
// to accept requests again after d. A d of 0 means that there is none.
func ReopensSoon(d time.Duration) bool {
	return d > 0 && d <= maxLoadWait
}

// MayReuseEndpoint returns whether a stream that has begun may, after the given number of
// attempts, resume at an endpoint that had it before. maxAttempts is the route's limit of
// endpoints, last the failure of the last attempt.
func MayReuseEndpoint(attempts, maxAttempts int, last verdict.Code) bool {
	return attempts < reuseFactor*maxAttempts && last != verdict.CodeNoEndpoint
}

// ErrorResponse describes an endpoint's complete response with a status of 500 or above.
type ErrorResponse struct {
	// Repeatable is set when the route allows a request to run more than once.
	Repeatable bool
	// Attempts is the number of attempts so far, MaxAttempts the route's limit.
	Attempts, MaxAttempts int
	// Left is the time until the request's deadline.
	Left time.Duration
}

// RetriesErrorResponse returns whether the request is retried. Otherwise the error response is
// forwarded unchanged.
func RetriesErrorResponse(a ErrorResponse) bool {
	return a.Repeatable && a.Attempts < a.MaxAttempts && a.Left > minRetryTime
}
