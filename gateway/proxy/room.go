package proxy

import (
	"math"
	"time"
)

// How busy an endpoint may be for a new stream, in requests for each slot.
const (
	// streamRoom is the load above which streams are refused in any case.
	streamRoom = 1.25
	// aimPart is the part of its aim in which an answer should begin by what is
	// known of the engine; the rest is for what is not.
	aimPart = 0.6
)

// room returns the load at which an endpoint is full for the request: where its
// answer would begin too late, it is better told at once to come back. Streams
// with a shorter aim than others of the service wait before those.
func (j *job) room() float64 {
	service := j.config.Services[j.service]
	if service == nil || service.Engine == nil || service.Engine.Slots <= 0 {
		return streamRoom
	}
	within := time.Duration(aimPart * float64(j.config.LongestAim(j.service)))
	queue := math.Floor(service.Engine.QueueWithin(within, j.prompt))
	return min(1+queue/float64(service.Engine.Slots), streamRoom)
}
