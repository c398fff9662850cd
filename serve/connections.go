package serve

import (
	"context"
	"net"
	"net/http"
	"sync"

	"github.com/silverdeck/silverdeck/conncheck"
)

// connections is the set of open connections of a listener. It is safe for concurrent use.
type connections struct {
	mu   sync.Mutex
	open map[*connection]bool
	// stopping is set once idle connections are to be closed.
	stopping bool
	// drained is closed once no connection is open and none can be added.
	drained chan struct{}
}

// connection is an accepted connection. Whether it is idle is decided under the lock that
// also guards what is read from it, so that it is never closed under a request that a
// handler sees. The state of http.Server is not enough for that: it reports a connection as
// idle until the whole header of the next request has been read.
type connection struct {
	net.Conn
	owner *connections
	once  sync.Once

	mu sync.Mutex
	// reading is set from the first byte of a request until its response is written.
	reading bool
	// closedIdle is set once the connection was closed while idle; data that is read
	// afterwards is discarded.
	closedIdle bool
}

func newConnections() *connections {
	return &connections{open: map[*connection]bool{}, drained: make(chan struct{})}
}

// add wraps conn and adds it to the open connections.
func (s *connections) add(conn net.Conn) *connection {
	c := &connection{Conn: conn, owner: s}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open[c] = true
	return c
}

// busy returns the number of connections on which a request is being read or answered.
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

// shutdown closes idle connections at once and every other connection after its response,
// and waits until all are closed or ctx is done. No connection may be added afterwards.
func (s *connections) shutdown(ctx context.Context) error {
	for _, c := range s.beginShutdown() {
		c.closeIfIdle()
	}
	select {
	case <-s.drained:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// beginShutdown makes connections close as they become idle, and returns the open ones.
func (s *connections) beginShutdown() []*connection {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.stopping {
		s.stopping = true
		s.closeDrainedIfEmpty()
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
		s.closeDrainedIfEmpty()
	}
}

// closeDrainedIfEmpty closes drained if a shutdown has begun and no connection is open. The
// caller must hold the lock.
func (s *connections) closeDrainedIfEmpty() {
	if s.stopping && len(s.open) == 0 {
		close(s.drained)
	}
}

// onConnState is the ConnState hook of an http.Server. StateIdle means that a response has
// been written.
func onConnState(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*connection)
	if !ok || state != http.StateIdle {
		return
	}
	c.mu.Lock()
	c.reading = false
	c.mu.Unlock()
	if c.owner.isStopping() {
		c.closeIfIdle()
	}
}

// Read implements net.Conn.
func (c *connection) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closedIdle {
		return 0, net.ErrClosed
	}
	if n > 0 {
		c.reading = true
	}
	return n, err
}

// closeIfIdle closes the connection if it is idle. A connection with a request still unread
// in its socket is not idle: the request may have arrived while this process was suspended,
// and its caller has been waiting since.
func (c *connection) closeIfIdle() {
	c.mu.Lock()
	c.closedIdle = !c.reading && conncheck.IsIdle(c.Conn)
	idle := c.closedIdle
	c.mu.Unlock()
	if idle {
		_ = c.Close() // no request is outstanding, so there is nobody to report an error to
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

// CloseWrite shuts down the writing side. http.Server calls it before closing a connection
// whose request it has not read completely.
func (c *connection) CloseWrite() error {
	if conn, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return conn.CloseWrite()
	}
	return nil
}
