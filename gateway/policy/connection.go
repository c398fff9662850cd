package policy

// Send describes the sending of a request to an endpoint.
type Send struct {
	// HasID is set when the request has an ID, by which answers to others are told.
	HasID bool
	// Repeatable is set when the route allows a request to run more than once.
	Repeatable bool
	// Attempts is the number of endpoints that had the request before. Again is set when this one did.
	Attempts int
	Again    bool
}

// NeedsNewConnection returns whether a request must not be sent on a connection that others used. The ID
// does not tell its answer from a second answer to an earlier attempt at the same endpoint. And a retry of
// a request that may run only once must not be lost to a connection that was about to be closed.
func NeedsNewConnection(s Send) bool {
	return !s.HasID || s.Again || !s.Repeatable && s.Attempts > 0
}
