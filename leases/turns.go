package leases

import "time"

// maxPacedInterval is the longest interval between the requests of endpoints whose turn has come. At
// longer ones, leases would be granted too late for an even pace.
const maxPacedInterval = 500 * time.Millisecond

// large returns whether so many endpoints may wait that they ask in turn.
func (p *Pace) large() bool {
	return RetryAfter(p.Endpoints) >= maxPacedInterval
}

// nextRequest returns when the endpoint of c requests a lease again if it is refused, and whether that
// follows from its place among those that wait. In a large fleet, the owner would receive too many
// requests if all that wait asked at short intervals: only those whose turn is near do. The others ask
// when it is, given that all change at an even pace.
func nextRequest(c Change, p Pace, drain time.Duration, waiting []Waiter) (in time.Duration, turn bool) {
	if !p.large() {
		return RetryAfter(p.Pending), false
	}
	return max(dueInterval(waiting), turnOf(c, p, drain, waiting)), true
}

// dueInterval returns the interval between the requests of endpoints that were refused when their turn
// came. They make half of the requests that the owner may receive, since those whose turn comes ask
// as well.
func dueInterval(waiting []Waiter) time.Duration {
	return RetryAfter(2 * (due(waiting) + 1))
}

// turnOf returns the time until the turn of the endpoint of c. Changes begin at once or, if a newer
// version is awaited, when it comes or the drains for it begin.
func turnOf(c Change, p Pace, drain time.Duration, waiting []Waiter) time.Duration {
	first := time.Duration(0)
	switch {
	case !p.awaitsNewer():
	case p.DrainsAhead:
		first = max(p.NewerIn-drain, 0)
	default:
		first = p.NewerIn
	}
	place := float64(place(c, waiting)) / float64(len(waiting)+1)
	return first + time.Duration(place*float64(max(p.left()-first, 0)))
}

// place returns how many of the endpoints that wait have their turn before that of c.
func place(c Change, waiting []Waiter) int {
	n := 0
	for _, w := range waiting {
		if w.Running < c.Running || w.Running == c.Running && w.VM < c.VM {
			n++
		}
	}
	return n
}

// due returns how many of the endpoints that wait ask again within a second.
func due(waiting []Waiter) int {
	n := 0
	for _, w := range waiting {
		if w.AsksIn <= time.Second {
			n++
		}
	}
	return n
}

// preceding returns how many of the endpoints that wait run fewer than n requests. In a large fleet,
// those that ask again only later are not waited for.
func preceding(p Pace, waiting []Waiter, n int) int {
	less := 0
	for _, w := range waiting {
		if w.Running < n && (!p.large() || w.AsksIn <= minRetryInterval) {
			less++
		}
	}
	return less
}
