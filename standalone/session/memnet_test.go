package session_test

import (
	"bytes"
	"context"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/silverdeck/silverdeck/standalone/secure"
)

// memnet is a network in memory, for virtual time. Writes never block.
type memnet struct {
	mu        sync.Mutex
	listeners map[string]*memListener
	hosts     map[string]*host
}

func newMemnet() *memnet {
	return &memnet{listeners: map[string]*memListener{}, hosts: map[string]*host{}}
}

// host is the network as one VM sees it.
type host struct {
	net  *memnet
	name string

	mu     sync.Mutex
	dead   bool
	frozen chan struct{}
	conns  []*memConn
	ls     []*memListener
}

var _ secure.Network = (*host)(nil)

func (n *memnet) host(name string) *host {
	n.mu.Lock()
	defer n.mu.Unlock()
	h := &host{net: n, name: name}
	n.hosts[name] = h
	return h
}

// kill closes everything of the host at once.
func (h *host) kill() {
	h.mu.Lock()
	h.dead = true
	if h.frozen != nil {
		close(h.frozen)
		h.frozen = nil
	}
	conns, ls := h.conns, h.ls
	h.mu.Unlock()
	for _, l := range ls {
		_ = l.Close()
	}
	for _, c := range conns {
		_ = c.Close()
	}
}

// freeze stops all traffic of the host until thaw.
func (h *host) freeze() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.frozen = make(chan struct{})
}

func (h *host) thaw() {
	h.mu.Lock()
	defer h.mu.Unlock()
	close(h.frozen)
	h.frozen = nil
}

func (h *host) gate() chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.frozen
}

// Listen implements secure.Network.
func (h *host) Listen(_, addr string) (net.Listener, error) {
	h.net.mu.Lock()
	defer h.net.mu.Unlock()
	if h.net.listeners[addr] != nil {
		return nil, &net.OpError{Op: "listen", Err: syscall.EADDRINUSE}
	}
	l := &memListener{host: h, addr: addr, accept: make(chan net.Conn, 64), done: make(chan struct{})}
	h.net.listeners[addr] = l
	h.mu.Lock()
	h.ls = append(h.ls, l)
	h.mu.Unlock()
	return l, nil
}

// DialContext implements secure.Network.
func (h *host) DialContext(_ context.Context, _, addr string) (net.Conn, error) {
	h.net.mu.Lock()
	l := h.net.listeners[addr]
	h.net.mu.Unlock()
	h.mu.Lock()
	dead := h.dead
	h.mu.Unlock()
	if l == nil || dead {
		return nil, &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
	}
	a, b := newPipe(), newPipe()
	client := &memConn{host: h, in: a, out: b, addr: addr}
	server := &memConn{host: l.host, in: b, out: a, addr: addr}
	h.keep(client)
	l.host.keep(server)
	select {
	case l.accept <- server:
		return client, nil
	case <-l.done:
		return nil, &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
	}
}

func (h *host) keep(c *memConn) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.conns = append(h.conns, c)
}

type memListener struct {
	host   *host
	addr   string
	accept chan net.Conn
	once   sync.Once
	done   chan struct{}
}

func (l *memListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.accept:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

func (l *memListener) Close() error {
	l.once.Do(func() {
		close(l.done)
		l.host.net.mu.Lock()
		delete(l.host.net.listeners, l.addr)
		l.host.net.mu.Unlock()
	})
	return nil
}

func (l *memListener) Addr() net.Addr { return memAddr(l.addr) }

type memAddr string

func (memAddr) Network() string  { return "tcp" }
func (a memAddr) String() string { return string(a) }

// pipe carries bytes one way without a bound.
type pipe struct {
	mu     sync.Mutex
	buf    []byte
	closed bool
	change chan struct{}
}

func newPipe() *pipe {
	return &pipe{change: make(chan struct{})}
}

func (p *pipe) update(f func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f()
	close(p.change)
	p.change = make(chan struct{})
}

// memConn is one end of a connection.
type memConn struct {
	host    *host
	in, out *pipe
	addr    string

	mu       sync.Mutex
	deadline time.Time
	moved    chan struct{}
}

func (c *memConn) Read(b []byte) (int, error) {
	for {
		if g := c.host.gate(); g != nil {
			<-g
		}
		c.in.mu.Lock()
		n := copy(b, c.in.buf)
		c.in.buf = c.in.buf[n:]
		closed, change := c.in.closed, c.in.change
		c.in.mu.Unlock()
		if n > 0 {
			return n, nil
		}
		if closed {
			return 0, io.EOF
		}
		if err := c.wait(change); err != nil {
			return 0, err
		}
	}
}

// wait returns nil when change is closed or the deadline was moved.
func (c *memConn) wait(change chan struct{}) error {
	c.mu.Lock()
	if c.moved == nil {
		c.moved = make(chan struct{})
	}
	deadline, moved := c.deadline, c.moved
	c.mu.Unlock()
	var late <-chan time.Time
	if !deadline.IsZero() {
		t := time.NewTimer(time.Until(deadline))
		defer t.Stop()
		late = t.C
	}
	select {
	case <-change:
	case <-moved:
	case <-late:
		return os.ErrDeadlineExceeded
	}
	return nil
}

// Write implements net.Conn. What a frozen host writes leaves it after the thaw.
func (c *memConn) Write(b []byte) (int, error) {
	late := bytes.Clone(b)
	if g := c.host.gate(); g != nil {
		go func() {
			<-g
			_, _ = c.Write(late)
		}()
		return len(b), nil
	}
	c.out.mu.Lock()
	closed := c.out.closed
	c.out.mu.Unlock()
	if closed {
		return 0, syscall.EPIPE
	}
	c.out.update(func() { c.out.buf = append(c.out.buf, b...) })
	return len(b), nil
}

func (c *memConn) Close() error {
	c.in.update(func() { c.in.closed = true })
	c.out.update(func() { c.out.closed = true })
	return nil
}

func (c *memConn) LocalAddr() net.Addr  { return memAddr(c.addr) }
func (c *memConn) RemoteAddr() net.Addr { return memAddr(c.addr) }

func (c *memConn) SetDeadline(t time.Time) error { return c.SetReadDeadline(t) }

func (c *memConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = t
	if c.moved != nil {
		close(c.moved)
	}
	c.moved = make(chan struct{})
	return nil
}

func (c *memConn) SetWriteDeadline(time.Time) error { return nil }
