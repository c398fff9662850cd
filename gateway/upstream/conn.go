// Package upstream sends requests to endpoints over kept connections. It
// tells for each failure whether the request may have run.
package upstream

import (
	"bufio"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// readBuffer is the size of a connection's buffer, in bytes: the head of an answer
	// fits. Chosen by judgement.
	readBuffer = 4 << 10
	// dialLimit bounds the opening of a connection: a live endpoint answers within some
	// milliseconds. Chosen by judgement.
	dialLimit = 300 * time.Millisecond
	// shortestIdle is for how long a connection may rest that says nothing of it.
	shortestIdle = 2 * time.Second
	// idleMargin is taken from the time that an endpoint keeps idle connections.
	idleMargin = 500 * time.Millisecond
	// maxIdle bounds the kept connections to one endpoint.
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
	raw, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	rc, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = rc.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, readErr := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = readErr == syscall.EAGAIN || readErr == syscall.EWOULDBLOCK
		return true
	})
	return err == nil && quiet
}

// abort ends the connection at once and drops what was not delivered yet. After a
// plain close the kernel would go on sending: an endpoint whose link stood still
// would get a request that was withdrawn long ago, and run it.
func (c *conn) abort() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // fails only on a connection that is closed
	}
	_ = c.Close()
}

// rest notes for how long c may stay idle, by the answer's header.
func (c *conn) rest(h http.Header, now time.Time) {
	keep := shortestIdle
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if n, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
			keep = time.Duration(n)*time.Second - idleMargin
		}
	}
	c.idleUntil = now.Add(keep)
}

// shelf keeps the idle connections of one endpoint.
type shelf struct {
	mu   sync.Mutex
	idle []*conn
}

// take returns the connection that was used last, or nil.
func (s *shelf) take(now time.Time) *conn {
	for {
		s.mu.Lock()
		n := len(s.idle)
		if n == 0 {
			s.mu.Unlock()
			return nil
		}
		c := s.idle[n-1]
		s.idle = s.idle[:n-1]
		s.mu.Unlock()
		if now.Before(c.idleUntil) && c.sound() {
			c.reused = true
			return c
		}
		_ = c.Close()
	}
}

func (s *shelf) put(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.idle) >= maxIdle {
		_ = c.Close()
		return
	}
	s.idle = append(s.idle, c)
}

// sweep closes connections that have rested too long; all of them if now is zero.
func (s *shelf) sweep(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	kept := s.idle[:0]
	for _, c := range s.idle {
		if !now.IsZero() && now.Before(c.idleUntil) {
			kept = append(kept, c)
			continue
		}
		_ = c.Close()
	}
	s.idle = kept
}
