package balance

import (
	"fmt"
	"time"

	"github.com/silverdeck/silverdeck/roster"
)

// FullError reports that all endpoints of a service that may take the request are at their
// limit.
type FullError struct {
	Service string
	// OpensIn is the time until the first endpoint accepts requests again, if all eligible
	// endpoints have a rate limit, asked for a back-off or lack weights; 0 if another endpoint
	// is merely full.
	OpensIn time.Duration
	// TokenFrom is an endpoint with a rate limit whose holder can be asked for a token, if
	// there is one.
	TokenFrom roster.Incarnation
}

// Error implements error.
func (e *FullError) Error() string {
	return fmt.Sprintf("balance: all endpoints of %s are full", e.Service)
}

// DeadlineError reports that a stream would be cut off by its deadline at each endpoint that may take
// it, even if its answer were much shorter than expected.
type DeadlineError struct {
	Service string
}

// Error implements error.
func (e *DeadlineError) Error() string {
	return fmt.Sprintf("balance: no endpoint of %s would finish in time", e.Service)
}

// NoEndpointError reports that no endpoint of a service is eligible for the request.
type NoEndpointError struct {
	Service string
	// Loading is set if an endpoint that the request may use is paused: it accepts requests
	// again once it has loaded weights.
	Loading bool
}

// Error implements error.
func (e *NoEndpointError) Error() string {
	return fmt.Sprintf("balance: no endpoint of %s", e.Service)
}
