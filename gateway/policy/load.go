package policy

import (
	"math"
	"time"

	"github.com/silverdeck/silverdeck/routes"
)

// How busy an endpoint may be for one more stream, in requests for each slot.
const (
	// defaultMaxLoad is the limit where nothing is known of the engine, and the highest in
	// any case: a quarter of a batch may wait.
	defaultMaxLoad = 1.25
	// aimShare is the part of its latency target in which an answer should begin by the
	// engine's figures; the rest is for the network and for what the figures leave out.
	aimShare = 0.6
)

// MaxLoad returns the load, in requests for each slot, at which an endpoint is full
// for a new stream with a prompt of so many tokens. Where its first event would
// come too late, the caller is better refused at once. target is the longest
// latency target of the service's streams, so that all of them are let in up to
// the same load. A nil engine is one of which nothing is known.
func MaxLoad(engine *routes.Engine, target time.Duration, promptTokens int) float64 {
	if engine == nil || engine.Slots <= 0 {
		return defaultMaxLoad
	}
	within := time.Duration(aimShare * float64(target))
	queue := math.Floor(engine.QueueWithin(within, promptTokens))
	return min(1+queue/float64(engine.Slots), defaultMaxLoad)
}

// idleLoad is the load below which another endpoint is worth asking beside a slow one: the
// request begins there without waiting for a slot.
const idleLoad = 0.8
