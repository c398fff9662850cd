package serve

import (
	"context"
	"net"
	"net/http"
	"sync"

	"github.com/silverdeck/silverdeck/quiet"
)

// connections are the open connections of a listener. It is safe for concurrent use.
type connections struct {
	mu   sync.Mutex
	open map[*connection]bool
	// stopping is set once connections at rest are closed.
	stopping bool
	// ended is closed once none is open and none comes any more.
	ended chan struct{}
}

// connection is an accepted connection. Whether it is at rest is decided under the same
// lock as what is read from it: it is never closed under a request that a handler sees.
// http.Server takes one for idle until the whole head of its next request was read.
type connection struct {
	net.Conn
	owner *connections
	once  sync.Once

	mu sync.Mutex
	// reading is set from the first byte of a request until its answer is written.
	reading bool
	// dropped is set once it was closed at rest; what is read after that is dropped too.
	dropped bool
}

func newConnections() *connections {
	return &connections{open: map[*connection]bool{}, ended: make(chan struct{})}
}

// add returns conn as one of the open connections.
func (s *connections) add(conn net.Conn) *connection {
	c := &connection{Conn: conn, owner: s}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open[c] = true
	return c
}

// busy returns on how many connections a request is read or answered.
func (s *connections) busy() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for c := range s.open {
		if c.isReading() {
			n++
		}
	}
	return n
}

// shutdown closes the connections at rest, each other one once its answer is written, and
// waits for that or for ctx. No connection may be added any more.
func (s *connections) shutdown(ctx context.Context) error {
	for _, c := range s.stop() {
		c.drop()
	}
	select {
	case <-s.ended:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// stop returns the open connections. From now on those that come to rest are closed.
func (s *connections) stop() []*connection {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.stopping {
		s.stopping = true
		s.endIfNone()
	}
	var out []*connection
	for c := range s.open {
		out = append(out, c)
	}
	return out
}

func (s *connections) isStopping() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stopping
}

func (s *connections) remove(c *connection) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.open[c] {
		delete(s.open, c)
		s.endIfNone()
	}
}

// endIfNone tells who waits for the end. The caller holds the lock.
func (s *connections) endIfNone() {
	if s.stopping && len(s.open) == 0 {
		close(s.ended)
	}
}

// noteState is an http.Server's hook: it notes that an answer was written.
func noteState(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*connection)
	if !ok || state != http.StateIdle {
		return
	}
	c.mu.Lock()
	c.reading = false
	c.mu.Unlock()
	if c.owner.isStopping() {
		c.drop()
	}
}

// Read implements net.Conn.
func (c *connection) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.dropped {
		return 0, net.ErrClosed
	}
	if n > 0 {
		c.reading = true
	}
	return n, err
}

// drop closes the connection if it is at rest. One in whose socket a request waits is not:
// it may have come while this process stood still, and its caller has waited since.
func (c *connection) drop() {
	c.mu.Lock()
	c.dropped = !c.reading && quiet.Is(c.Conn)
	dropped := c.dropped
	c.mu.Unlock()
	if dropped {
		_ = c.Close() // nobody waits for an answer there
	}
}

func (c *connection) isReading() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.reading
}

// Close implements net.Conn.
func (c *connection) Close() error {
	c.once.Do(func() { c.owner.remove(c) })
	return c.Conn.Close()
}

// CloseWrite ends the writing side, as http.Server does where it does not read a request
// to its end.
func (c *connection) CloseWrite() error {
	if conn, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return conn.CloseWrite()
	}
	return nil
}
