package verdict

import (
	"errors"
	"fmt"
	"net/http"
	"time"
)

// Code names the reason for which a request failed.
type Code string

// The reasons that callers and operators see.
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

// Error is the outcome of a request that got no whole answer.
type Error struct {
	// Verdict says whether the request may have run.
	Verdict Verdict
	// Code is the reason.
	Code Code
	// Detail is a sentence for people.
	Detail string
	// RetryAfter tells the caller when to come back; zero when coming back is useless.
	RetryAfter time.Duration
	// Err is the cause, if any.
	Err error
}

// NewError returns an Error without a cause.
func NewError(v Verdict, code Code, format string, args ...any) *Error {
	return &Error{Verdict: v, Code: code, Detail: fmt.Sprintf(format, args...)}
}

// Error returns the code, the detail, the verdict and the cause in one line.
func (e *Error) Error() string {
	s := fmt.Sprintf("%s: %s (%s)", e.Code, e.Detail, e.Verdict)
	if e.Err != nil {
		s += ": " + e.Err.Error()
	}
	return s
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Err
}

// After returns e with a time to come back.
func (e *Error) After(d time.Duration) *Error {
	e.RetryAfter = d
	return e
}

// Because returns e with its cause.
func (e *Error) Because(err error) *Error {
	e.Err = err
	return e
}

// From returns err as an *Error. An error of another type may have run.
func From(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return NewError(MayHaveRun, CodeEngine, "unexpected failure").Because(err)
}

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

// Status returns the HTTP status that carries e.
func (e *Error) Status() int {
	if s, ok := statuses[e.Code]; ok {
		return s
	}
	return http.StatusInternalServerError
}
