package policy

// lowestPriority is the last priority in the endpoints' protocol; 0 is the highest.
const lowestPriority = 9

// prioritiesPerRank is the number of endpoint priorities that one rank of the configuration
// maps to: one for shorter and one for longer latency targets.
const prioritiesPerRank = 2

// PriorityInputs are the inputs of Priority.
type PriorityInputs struct {
	// Rank is that of the client account, or else of the route; 0 is the highest.
	Rank int
	// Resumed is set when the request continues a response that has begun.
	Resumed bool
	// LongestTarget is set when no stream of the service has a longer latency target.
	LongestTarget bool
}

// Priority returns the priority that a request has at endpoints, 0 being the highest. Within a
// rank, shorter latency targets go first. A resumed stream precedes all others of its rank,
// because its caller is already waiting for the next event.
func Priority(u PriorityInputs) int {
	priority := prioritiesPerRank * max(0, u.Rank)
	switch {
	case u.Resumed:
		priority--
	case u.LongestTarget:
		priority++
	}
	return min(max(0, priority), lowestPriority)
}
