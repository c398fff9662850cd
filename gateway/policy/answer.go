package policy

import (
	"net/http"
	"slices"

	"github.com/silverdeck/silverdeck/verdict"
)

// ResponseHead describes the head of an endpoint's response.
type ResponseHead struct {
	// Endpoint is the ID of the endpoint that was sent the request, RequestID that of the request.
	Endpoint, RequestID string
	// Status is the HTTP status.
	Status int
	// NotRun is set when the endpoint states that it did not run the request.
	NotRun bool
	// Foreign is set when the response does not belong to the request; see IsForeign.
	Foreign bool
	// Identified is set when the response names the request; see IsIdentified.
	Identified bool
	// AnsweredBy is the ID of the endpoint that answered, if that is stated.
	AnsweredBy string
	// Signed is set when the response carries the endpoint's signature.
	Signed bool
	// Fault is what can't be in the head of one response, or NoFault.
	Fault HeadFault
	// Ending is how the body ended. Only that of a refusal is considered.
	Ending Ending
}

// IsForeign returns whether a response that carries the given IDs belongs to another request than
// requestID. An endpoint may send a second answer to an earlier request on a connection, in the place
// where the next one is due. A response without an ID can only belong to the request if that is the
// first one on its connection. More than one ID is a fault of the head, and names no request.
func IsForeign(ids []string, requestID string, firstOnConnection bool) bool {
	ids = stated(ids)
	switch len(ids) {
	case 0:
		return !firstOnConnection
	case 1:
		return ids[0] != requestID
	}
	return false
}

// stated returns the IDs that are not empty. An endpoint may echo the missing ID of a request as an empty one.
func stated(ids []string) []string {
	return slices.DeleteFunc(slices.Clone(ids), func(id string) bool { return id == "" })
}

// CheckResponse returns the reason why a response can't be forwarded, or nil. A caller must
// not receive a status that promises more than is known, nor a response to another request, which
// proves nothing about this one, whatever its status.
func CheckResponse(a ResponseHead) *verdict.Error {
	switch {
	case a.Foreign:
		return verdict.NewError(verdict.Unknown{}, verdict.CodeCrossed, "answer to another request")
	case faultOf(a) != NoFault:
		return verdict.NewError(verdict.Unknown{}, CodeGarbled, "answer with status %d that contradicts itself: %s", a.Status, faultOf(a))
	case IsRefusal(a):
		return checkRefusal(a)
	case a.Status < http.StatusMultipleChoices && !a.Signed:
		return verdict.NewError(verdict.Unknown{}, verdict.CodeCut, "answer without a signature")
	case impliesNotRun(a.Status):
		return verdict.NewError(verdict.Unknown{}, verdict.CodeEngine, "status %d of the endpoint", a.Status)
	}
	return nil
}

// IsFromEndpoint returns whether the advisory headers of a response describe the endpoint that
// the request was sent to. A 421 that does not name that endpoint may come from another one, as may a response
// that does not name the request, and a head that contradicts itself has parts of several responses. A refusal
// must be proven, and a success signed.
func IsFromEndpoint(a ResponseHead) bool {
	switch {
	case a.Foreign || !a.Identified || faultOf(a) != NoFault:
		return false
	case a.Status == http.StatusMisdirectedRequest && a.AnsweredBy != a.Endpoint:
		return false
	case IsRefusal(a):
		return a.Ending == EndingWhole
	}
	return a.Signed || a.Status >= http.StatusMultipleChoices
}

// impliesNotRun returns whether callers read a status as "the request was not run". An
// endpoint must state that in a separate header; the status alone does not prove it.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// Status returns the HTTP status that a caller receives for a failure. A status that implies
// that the request was not run requires the verdict NotRun.
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
	if e.Verdict() == verdict.NotRun {
		return http.StatusServiceUnavailable
	}
	if e.Code == verdict.CodeDeadline {
		return http.StatusGatewayTimeout
	}
	return http.StatusBadGateway
}
