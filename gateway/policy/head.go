package policy

import (
	"net/http"

	"github.com/silverdeck/silverdeck/responsehead"
)

// HeadFault is what can't be in the head of one response; see package responsehead.
type HeadFault = responsehead.Fault

// The faults of a head, as in error messages.
const (
	// NoFault means that the head is consistent.
	NoFault = responsehead.NoFault
	// FaultSpliced means that a status line begins inside another line.
	FaultSpliced = responsehead.Spliced
	// FaultRepeated means that a header with a single value occurs more than once.
	FaultRepeated = responsehead.Repeated
	// FaultQuoted means that such a status line may be the request's own, which endpoints echo. It is a fault
	// of a refusal only.
	FaultQuoted HeadFault = "a status line inside another line, as in the request"
	// FaultSignedRefusal means that the endpoint signed what it states not to have run.
	FaultSignedRefusal HeadFault = "a refusal with a signature"
	// FaultRefusalStatus means that the status is not one of a request that was not run.
	FaultRefusalStatus HeadFault = "a refusal with the status of a request that ran"
)

// CheckHead returns the fault of a head that no single response can have. raw is the head as it was received, h its
// headers, and single are the names of headers that occur at most once.
func CheckHead(raw []byte, h http.Header, single ...string) HeadFault {
	if responsehead.ContinuesWithResponse(raw) {
		return FaultSpliced
	}
	return responsehead.Check("", h, single...)
}

// faultOf returns the fault of a head, including those of statements that exclude each other.
func faultOf(a ResponseHead) HeadFault {
	switch {
	case a.Fault == FaultQuoted && !IsRefusal(a):
		return NoFault
	case a.Fault != NoFault || !IsRefusal(a):
		return a.Fault
	case a.Signed:
		return FaultSignedRefusal
	case !isRefusalStatus(a.Status):
		return FaultRefusalStatus
	}
	return NoFault
}
