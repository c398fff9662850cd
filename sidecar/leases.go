package sidecar

import (
	"context"
	"time"

	"github.com/silverdeck/silverdeck/leases"
	"github.com/silverdeck/silverdeck/roster"
	"github.com/silverdeck/silverdeck/sidecar/stage"
)

const (
	// leaseTimeout limits a lease request. Without a lease, the endpoint changes weights at the
	// time that was drawn for it.
	leaseTimeout = 300 * time.Millisecond
	// leaseRetryInterval is the time until the next request after one without a reply.
	leaseRetryInterval = 500 * time.Millisecond
)

// RequestLoadLease implements stage.Fleet. It requests the lease from the gateway that grants the leases of
// the service.
func (c *Sidecar) RequestLoadLease(ctx context.Context, q stage.LeaseRequest) stage.Lease {
	inv := c.watcher.current()
	if inv == nil {
		return stage.Lease{RetryAfter: leaseRetryInterval}
	}
	ctx, cancel := context.WithTimeout(ctx, leaseTimeout)
	defer cancel()
	owner := leases.Owner(c.cfg.Service, gatewayAddrs(inv))
	reply, err := leases.RequestLease(ctx, c.pool, owner, leases.LoadRequest{
		Service: c.cfg.Service, Model: q.Model, VM: roster.VM(c.cfg.Endpoint), For: q.For,
		Held: q.Held, Remaining: q.Remaining, Drain: q.Drain, NewerIn: q.NewerIn, Running: q.Running, DrainsAhead: q.DrainsAhead,
	})
	if err != nil {
		c.log.Debug("request for a load lease failed", "peer", owner, "err", err)
		return stage.Lease{RetryAfter: leaseRetryInterval}
	}
	return stage.Lease{
		Granted: reply.Given, AvailableLater: reply.Comes, RetryAfter: reply.Again,
		Scheduled: reply.Scheduled, Drain: reply.Drain, Spare: reply.Spare, Turn: reply.Turn,
	}
}
