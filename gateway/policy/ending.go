package policy

import (
	"bytes"
	"net/http"

	"github.com/silverdeck/silverdeck/responsehead"
	"github.com/silverdeck/silverdeck/verdict"
)

// Ending is how the body of a response ended.
type Ending int

// Endings of a body.
const (
	// EndingMissing means that the body was cut or did not end in time. It is the zero value.
	EndingMissing Ending = iota
	// EndingWhole means that the body is complete and that nothing follows it.
	EndingWhole
	// EndingFollowed means that other bytes follow the body, or that another response begins in it.
	EndingFollowed
)

// endingNames are the names in error messages.
var endingNames = map[Ending]string{
	EndingMissing: "its end did not arrive", EndingWhole: "whole", EndingFollowed: "other bytes follow",
}

// String returns the name of the ending in error messages.
func (e Ending) String() string {
	return endingNames[e]
}

// Surplus is what stands behind a response.
type Surplus int

// Kinds of surplus.
const (
	// NoSurplus means that nothing has arrived.
	NoSurplus Surplus = iota
	// SurplusAnswer is a second copy of the response, or an answer to another request. It belongs to no request.
	SurplusAnswer
	// SurplusOther may be the rest of the body, or the answer to a request that ran.
	SurplusOther
)

// RefusalEnding returns how the body of a refusal ended, if its end arrived. Another answer that begins in the body or
// the trailer shows that the refusal was broken off.
func RefusalEnding(body []byte, trailer http.Header, s Surplus) Ending {
	if s == SurplusOther || bytes.Contains(body, []byte(responseStart)) || endsInResponse(body) || responsehead.Check("", trailer) != NoFault {
		return EndingFollowed
	}
	return EndingWhole
}

// responseStart is what each response begins with.
const responseStart = "HTTP/"

// endsInResponse returns whether body ends with a part of responseStart. What follows may not have arrived.
func endsInResponse(body []byte) bool {
	for n := 1; n < len(responseStart); n++ {
		if bytes.HasSuffix(body, []byte(responseStart[:n])) {
			return true
		}
	}
	return false
}

// CheckBodyEnd returns why a body that reached its stated length can't be forwarded, or nil. surplus are the bytes
// behind it. An answer that begins in the body and goes on behind it shows that the body was broken off.
func CheckBodyEnd(body, surplus []byte) *verdict.Error {
	if len(surplus) == 0 || !responsehead.BeginsBefore(body, surplus) {
		return nil
	}
	return verdict.NewError(verdict.Unknown{}, CodeGarbled, "another answer begins in the body")
}

// CheckEvents returns how much of events can be forwarded, and why not all of it, or nil. An answer that begins among
// them shows that the stream was broken off.
func CheckEvents(events []byte) (int, *verdict.Error) {
	at := responsehead.IndexInField(events)
	if at < 0 {
		return len(events), nil
	}
	return at, verdict.NewError(verdict.Unknown{}, CodeGarbled, "another answer begins in the stream")
}
