package policy

import (
	"math"
	"time"

	"github.com/silverdeck/silverdeck/routes"
)

// Load limits for one more stream at an endpoint, in requests per slot.
const (
	// defaultMaxLoad is the upper bound, and the limit for engines without known figures: up to
	// a quarter of a batch may be queued.
	defaultMaxLoad = 1.25
	// targetFraction is the fraction of its latency target within which a response should begin
	// according to the engine's figures. The rest covers the network and what the figures do
	// not model.
	targetFraction = 0.6
)

// MaxLoad returns the load, in requests per slot, at which an endpoint is full for a new stream
// with a prompt of promptTokens. Above it the first event would come too late, and the caller
// is better refused at once. target is the longest latency target among the service's
// streams, so that the same limit applies to all of them. engine is nil if its figures are not
// known.
func MaxLoad(engine *routes.Engine, target time.Duration, promptTokens int) float64 {
	if engine == nil || engine.Slots <= 0 {
		return defaultMaxLoad
	}
	within := FirstEventWithin(target)
	queue := math.Floor(engine.MaxQueue(within, promptTokens))
	return min(1+queue/float64(engine.Slots), defaultMaxLoad)
}

// FirstEventWithin returns the time within which the first event of a stream with the given latency
// target should arrive according to the engine's figures.
func FirstEventWithin(target time.Duration) time.Duration {
	return time.Duration(targetFraction * float64(max(target, 0)))
}

// hedgeMaxLoad is the load below which another endpoint is worth a hedge for a slow stream: the
// request starts there without queueing for a slot.
const hedgeMaxLoad = 0.8
