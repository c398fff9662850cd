package policy

// lowestPriority is the last priority that endpoints know; 0 goes first. From the
// endpoints' protocol.
const lowestPriority = 9

// ranksPerPriority is how many priorities at endpoints one rank of the
// configuration takes: one for shorter and one for longer latency targets.
const ranksPerPriority = 2

// Urgency is what the priority of a request at endpoints follows from.
type Urgency struct {
	// Rank is that of the client account, or else of the route; 0 goes first.
	Rank int
	// Resumed is set for the rest of an answer that has begun.
	Resumed bool
	// LongestTarget is set when no stream of the service has a longer latency target.
	LongestTarget bool
}

// Priority returns the request's priority at endpoints, 0 first. Of requests with
// the same rank those with shorter targets go first. The rest of an answer that
// has begun goes before all of its rank: its caller already waits for the next
// event.
func Priority(u Urgency) int {
	priority := ranksPerPriority * max(0, u.Rank)
	switch {
	case u.Resumed:
		priority--
	case u.LongestTarget:
		priority++
	}
	return min(max(0, priority), lowestPriority)
}
