package upstream

import (
	"context"
	"errors"
	"syscall"
	"time"
)

// refusedCheckTimeout bounds the connection attempt made to check whether an endpoint is
// running. A port without a listener refuses within one round trip, which takes some
// milliseconds between regions.
const refusedCheckTimeout = 100 * time.Millisecond

// Refuses reports whether nothing listens at addr. This distinguishes a terminated process from
// a single interrupted response and from a VM or link that stopped responding. A connection
// opened by the check is kept for the next request.
func (c *Client) Refuses(addr string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), refusedCheckTimeout)
	defer cancel()
	opened, err := c.dialer.DialContext(ctx, "tcp4", addr)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	cn := newConn(opened)
	cn.setIdleDeadline(nil, time.Now())
	c.pool(addr).put(cn)
	return false
}
