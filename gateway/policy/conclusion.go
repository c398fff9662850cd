package policy

import (
	"time"

	"github.com/silverdeck/silverdeck/verdict"
)

// Conclusion is what the head of a response shows about the endpoint that the request was sent to.
type Conclusion int

const (
	// NoConclusion means that the response shows nothing, or that its advisory headers say all.
	NoConclusion Conclusion = iota
	// Busy means that the endpoint has no place for the request.
	Busy
	// Unprepared means that the endpoint can't serve the request with the weights that it has now. It can
	// once it has loaded others.
	Unprepared
	// AddressTaken means that another endpoint, which names itself, has the address.
	AddressTaken
	// Faulty means that the response is an error, or not what an endpoint may send.
	Faulty
)

// ConcludeFromHead returns what the head of a response shows about the endpoint. backoff is how long the
// endpoint asks for no requests. Only another endpoint's ID proves that it has the address: endpoints answer
// 421 as well while they load weights.
func ConcludeFromHead(a ResponseHead, backoff time.Duration) Conclusion {
	failure := CheckResponse(a)
	if failure == nil || a.Fault == FaultQuoted {
		return NoConclusion
	}
	switch failure.Code {
	case verdict.CodeCrossed:
		return NoConclusion
	case CodeMisdirected:
		return concludeFromMisdirected(a)
	case verdict.CodeOverloaded:
		if backoff > 0 {
			return NoConclusion
		}
		return Busy
	}
	return Faulty
}

func concludeFromMisdirected(a ResponseHead) Conclusion {
	if isFromOther(a) {
		return AddressTaken
	}
	return Unprepared
}

// isFromOther returns whether a response states that another endpoint sent it.
func isFromOther(a ResponseHead) bool {
	return a.AnsweredBy != "" && a.AnsweredBy != a.Endpoint
}
