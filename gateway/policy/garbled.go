package policy

import (
	"time"

	"github.com/silverdeck/silverdeck/verdict"
)

// Limits of the body of a response without a signature. Endpoints sign what their engines produce; the rest
// are error messages.
const (
	// maxUnsignedBody is the size limit, in bytes.
	maxUnsignedBody = 64 << 10
	// UnsignedBodyTimeout limits the time from the head to the end. It allows for two retransmissions of
	// a segment.
	UnsignedBodyTimeout = time.Second
)

// GarbledError returns the failure of an attempt whose endpoint sent bytes that are no response. cause is
// why they are none.
func GarbledError(cause error) *verdict.Error {
	return verdict.NewError(verdict.Unknown{}, CodeGarbled, "bytes that are no answer").WithCause(cause)
}

// BufferLimit returns how many bytes of a response are read before it is forwarded, of at most limit
// bytes for a response with a signature. A longer one is forwarded as it arrives if it is signed, and
// not at all otherwise: it may have no end.
func BufferLimit(signed bool, limit int64) int64 {
	if signed {
		return limit
	}
	return min(limit, maxUnsignedBody)
}

// UnsignedError returns the failure of an attempt whose response has no signature, and no end within the
// bytes that were read.
func UnsignedError(read int) *verdict.Error {
	return verdict.NewError(verdict.Unknown{}, CodeGarbled, "answer without a signature and without an end, of which %d bytes were read", read)
}

// Limits of the events of a stream whose caller states the maximum length of the answer. A sound endpoint
// sends at most one event for each token, and a few that hold none.
const (
	// eventsPerToken is the number of events that are accepted for each token.
	eventsPerToken = 4
	// extraEvents is the number of events that are accepted beyond.
	extraEvents = 256
)

// ExceedsTokens returns whether a stream has more events than any answer of at most maxTokens tokens; 0
// means that no maximum is stated.
func ExceedsTokens(events, maxTokens int) bool {
	return maxTokens > 0 && events > eventsPerToken*maxTokens+extraEvents
}

// ExcessError returns the failure of an attempt whose stream exceeds the tokens of its request.
func ExcessError(events, maxTokens int) *verdict.Error {
	return verdict.NewError(verdict.Executed{}, CodeGarbled, "stream of %d events for at most %d tokens", events, maxTokens)
}

// Unended describes a response whose end had not arrived by the deadline of its request.
type Unended struct {
	// Bytes is the size of the body as far as it was received.
	Bytes int64
	// HasLength is set if the endpoint stated the length of the body.
	HasLength bool
	// CallerPause is the longest time for which the caller took nothing of what had arrived.
	CallerPause time.Duration
}

// Limits of a response that is longer than its deadline allows.
const (
	// minEndlessBody is the size, in bytes, beyond which a body without a stated length is taken to have
	// no end. Sound answers of that size are rare, and streams are far shorter.
	minEndlessBody = 8 << 20
	// minCallerPause is the pause from which the caller may be why the end did not arrive.
	minCallerPause = 250 * time.Millisecond
)

// IsEndless returns whether a response did not end in time because its endpoint is faulty. Otherwise the
// endpoint may be slow, or its caller.
func IsEndless(u Unended) bool {
	return !u.HasLength && u.Bytes > minEndlessBody && u.CallerPause < minCallerPause
}
