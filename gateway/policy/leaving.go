package policy

import "time"

// EndsInTime returns whether a request with a deadline is taken by a gateway that was told to
// stop and ends its requests at end. One that might be cut then, after seconds of waiting,
// is better sent to another gateway at once: 26 streams of one soak with streams of 5 s were
// cut 7.7 s after the signal.
func EndsInTime(deadline, end time.Time) bool {
	return !deadline.After(end)
}
