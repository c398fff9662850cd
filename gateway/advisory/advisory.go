// Package advisory defines the statements that endpoints make about themselves in response
// headers, and the records by which gateways share them. The platform adapter parses the
// headers.
package advisory

import (
	"time"

	"github.com/silverdeck/silverdeck/roster"
)

// Advisory is the information that one response's headers carry about its endpoint.
type Advisory struct {
	// Limit is the declared request rate limit.
	Limit Limit
	// Leaving is set if the endpoint announces that it is shutting down.
	Leaving bool
	// Cold is how long the endpoint remains cold; 0 if it does not say so.
	Cold time.Duration
	// RetryAfter is how long the gateway whose request was refused must send the endpoint no
	// requests; 0 if the endpoint asks for no delay.
	RetryAfter time.Duration
	// Unreadable lists the advisory headers that could not be parsed, as "name: value".
	Unreadable []string
}

// Limit is the limit that an endpoint declares on the rate of requests from all gateways
// together: Unlimited, PerSecond or Unknown.
type Limit interface{ isLimit() }

// Unlimited means that the endpoint declares no limit.
type Unlimited struct{}

// PerSecond is a limit in requests per second, finite and not negative.
type PerSecond float64

// Unknown means that the declared limit could not be parsed.
type Unknown struct{}

func (Unlimited) isLimit() {}
func (PerSecond) isLimit() {}
func (Unknown) isLimit()   {}

// Record is the state of an endpoint's advisories as gateways share it.
type Record struct {
	Endpoint roster.Incarnation
	// Limit is the last declared limit, or Unlimited once the endpoint no longer declares one.
	Limit Limit
	// HeardAt is when a gateway last received Limit from the endpoint itself; zero if no
	// gateway has received a limit.
	HeardAt time.Time
	// ConfirmedAt is when the gateway that holds the endpoint last confirmed that the limit
	// still applies; zero if it never did.
	ConfirmedAt time.Time
	// Leaving is set once the endpoint has announced that it is shutting down.
	Leaving bool
}
