// Package advisory has what endpoints say of themselves in the heads of their answers, and what
// gateways tell each other of it. The platform's adapter reads it from the wire.
package advisory

import (
	"time"

	"github.com/silverdeck/silverdeck/roster"
)

// Advisory is what the head of one answer says of the endpoint that gave it.
type Advisory struct {
	// Limit is what it says of the rate of requests.
	Limit Limit
	// Leaving is set when the endpoint says that it leaves.
	Leaving bool
	// Rest is for how long it wants no request of the gateway that it refused one; 0 for none.
	Rest time.Duration
	// Unreadable are the headers of these that could not be read, as name and value.
	Unreadable []string
}

// Limit is what an answer says of the rate of requests that its endpoint takes of all
// gateways together: Unlimited, PerSecond or Unknown.
type Limit interface{ isLimit() }

// Unlimited says that the endpoint names no limit.
type Unlimited struct{}

// PerSecond is a limit in requests a second, finite and not negative.
type PerSecond float64

// Unknown says nothing: what the endpoint named could not be read.
type Unknown struct{}

func (Unlimited) isLimit() {}
func (PerSecond) isLimit() {}
func (Unknown) isLimit()   {}

// Record is what gateways tell each other of an endpoint's answers.
type Record struct {
	Endpoint roster.Incarnation
	// Limit is the limit that it named, or Unlimited once it names none any more.
	Limit Limit
	// HeardAt is when a gateway last heard that from the endpoint itself; zero if none heard
	// of a limit.
	HeardAt time.Time
	// ConfirmedAt is when the gateway that holds the endpoint last told that the limit
	// stands; zero if it never did.
	ConfirmedAt time.Time
	// Leaving is set once it said that it leaves.
	Leaving bool
}
