package upstream

import (
	"context"
	"errors"
	"syscall"
	"time"
)

// livenessTimeout bounds the connection attempt made to check whether an endpoint is running. A port
// without a listener refuses within one round trip, which takes some milliseconds between regions.
const livenessTimeout = 100 * time.Millisecond

// Liveness is what a connection attempt shows about the process at an address.
type Liveness int

// The results of an attempt.
const (
	// LivenessUnknown means that there was no answer in time, for example because a VM or a link
	// stopped responding.
	LivenessUnknown Liveness = iota
	// Listening means that the connection was accepted.
	Listening
	// Terminated means that nothing listens at the address.
	Terminated
)

// CheckLiveness opens a connection to addr. This distinguishes a terminated process from a single
// interrupted response. The connection is kept for the next request.
func (c *Client) CheckLiveness(addr string) Liveness {
	ctx, cancel := context.WithTimeout(context.Background(), livenessTimeout)
	defer cancel()
	opened, err := c.dialer.DialContext(ctx, "tcp4", addr)
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return Terminated
	case err != nil:
		return LivenessUnknown
	}
	cn := newConn(opened)
	cn.setIdleDeadline(nil, time.Now())
	c.pool(addr).put(cn)
	return Listening
}
