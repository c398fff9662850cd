package main

import (
	"context"
	"net"
	"sync/atomic"

	"golang.org/x/time/rate"
)

// linkStep is how much passes a link at once, in bytes.
const linkStep = 16 << 10

// link is the network link of one VM: a token bucket each way.
type link struct {
	up, down *rate.Limiter
	ctx      context.Context
	cut      context.CancelFunc
	// stalled holds all traffic while it is set.
	stalled atomic.Pointer[chan struct{}]
	// control counts bytes of connections that carry no chunks.
	control atomic.Int64
}

func newLink(ctx context.Context, bytesPerSecond float64) *link {
	l := &link{
		up:   rate.NewLimiter(rate.Limit(bytesPerSecond), linkStep),
		down: rate.NewLimiter(rate.Limit(bytesPerSecond), linkStep),
	}
	l.ctx, l.cut = context.WithCancel(ctx)
	return l
}

// stall holds all traffic until the returned function is called.
func (l *link) stall() (resume func()) {
	c := make(chan struct{})
	l.stalled.Store(&c)
	return func() {
		l.stalled.Store(nil)
		close(c)
	}
}

func (l *link) pass(b *rate.Limiter, n int) error {
	if c := l.stalled.Load(); c != nil {
		select {
		case <-*c:
		case <-l.ctx.Done():
		}
	}
	return b.WaitN(l.ctx, n)
}

// conn is a connection over a link.
type conn struct {
	net.Conn
	link    *link
	control bool
}

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b[:min(len(b), linkStep)])
	if n > 0 {
		c.count(n)
		if perr := c.link.pass(c.link.down, n); perr != nil {
			_ = c.Close()
			return 0, perr
		}
	}
	return n, err
}

// Write implements net.Conn.
func (c *conn) Write(b []byte) (int, error) {
	total := 0
	for len(b) > 0 {
		step := b[:min(len(b), linkStep)]
		if err := c.link.pass(c.link.up, len(step)); err != nil {
			_ = c.Close()
			return total, err
		}
		n, err := c.Conn.Write(step)
		c.count(n)
		total += n
		if err != nil {
			return total, err
		}
		b = b[n:]
	}
	return total, nil
}

func (c *conn) count(n int) {
	if c.control {
		c.link.control.Add(int64(n))
	}
}

// listener accepts connections over a link.
type listener struct {
	net.Listener
	link *link
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c, link: l.link}, nil
}

// dialer opens connections over a link.
type dialer struct {
	link    *link
	control bool
}

// DialContext implements peerconn.Dialer.
func (d *dialer) DialContext(ctx context.Context, network, addr string) (net.Conn, error) {
	c, err := (&net.Dialer{}).DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c, link: d.link, control: d.control}, nil
}
