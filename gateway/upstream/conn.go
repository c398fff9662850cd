// Package upstream sends requests to endpoints over persistent connections and reports, for
// each failure, whether the request may have run.
//
// The idle connections to each address are guarded by a lock of their own. A connection in use
// belongs to one exchange. Package verdict classifies the errors.
//
// Errors of setting deadlines are ignored: it fails only on a closed connection, and then the
// next read or write fails too.
package upstream

import (
	"bufio"
	"errors"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/silverdeck/silverdeck/conncheck"
	"github.com/silverdeck/silverdeck/responsehead"
	"github.com/silverdeck/silverdeck/roster"
)

// Connection settings.
const (
	// readBufferSize is the size of the read buffer of a connection, in bytes. The headers of a
	// response fit into it.
	readBufferSize = 4 << 10
	// dialTimeout bounds opening a connection. A live endpoint accepts within some
	// milliseconds.
	dialTimeout = 300 * time.Millisecond
	// defaultIdleTimeout is how long a connection may be idle if the endpoint does not specify
	// a timeout.
	defaultIdleTimeout = 2 * time.Second
	// idleTimeoutMargin is subtracted from the idle timeout of the endpoint, because a request
	// needs time to arrive.
	idleTimeoutMargin = 500 * time.Millisecond
	// maxIdleConns is the maximum number of idle connections per endpoint. The endpoints of the
	// sites accept 48 to 608.
	maxIdleConns = 64
)

// conn is a connection to an endpoint. It carries one exchange at a time.
type conn struct {
	net.Conn
	reader *bufio.Reader
	// idleUntil is the time from which the connection must not be reused.
	idleUntil time.Time
	reused    bool
	// hadHead is set once a HEAD request was sent.
	hadHead bool
	// readErr is the error that ended reading, or nil.
	readErr error
	// inHead is set while the heads of an exchange are read, of which headLeft more bytes may follow.
	inHead   bool
	headLeft int
	// filled is set if the last read returned as much as there was room for, so that more may have arrived.
	filled bool
	// head is what was received while inHead is set, from the beginning of the current head on.
	head []byte
	// watchdog is asked while a head that has begun does not end, from checkAt on. It may be nil.
	watchdog *Watchdog
	checkAt  time.Time
}

// newConn returns a conn that uses c.
func newConn(c net.Conn) *conn {
	out := &conn{Conn: c}
	out.reader = bufio.NewReaderSize(out, readBufferSize)
	return out
}

// Read implements net.Conn. An error other than a timeout is returned by all later calls: the kernel
// reports a reset once, and then the end of the data, as if the peer had closed the connection.
func (c *conn) Read(p []byte) (int, error) {
	if c.readErr != nil {
		return 0, c.readErr
	}
	if c.inHead {
		if c.headLeft <= 0 {
			return 0, errLongHead
		}
		p = p[:min(len(p), c.headLeft)]
	}
	n, err := c.read(p)
	c.filled = n == len(p)
	if c.inHead {
		c.headLeft -= n
		c.head = append(c.head, p[:n]...)
	}
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		c.readErr = err
	}
	return n, err
}

// read reads from the connection. While the rest of a head is due, it asks the watchdog.
func (c *conn) read(p []byte) (int, error) {
	if c.watchdog == nil {
		return c.Conn.Read(p)
	}
	n, err := c.watchdog.poll(c, func() (int, error) { return c.Conn.Read(p) })
	_ = c.SetReadDeadline(time.Time{})
	return n, err
}

// readHead reads the head of the next response to a request with the given method, and returns it together
// with the bytes that it consists of, which are valid until the next call. It returns a MalformedError for a head
// that HTTP does not allow.
func (c *conn) readHead(method string) (*http.Response, []byte, error) {
	c.head = append(c.head[:0], c.buffered()...)
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		return nil, nil, c.parseError(err)
	}
	raw := c.head[:len(c.head)-c.reader.Buffered()]
	if fault := headFault(resp, raw); fault != responsehead.NoFault {
		return nil, nil, &MalformedError{Err: &responsehead.Error{Fault: fault}}
	}
	return resp, raw, nil
}

// headFault returns what HTTP does not allow in the head of a response, which was received as raw.
func headFault(resp *http.Response, raw []byte) responsehead.Fault {
	if fault := responsehead.CheckSyntax(resp.StatusCode, resp.Header); fault != responsehead.NoFault {
		return fault
	}
	return responsehead.CheckEncoding(resp, raw)
}

// releaseHead discards a head that takes more memory than most.
func (c *conn) releaseHead() {
	if cap(c.head) > readBufferSize {
		c.head = nil
	}
}

// surplusTimeout is how long bytes that have arrived may take to be read.
const surplusTimeout = time.Millisecond

// surplus returns the bytes that have arrived behind what was read. It is valid until the next read.
func (c *conn) surplus() []byte {
	if c.reader.Buffered() == 0 && c.filled {
		_ = c.SetReadDeadline(time.Now().Add(surplusTimeout))
		_, _ = c.reader.Peek(1) // an error is seen by the next read
		_ = c.SetReadDeadline(time.Time{})
	}
	return c.buffered()
}

// buffered returns the bytes that were received and not yet read. It is valid until the next read.
func (c *conn) buffered() []byte {
	b, _ := c.reader.Peek(c.reader.Buffered()) // what is buffered can be read
	return b
}

// usable reports whether c has neither received data nor been closed while it was idle.
func (c *conn) usable() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	return conncheck.IsIdle(c.Conn)
}

// abort resets the connection and discards data that has not been delivered. After an ordinary
// close the kernel would continue to send: an endpoint whose link was stalled would receive a
// request long after it was withdrawn, and run it.
func (c *conn) abort() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // fails only on a closed connection
	}
	_ = c.Close() // the connection is discarded either way
}

// setIdleDeadline sets how long c may stay idle, according to the Keep-Alive header of the
// response.
func (c *conn) setIdleDeadline(h http.Header, now time.Time) {
	timeout := defaultIdleTimeout
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if n, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
			timeout = time.Duration(n)*time.Second - idleTimeoutMargin
		}
	}
	c.idleUntil = now.Add(timeout)
}

// idlePool holds the idle connections to one address.
type idlePool struct {
	mu   sync.Mutex
	idle []*conn
	// owner is the endpoint at the address. It is zero before the first call to Client.Prune.
	owner roster.Incarnation
}

// setOwner records which endpoint has the address and reports whether it is the same
// incarnation as before. Connections to an endpoint that crashed without closing them look
// usable until something is sent.
func (p *idlePool) setOwner(owner roster.Incarnation) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	same := p.owner.ID == "" || p.owner.Same(owner)
	if !same || owner.Born != 0 {
		p.owner = owner
	}
	return same
}

// take returns the most recently used connection, or nil if there is none.
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
		if now.Before(c.idleUntil) && c.usable() {
			c.reused = true
			return c
		}
		_ = c.Close()
	}
}

// put adds an idle connection to the pool, or closes it if the pool is full.
func (p *idlePool) put(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle) >= maxIdleConns {
		_ = c.Close()
		return
	}
	p.idle = append(p.idle, c)
}

// closeExpired closes the connections that have been idle for too long, or all of them if now
// is zero.
func (p *idlePool) closeExpired(now time.Time) {
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
