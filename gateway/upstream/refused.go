package upstream

import (
	"bufio"
	"context"
	"errors"
	"syscall"
	"time"
)

// refusedLimit bounds the wait for a connection that is opened only to see whether the
// endpoint is there: a port without a process refuses within the way there and back, some
// milliseconds between regions.
const refusedLimit = 100 * time.Millisecond

// Refuses returns whether nothing listens at addr. That tells the end of a process from one
// answer that broke off, and from a VM or link that fell silent. A connection that was opened
// for it is kept for the next request.
func (c *Client) Refuses(addr string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), refusedLimit)
	defer cancel()
	opened, err := c.dialer.DialContext(ctx, "tcp4", addr)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	cn := &conn{Conn: opened, reader: bufio.NewReaderSize(opened, readBuffer)}
	cn.rest(nil, time.Now())
	c.pool(addr).put(cn)
	return false
}
