package policy

import (
	"net/http"

	"github.com/silverdeck/silverdeck/verdict"
)

// IsIdentified returns whether a response that carries the given IDs names the request requestID. The
// response to a request without an ID has none, and must be the first one on its connection.
func IsIdentified(ids []string, requestID string, firstOnConnection bool) bool {
	ids = stated(ids)
	if requestID == "" {
		return len(ids) == 0 && firstOnConnection
	}
	return len(ids) == 1 && ids[0] == requestID
}

// IsRefusal returns whether a response states that the request was not run.
func IsRefusal(a ResponseHead) bool {
	return a.NotRun || a.Status == http.StatusMisdirectedRequest
}

// DependsOnBody returns whether the meaning of a response depends on how its body ends: a refusal counts
// only if it is whole.
func DependsOnBody(a ResponseHead) bool {
	return IsRefusal(a) && !a.Foreign && faultOf(a) == NoFault && concernsRequest(a)
}

// concernsRequest returns whether a refusal is that of the request: it names the request, or it is from an
// endpoint that was not asked and states its own ID in place of the request's.
func concernsRequest(a ResponseHead) bool {
	return a.Identified || a.Status == http.StatusMisdirectedRequest && isFromOther(a)
}

// checkRefusal returns the failure of an attempt that was refused. A refusal that is not whole or does not
// name the request does not prove that the request was not run.
func checkRefusal(a ResponseHead) *verdict.Error {
	switch {
	case !concernsRequest(a):
		return verdict.NewError(verdict.Unknown{}, CodeUnproven, "refused with %d, without the request's ID", a.Status)
	case a.Ending != EndingWhole:
		return verdict.NewError(verdict.Unknown{}, CodeUnproven, "refused with %d, but %s", a.Status, a.Ending)
	}
	evidence := verdict.Refused{Endpoint: a.Endpoint, RequestID: a.RequestID, Status: a.Status}
	if a.Status == http.StatusMisdirectedRequest {
		return verdict.NewError(evidence, CodeMisdirected, "refused with 421: %s", misdirectedReasons[concludeFromMisdirected(a)])
	}
	return verdict.NewError(evidence, verdict.CodeOverloaded, "refused by the endpoint with %d", a.Status)
}

// misdirectedReasons are the reasons for a 421 in error messages.
var misdirectedReasons = map[Conclusion]string{
	AddressTaken: "another endpoint has the address",
	Unprepared:   "the endpoint lacks the weights, or another one has the address",
}

// isRefusalStatus returns whether endpoints use a status for requests that they did not run.
func isRefusalStatus(status int) bool {
	switch status {
	case http.StatusBadRequest, http.StatusMisdirectedRequest:
		return true
	}
	return impliesNotRun(status)
}
