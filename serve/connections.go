package serve

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"

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
	// raw is the socket, or nil if there is none.
	raw   syscall.RawConn
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
	if socket, ok := conn.(syscall.Conn); ok {
		c.raw, _ = socket.SyscallConn() // fails only if the connection has ended
	}
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

// Read implements net.Conn. What leaves the socket is noted under the same lock: closeIfIdle sees a
// request either in the socket or as being read.
func (c *connection) Read(p []byte) (int, error) {
	if c.raw == nil || len(p) == 0 {
		return c.Conn.Read(p)
	}
	var n int
	var failed error
	err := c.raw.Read(func(fd uintptr) bool {
		n, failed = c.readNow(int(fd), p)
		return !errors.Is(failed, syscall.EAGAIN) // otherwise it is called again once there is something to read
	})
	switch {
	case err != nil:
		return 0, c.readError(err)
	case failed != nil:
		return 0, c.readError(os.NewSyscallError("read", failed))
	case n == 0:
		return 0, io.EOF
	}
	return n, nil
}

// readError returns err as a net.Conn does: http.Server answers errors of other kinds.
func (c *connection) readError(err error) error {
	var op *net.OpError
	if errors.As(err, &op) {
		err = op.Err
	}
	return &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: err}
}

// readNow reads what is in the socket, without waiting.
func (c *connection) readNow(fd int, p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closedIdle {
		return 0, net.ErrClosed
	}
	for {
		n, err := syscall.Read(fd, p)
		if errors.Is(err, syscall.EINTR) {
			continue
		}
		if n > 0 {
			c.reading = true
		}
		return n, err
	}
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
