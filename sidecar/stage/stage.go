// Package stage keeps the weights of the endpoint on this VM up to date. It downloads a
// version in chunks from other VMs and the origin, writes the chunks to the endpoint's
// staging area, verifies them there, and orders the endpoint to load them.
//
// A Stager tracks the target versions and keeps the chunk sets of the most recent ones;
// each is guarded by a mutex. Three goroutines run concurrently: one downloads, one
// stages and loads, and one unloads weights that reach their expiry. An order carries the
// sequence number it is based on, so that the endpoint accepts only the first of two
// conflicting orders. The package depends on the endpoint, the origin, other VMs and the
// member list. The decision rules are in rules.go and switch.go. The message names in
// manifest.go are part of the wire protocol.
package stage

import (
	"context"
	"fmt"
	"time"

	"github.com/silverdeck/silverdeck/swarm"
	"github.com/silverdeck/silverdeck/weights"
)

// LoadedWeights describes the weights of a model that an endpoint has loaded.
type LoadedWeights struct {
	Model   string
	Version int64
	// Complete is set when all layers are loaded.
	Complete bool
}

// Report is the state that an endpoint reports.
type Report struct {
	// StartMillis is the endpoint's start time by its own clock, in Unix milliseconds; 0 if
	// it is not reported. The endpoint may restart independently of this process; Sequence
	// then starts over.
	StartMillis int64
	Loaded      []LoadedWeights
	// Busy is set while an order is in progress.
	Busy bool
	// Sequence increases with each order.
	Sequence int64
	// Running and Queued are numbers of requests.
	Running, Queued int
	// Pace is the factor by which the endpoint is slower than its engine's figures; 0 if it is
	// not reported.
	Pace float64
}

// Version returns the version of model that is loaded completely, or 0.
func (r *Report) Version(model string) int64 {
	for _, h := range r.Loaded {
		if h.Model == model && h.Complete {
			return h.Version
		}
	}
	return 0
}

// Restarted returns whether the endpoint has restarted since before was reported. An
// endpoint that does not report its start time is recognized by a lower sequence number.
func (r *Report) Restarted(before *Report) bool {
	if r.StartMillis != 0 && before.StartMillis != 0 {
		return r.StartMillis != before.StartMillis
	}
	return r.Sequence < before.Sequence
}

// Endpoint is a client for the endpoint on this VM.
type Endpoint interface {
	// Report returns the endpoint's state.
	Report(ctx context.Context) (*Report, error)
	// Place writes chunk i of model to the endpoint's staging area.
	Place(ctx context.Context, model string, i int, data []byte) error
	// Placed reads chunk i of model back from the staging area. It returns nil if the chunk
	// is missing.
	Placed(ctx context.Context, model string, i int) ([]byte, error)
	// Load orders the endpoint to load the staged chunks as a version of model. It returns
	// an *OrderError if the endpoint rejects the order.
	Load(ctx context.Context, o Order) error
	// Unload orders the endpoint to unload a model once its running requests have ended.
	// From then on the endpoint rejects new requests as not run. Errors are those of Load.
	Unload(ctx context.Context, o Order) error
}

// Order is an order to load or to unload the weights of a model.
type Order struct {
	Model string
	// Version is the version to load or, for an unload, the version that will replace the
	// unloaded one.
	Version int64
	// Sequence is the endpoint's sequence number that the order is based on. The endpoint
	// rejects the order if the number has changed.
	Sequence int64
	// Finish is set if running requests end before the weights are loaded, instead of being
	// cut. The endpoint accepts no requests until then.
	Finish bool
}

// OrderError reports that an endpoint rejected an order.
type OrderError struct {
	Status int
}

// Error implements error.
func (e *OrderError) Error() string {
	return fmt.Sprintf("stage: order refused with status %d", e.Status)
}

// Origin is the authoritative source of weights.
type Origin interface {
	// Manifest returns the manifest, the list of chunk digests, of a version of model.
	Manifest(ctx context.Context, model string, version int64) (*weights.Manifest, error)
	// Chunk returns chunk i of a version of model. The data is not verified.
	Chunk(ctx context.Context, model string, version int64, i int) ([]byte, error)
	// Rate returns the bandwidth of the origin's link in bytes per second, or 0 if unknown.
	Rate(ctx context.Context) float64
}

// Fleet gives access to the VMs that stage weights for the same service and to the
// gateways.
type Fleet interface {
	// Members returns the VMs, including this one.
	Members(ctx context.Context) ([]swarm.Member, error)
	// Pause asks the gateways to stop sending requests to the endpoint for d.
	Pause(ctx context.Context, d time.Duration)
	// NotifyLoaded tells the gateways that the endpoint has loaded a version of model.
	NotifyLoaded(ctx context.Context, model string, version int64)
	// NotifyStarted records the endpoint's reported start time. If restarted is set, the endpoint
	// has restarted: it has no weights loaded, and the gateways must be told.
	NotifyStarted(ctx context.Context, startMillis int64, restarted bool)
	// RequestLoadLease requests a lease to load a model.
	RequestLoadLease(ctx context.Context, q LeaseRequest) Lease
	// Capacity returns what is known about the endpoint's request processing.
	Capacity() Capacity
}

// LeaseRequest is a request for a load lease.
type LeaseRequest struct {
	Model string
	// Held is the version that the endpoint runs.
	Held int64
	// For is the time after which the lease ends unless the weights are loaded before.
	For time.Duration
	// Remaining is the time until the endpoint changes weights without a lease.
	Remaining time.Duration
	// Drain is how long the endpoint drains if others take its requests.
	Drain time.Duration
	// NewerIn is the time until a version newer than the one to be loaded is expected to be
	// complete, or 0.
	NewerIn time.Duration
	// Running is the number of requests that run or wait at the endpoint.
	Running int
	// DrainsAhead is set if the endpoint may drain before the newer version is complete.
	DrainsAhead bool
}

// Lease is the answer to a request for a load lease. With a lease, an endpoint may drain
// and load while other endpoints take its requests.
type Lease struct {
	Granted bool
	// AvailableLater is set if the lease was refused only because other endpoints are
	// loading at the moment, and will be available later.
	AvailableLater bool
	// RetryAfter is the delay before the next request for a lease.
	RetryAfter time.Duration
	// Scheduled is set if the grantor spreads the changes of all endpoints over the time that
	// they have. A refused lease is then granted in time, and Drain is how long the endpoint may
	// drain with it.
	Scheduled bool
	Drain     time.Duration
	// Spare is set if the other endpoints have capacity for all requests.
	Spare bool
	// Turn is set if RetryAfter is when the endpoint's turn comes.
	Turn bool
}
