package admission

import (
	"cmp"
	"slices"
	"time"
)

// Limits on waiting for a place.
const (
	// waitFraction is the fraction of its latency target that a request waits at most. The
	// endpoint needs most of the target to begin its response.
	waitFraction = 0.25
	// maxWaiting limits the number of waiting requests of a service.
	maxWaiting = 256
)

// WaitLimit returns how long a request may wait for a place: a part of its latency target, of
// which the given time has already passed since the caller's first try.
func WaitLimit(target, elapsed time.Duration) time.Duration {
	return max(0, time.Duration(waitFraction*float64(target))-elapsed)
}

// ShouldWait returns whether a request waits. ahead is the number of requests that go first,
// freePerSecond the rate at which places come free, limit the result of WaitLimit. A request that
// is not likely to get a place in time is refused at once, so that its caller loses no time.
func ShouldWait(ahead int, freePerSecond float64, limit time.Duration) bool {
	return limit > 0 && ahead < maxWaiting && float64(ahead+1) <= freePerSecond*limit.Seconds()
}

// waiter is a request that waits for a place.
type waiter struct {
	request  *Request
	returned bool
	// late is set if the request goes after all others: its caller can't be served in time any
	// more, or came back before it should.
	late bool
	// exceeds is set if its account sends more than its share.
	exceeds bool
	// elsewhere is set if the request takes a place outside the room.
	elsewhere bool
	sequence  uint64
	// waitingOfAccount is the number of requests of its account that were waiting before it.
	waitingOfAccount int
	until            time.Time
	// done receives the result, once.
	done chan result
}

// before returns whether w goes before v: by rank, then callers that return at the time that they
// were told, then the first request of each account, the second and so on.
func (w *waiter) before(v *waiter) bool {
	return cmp.Or(
		compareBool(w.late || w.exceeds, v.late || v.exceeds),
		cmp.Compare(w.request.Rank, v.request.Rank),
		-compareBool(w.returned, v.returned),
		cmp.Compare(w.waitingOfAccount, v.waitingOfAccount),
		cmp.Compare(w.sequence, v.sequence),
	) < 0
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}

// waitQueue holds waiting requests in the order in which they get places. The zero value is ready
// to use.
type waitQueue struct {
	waiting  []*waiter
	sequence uint64
}

// ahead returns how many waiting requests go before w.
func (q *waitQueue) ahead(w *waiter) int {
	n := 0
	for _, v := range q.waiting {
		if v.before(w) {
			n++
		}
	}
	return n
}

// prepare sets the fields of w that its place in the queue depends on.
func (q *waitQueue) prepare(w *waiter) {
	q.sequence++
	w.sequence = q.sequence
	for _, v := range q.waiting {
		if v.request.Account == w.request.Account {
			w.waitingOfAccount++
		}
	}
}

// add inserts w, which was prepared.
func (q *waitQueue) add(w *waiter) {
	at := q.ahead(w)
	q.waiting = slices.Insert(q.waiting, at, w)
}

// remove removes w and returns whether it was waiting.
func (q *waitQueue) remove(w *waiter) bool {
	at := slices.Index(q.waiting, w)
	if at < 0 {
		return false
	}
	q.waiting = slices.Delete(q.waiting, at, at+1)
	return true
}
