package sidecar

import (
	"context"
	"time"

	"github.com/silverdeck/silverdeck/leases"
	"github.com/silverdeck/silverdeck/roster"
	"github.com/silverdeck/silverdeck/sidecar/stage"
)

const (
	// leaseLimit bounds a question for a lease: without one the endpoint changes at the time
	// that it drew.
	leaseLimit = 300 * time.Millisecond
	// leaseRetry is the time before the next question where there was no answer.
	leaseRetry = 500 * time.Millisecond
)

// RequestLoadLease implements stage.Fleet: it asks the gateway that owns the leases of the service.
func (c *Sidecar) RequestLoadLease(ctx context.Context, model string, d time.Duration) stage.Lease {
	inv := c.fleet.known()
	if inv == nil {
		return stage.Lease{RetryAfter: leaseRetry}
	}
	ctx, cancel := context.WithTimeout(ctx, leaseLimit)
	defer cancel()
	owner := leases.Owner(c.cfg.Service, gatewayAddrs(inv))
	reply, err := leases.AskBegin(ctx, c.pool, owner, leases.LoadRequest{Service: c.cfg.Service, Model: model, VM: roster.VM(c.cfg.Endpoint), For: d})
	if err != nil {
		c.log.Debug("no answer about a lease on a load", "peer", owner, "err", err)
		return stage.Lease{RetryAfter: leaseRetry}
	}
	return stage.Lease{Granted: reply.Given, AvailableLater: reply.Comes, RetryAfter: reply.Again}
}
