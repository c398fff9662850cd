package policy

import "time"

// Values and bounds of Retry-After.
const (
	// RetryAfterDefault is for failures that may be over at once, such as a refusal by a
	// single endpoint.
	RetryAfterDefault = 300 * time.Millisecond
	// RetryAfterNoConfig is for a gateway without a configuration, which reads one within a
	// second of its start.
	RetryAfterNoConfig = time.Second
	// RetryAfterTrial is for a request of which another copy is on trial. Within a second that
	// copy crashes its endpoint or is answered.
	RetryAfterTrial = time.Second
	// maxShortageRetryAfter is the maximum for callers that find all endpoints full, or none:
	// new endpoints take some seconds to start.
	maxShortageRetryAfter = 2 * time.Second
	// minShortageFraction is the minimum as a fraction of the maximum. Callers that were refused
	// together are spread over the time between.
	minShortageFraction = 0.2
	// waitDivisor limits the wait to a third of the time to the caller's deadline, so that its
	// next attempt still has time.
	waitDivisor = 3
)

// RetryAfterShortage returns when a caller that found no endpoint with capacity should retry.
// draw is a random number in [0, 1).
func RetryAfterShortage(draw float64) time.Duration {
	part := minShortageFraction + (1-minShortageFraction)*draw
	return time.Duration(part * float64(maxShortageRetryAfter))
}

// RetryAfterReopening returns when a caller should retry whose request no endpoint accepts
// before opensIn, as the endpoints have announced. draw is a random number in [0, 1).
func RetryAfterReopening(opensIn time.Duration, draw float64) time.Duration {
	return min(opensIn, maxShortageRetryAfter) + RetryAfterShortage(draw)
}

// LatestReturn returns the latest time at which a caller may be told to retry: a third of the time
// left to its deadline.
func LatestReturn(left time.Duration) time.Duration {
	return left / waitDivisor
}

// LatestReturnToEnd returns the latest time at which a caller may be told to retry so that its request,
// which takes needs, still ends by its deadline. It is negative if even a retry at once would not. It
// answers long answers, which can't end after a wait of a third of the time.
func LatestReturnToEnd(left, needs time.Duration) time.Duration {
	return min(LatestReturn(left), left-needs)
}

// ReturnToEnd returns after, or as much less as it takes for a request that takes needs to end by its
// deadline. A request that can't end anyway returns after that time.
func ReturnToEnd(after, left, needs time.Duration) time.Duration {
	if slack := left - needs; slack > 0 {
		return min(after, slack)
	}
	return after
}

// RetryAfter returns the Retry-After of a request that was not run: wanted, or
// RetryAfterDefault if that is zero, but at most LatestReturn.
func RetryAfter(wanted, left time.Duration) time.Duration {
	if wanted == 0 {
		wanted = RetryAfterDefault
	}
	return min(wanted, max(LatestReturn(left), RetryAfterDefault))
}

// RetryAfterTooLate returns the Retry-After of a request that no endpoint could finish before its
// deadline: all the time left, since it could less before that. It answers callers with little time
// who come back with even less, each time in vain.
func RetryAfterTooLate(left time.Duration) time.Duration {
	return max(left, RetryAfterDefault)
}
