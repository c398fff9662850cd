package policy

import (
	"net/http"

	"github.com/silverdeck/silverdeck/verdict"
)

// AnswerHead is the head of an endpoint's answer.
type AnswerHead struct {
	// Status is the HTTP status.
	Status int
	// NotRun is set when the endpoint says that it did not run the request.
	NotRun bool
	// OtherRequest is set when the answer names another request.
	OtherRequest bool
	// Signed is set when the answer carries the endpoint's signature.
	Signed bool
}

// JudgeAnswer returns why an answer can't be passed on, or nil. Callers must not
// see a status that promises more than is known, nor an answer that is not theirs.
func JudgeAnswer(a AnswerHead) *verdict.Error {
	switch {
	case a.Status == http.StatusMisdirectedRequest:
		return verdict.NewError(verdict.NotRun, CodeMisdirected, "another endpoint has the address")
	case a.NotRun:
		return verdict.NewError(verdict.NotRun, verdict.CodeOverloaded, "refused by the endpoint with %d", a.Status)
	case a.OtherRequest:
		return verdict.NewError(verdict.MayHaveRun, verdict.CodeCrossed, "answer to another request")
	case a.Status < http.StatusMultipleChoices && !a.Signed:
		return verdict.NewError(verdict.MayHaveRun, verdict.CodeCut, "answer without a signature")
	case promisesNotRun(a.Status):
		return verdict.NewError(verdict.MayHaveRun, verdict.CodeEngine, "status %d of the endpoint", a.Status)
	}
	return nil
}

// SpeaksForEndpoint returns whether what an answer says of its endpoint is of the one that was
// asked. A 421 is of another endpoint, and an answer that is due to another request may be.
func SpeaksForEndpoint(a AnswerHead) bool {
	return a.Status != http.StatusMisdirectedRequest && !a.OtherRequest
}

// promisesNotRun returns whether status tells a caller that its request was not
// run, which an endpoint has to say in a header of its own.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// Status returns the HTTP status by which a caller is told of a failure. That a
// request was not run is promised only with a verdict that says so.
func Status(e *verdict.Error) int {
	switch e.Code {
	case verdict.CodeNotFound:
		return http.StatusNotFound
	case verdict.CodeUnauthorized:
		return http.StatusUnauthorized
	case verdict.CodeBadRequest:
		return http.StatusBadRequest
	case CodeTooLarge:
		return http.StatusRequestEntityTooLarge
	}
	if e.Verdict == verdict.NotRun {
		return http.StatusServiceUnavailable
	}
	if e.Code == verdict.CodeDeadline {
		return http.StatusGatewayTimeout
	}
	return http.StatusBadGateway
}
