package verdict

import (
	"errors"
	"fmt"
	"net/http"
	"time"
)

// Code is the reason why a request failed.
type Code string

// Codes reported to callers and operators.
const (
	CodeBadRequest   Code = "bad_request"
	CodeUnauthorized Code = "unauthorized"
	CodeNotFound     Code = "not_found"
	CodeNoEndpoint   Code = "no_endpoint"
	CodeOverloaded   Code = "overloaded"
	CodeLeaving      Code = "leaving"
	CodeDeadline     Code = "deadline"
	CodeUnreachable  Code = "unreachable"
	CodeCut          Code = "cut"
	CodeCrossed      Code = "crossed"
	CodeDuplicate    Code = "duplicate"
	CodeStaleTicket  Code = "stale_ticket"
	CodeEngine       Code = "engine"
	CodeCanceled     Code = "canceled"
)

// Error is the outcome of a request that did not receive a complete answer.
type Error struct {
	// Evidence is what Verdict rests on; nil is Unknown.
	Evidence Evidence
	Code     Code
	// Detail is a human-readable description.
	Detail string
	// RetryAfter is the delay before the caller should retry; zero if a retry is of no use.
	RetryAfter time.Duration
	// Err is the cause, if any.
	Err error
}

// NewError returns an Error without a cause; its detail is formatted as by fmt.Sprintf.
func NewError(evidence Evidence, code Code, format string, args ...any) *Error {
	return &Error{Evidence: evidence, Code: code, Detail: fmt.Sprintf(format, args...)}
}

// Verdict returns whether the request may have run.
func (e *Error) Verdict() Verdict {
	if e.Evidence == nil {
		return MayHaveRun
	}
	return e.Evidence.Verdict()
}

// Error returns the code, detail, verdict and cause on one line.
func (e *Error) Error() string {
	s := fmt.Sprintf("%s: %s (%s)", e.Code, e.Detail, e.Verdict())
	if e.Err != nil {
		s += ": " + e.Err.Error()
	}
	return s
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Err
}

// WithRetryAfter sets RetryAfter and returns e.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	e.RetryAfter = d
	return e
}

// WithCause sets the cause and returns e.
func (e *Error) WithCause(err error) *Error {
	e.Err = err
	return e
}

// From returns the *Error in the chain of err. For any other error it returns one that says
// that the request may have run.
func From(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return NewError(Unknown{}, CodeEngine, "unexpected failure").WithCause(err)
}

// statuses maps each code to its HTTP status. 499 is the non-standard status for a request that
// the client closed.
var statuses = map[Code]int{
	CodeBadRequest:   http.StatusBadRequest,
	CodeUnauthorized: http.StatusUnauthorized,
	CodeNotFound:     http.StatusNotFound,
	CodeNoEndpoint:   http.StatusServiceUnavailable,
	CodeOverloaded:   http.StatusTooManyRequests,
	CodeLeaving:      http.StatusServiceUnavailable,
	CodeDeadline:     http.StatusGatewayTimeout,
	CodeUnreachable:  http.StatusBadGateway,
	CodeCut:          http.StatusBadGateway,
	CodeCrossed:      http.StatusBadGateway,
	CodeDuplicate:    http.StatusConflict,
	CodeStaleTicket:  http.StatusConflict,
	CodeEngine:       http.StatusBadGateway,
	CodeCanceled:     499,
}

// Status returns the HTTP status with which e is answered.
func (e *Error) Status() int {
	if s, ok := statuses[e.Code]; ok {
		return s
	}
	return http.StatusInternalServerError
}
