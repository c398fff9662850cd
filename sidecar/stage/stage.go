// Package stage brings weights to the endpoint on this VM: it fetches a version
// chunk by chunk from other VMs and the origin, places the chunks at the endpoint,
// checks there what was placed, and orders the endpoint to load.
//
// It owns the versions that the endpoint should run and the chunks of the last few,
// each under a lock. One goroutine fetches, another places and loads, a third unloads
// weights whose limit comes; of their orders the endpoint takes the first, since each
// names the count of orders on which it rests. It relies on
// the endpoint, the origin, other VMs and the list of members; rules.go has what it
// decides by. Names of the messages in manifest.go are on the wire.
package stage

import (
	"context"
	"fmt"
	"time"

	"github.com/silverdeck/silverdeck/swarm"
	"github.com/silverdeck/silverdeck/weights"
)

// Held is the weights of a model that an endpoint runs.
type Held struct {
	Model   string
	Version int64
	// Whole is set when all layers are held.
	Whole bool
}

// Report is what an endpoint tells of itself.
type Report struct {
	// Born is when the endpoint started, in Unix milliseconds by its clock; 0 where it does
	// not tell. It may start again beside a process that goes on; Sequence then counts anew.
	Born int64
	Held []Held
	// Busy is set while an order is under way.
	Busy bool
	// Sequence rises with each order.
	Sequence int64
	// Running and Queued count requests.
	Running, Queued int
}

// Version returns the version of model that is held whole, or 0.
func (r *Report) Version(model string) int64 {
	for _, h := range r.Held {
		if h.Model == model && h.Whole {
			return h.Version
		}
	}
	return 0
}

// Restarted returns whether the endpoint has started again since before. One that does not
// tell when it started is known by its count of orders, which then begins anew.
func (r *Report) Restarted(before *Report) bool {
	if r.Born != 0 && before.Born != 0 {
		return r.Born != before.Born
	}
	return r.Sequence < before.Sequence
}

// Endpoint is the endpoint on this VM.
type Endpoint interface {
	// Report returns the endpoint's state.
	Report(ctx context.Context) (*Report, error)
	// Place puts chunk i of model where a load finds it.
	Place(ctx context.Context, model string, i int, data []byte) error
	// Placed returns chunk i of model as it lies there, or nil.
	Placed(ctx context.Context, model string, i int) ([]byte, error)
	// Load orders the endpoint to load what was placed as version of model. It
	// returns *OrderError when the endpoint does not take the order.
	Load(ctx context.Context, o Order) error
	// Unload orders the endpoint to hold no weights of a model once what runs there has
	// ended. From the order on it refuses requests that come, as not run. It fails as Load
	// does.
	Unload(ctx context.Context, o Order) error
}

// Order is an order to load weights, or to unload those of a model.
type Order struct {
	Model string
	// Version is the version to load, or that which is to come in an unloaded one's place.
	Version int64
	// Sequence is the endpoint's count of orders at which this one holds.
	Sequence int64
}

// OrderError tells that an endpoint did not take an order.
type OrderError struct {
	Status int
}

// Error names the status.
func (e *OrderError) Error() string {
	return fmt.Sprintf("stage: order refused with status %d", e.Status)
}

// Origin is where weights come from in the first place.
type Origin interface {
	// Manifest returns the digests of a version of model.
	Manifest(ctx context.Context, model string, version int64) (*weights.Manifest, error)
	// Chunk returns chunk i of a version of model, unverified.
	Chunk(ctx context.Context, model string, version int64, i int) ([]byte, error)
	// Rate is the bandwidth of the origin's link in bytes a second, or 0.
	Rate(ctx context.Context) float64
}

// Fleet tells which VMs stage weights for the same service.
type Fleet interface {
	// Members returns them, with this VM.
	Members(ctx context.Context) ([]swarm.Member, error)
	// Pause asks the gateways to send the endpoint nothing for d.
	Pause(ctx context.Context, d time.Duration)
	// Loaded tells the gateways that the endpoint runs a version of model.
	Loaded(ctx context.Context, model string, version int64)
	// Started notes when the endpoint started, as it tells; again says that it had
	// started before: it holds nothing now, which the gateways do not know yet.
	Started(ctx context.Context, born int64, again bool)
	// LeaseLoad asks for a lease on a load of a model, which lasts for d or until the load.
	LeaseLoad(ctx context.Context, model string, d time.Duration) Lease
	// Capacity returns what is known of how the endpoint runs requests.
	Capacity() Capacity
}

// Lease says whether an endpoint may load while others carry its requests.
type Lease struct {
	Given bool
	// Comes is set where it was not given and is to be had later: there is room for it, but for
	// endpoints that load now.
	Comes bool
	// Again is after what time to ask again.
	Again time.Duration
}
