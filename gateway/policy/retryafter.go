package policy

import "time"

// When callers are told to come back.
const (
	// RetrySoon is for failures that may be over at once, such as a refusal by one
	// endpoint.
	RetrySoon = 300 * time.Millisecond
	// RetryNoConfig is for a gateway that has no configuration yet, which reads one within
	// a second of its start.
	RetryNoConfig = time.Second
	// RetryTrial is for a request of which another copy is being tried, which ends its
	// endpoint or gets an answer within a second.
	RetryTrial = time.Second
	// maxShortageRetry is the latest time for callers that find all endpoints full, or
	// none: new endpoints take some seconds.
	maxShortageRetry = 2 * time.Second
	// minShortageRetry is the earliest, as a part of the latest. Callers who were
	// refused together come back spread over the time between. Same table.
	minShortageRetry = 0.2
	// waitDivisor bounds the wait to a third of the time that the caller has left, so that
	// its next attempt still has time.
	waitDivisor = 3
)

// ShortageRetry returns when a caller should come back that found no endpoint with
// capacity. draw is a random number from [0, 1).
func ShortageRetry(draw float64) time.Duration {
	part := minShortageRetry + (1-minShortageRetry)*draw
	return time.Duration(part * float64(maxShortageRetry))
}

// OpeningRetry returns when a caller should come back whose request no endpoint takes before
// so much time has passed, by their own word. draw is a random number from [0, 1).
func OpeningRetry(opensIn time.Duration, draw float64) time.Duration {
	return min(opensIn, maxShortageRetry) + ShortageRetry(draw)
}

// RetryAfter returns what a caller is told whose request was not run: wanted, or
// RetrySoon where that is zero, but at most a third of the time that the caller
// has left.
func RetryAfter(wanted, left time.Duration) time.Duration {
	if wanted == 0 {
		wanted = RetrySoon
	}
	return min(wanted, max(left/waitDivisor, RetrySoon))
}
