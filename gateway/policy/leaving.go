package policy

import "time"

// EndsInTime returns whether a request with a deadline is taken by a gateway that was told to
// stop and ends its requests at end. One that might be cut then, after seconds of waiting,
// is better sent to another gateway at once.
func EndsInTime(deadline, end time.Time) bool {
	return !deadline.After(end)
}
