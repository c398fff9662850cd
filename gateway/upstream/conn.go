// Package upstream sends requests to endpoints over kept connections. It tells for
// each failure whether the request may have run.
//
// It owns the idle connections to each endpoint, under a lock for each. A connection
// in use belongs to one exchange. Package verdict turns errors into what is known.
// Setting a deadline fails only on a connection that was closed, and then the next
// read or write says so: that is why it is not checked.
package upstream

import (
	"bufio"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/silverdeck/silverdeck/quiet"
	"github.com/silverdeck/silverdeck/roster"
)

// Limits of connections.
const (
	// readBuffer is the size of a connection's buffer, in bytes: the head of an answer
	// fits.
	readBuffer = 4 << 10
	// dialLimit bounds the opening of a connection: a live endpoint answers within some
	// milliseconds.
	dialLimit = 300 * time.Millisecond
	// defaultIdle is for how long a connection may rest where the endpoint says nothing of
	// it.
	defaultIdle = 2 * time.Second
	// idleMargin is taken from the time that an endpoint keeps idle connections, for a
	// request on its way.
	idleMargin = 500 * time.Millisecond
	// maxIdle bounds the kept connections to one endpoint. The sites' endpoints take 48 to
	// 608.
	maxIdle = 64
)

// conn is a connection to an endpoint; one exchange at a time.
type conn struct {
	net.Conn
	reader *bufio.Reader
	// idleUntil is when the connection must not be used again.
	idleUntil time.Time
	reused    bool
}

// sound returns whether nothing came and nobody closed while c rested.
func (c *conn) sound() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	return quiet.Is(c.Conn)
}

// abort ends the connection at once and drops what was not delivered yet. After a
// plain close the kernel would go on sending: an endpoint whose link stood still
// would get a request that was withdrawn long ago, and run it.
func (c *conn) abort() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // fails only on a connection that is closed
	}
	_ = c.Close() // of no use to anybody in either case
}

// rest notes for how long c may stay idle, by the answer's header.
func (c *conn) rest(h http.Header, now time.Time) {
	keep := defaultIdle
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if n, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
			keep = time.Duration(n)*time.Second - idleMargin
		}
	}
	c.idleUntil = now.Add(keep)
}

// idlePool keeps the idle connections of one endpoint.
type idlePool struct {
	mu   sync.Mutex
	idle []*conn
	// owner is the endpoint that has the address; not known before the first Keep.
	owner roster.Incarnation
}

// ownedBy notes who has the address and returns whether that is who had it. Connections
// of an endpoint that crashed silently look sound until something is sent.
func (p *idlePool) ownedBy(owner roster.Incarnation) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	same := p.owner.ID == "" || p.owner.Same(owner)
	if !same || owner.Born != 0 {
		p.owner = owner
	}
	return same
}

// take returns the connection that was used last, or nil.
func (p *idlePool) take(now time.Time) *conn {
	for {
		p.mu.Lock()
		n := len(p.idle)
		if n == 0 {
			p.mu.Unlock()
			return nil
		}
		c := p.idle[n-1]
		p.idle = p.idle[:n-1]
		p.mu.Unlock()
		if now.Before(c.idleUntil) && c.sound() {
			c.reused = true
			return c
		}
		_ = c.Close()
	}
}

// put keeps c, which rests.
func (p *idlePool) put(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle) >= maxIdle {
		_ = c.Close()
		return
	}
	p.idle = append(p.idle, c)
}

// sweep closes connections that have rested too long; all of them if now is zero.
func (p *idlePool) sweep(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	kept := p.idle[:0]
	for _, c := range p.idle {
		if !now.IsZero() && now.Before(c.idleUntil) {
			kept = append(kept, c)
			continue
		}
		_ = c.Close()
	}
	p.idle = kept
}
