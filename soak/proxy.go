// Package soak runs the real programs as separate processes beside stand-ins on
// one machine, injects faults from outside them, and checks what callers and
// endpoints see against what the system promises.
package soak

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"time"
)

// Link is how a proxy treats the connections that pass it.
type Link struct {
	// Delay is added to each piece of data.
	Delay time.Duration
	// Refuse resets connections, old and new.
	Refuse bool
	// Gone does so and takes no new ones, as where the process that listened has ended.
	Gone bool
	// SilentOut and SilentIn hold back what goes to the target, and what comes
	// from it.
	SilentOut, SilentIn bool
}

// Proxy passes TCP connections on to a target. It is safe for concurrent use.
type Proxy struct {
	addr, target string
	// narrow is described at NewNarrowProxy.
	narrow bool

	mu       sync.Mutex
	listener net.Listener
	link     Link
	conns    map[net.Conn]bool
}

// NewProxy starts a Proxy on addr before target.
func NewProxy(addr, target string) (*Proxy, error) {
	p := &Proxy{addr: addr, target: target, conns: map[net.Conn]bool{}}
	return p, p.listen(true)
}

// Sizes of a narrow proxy, in bytes.
const (
	// narrowBuffer is the size of its socket buffers.
	narrowBuffer = 8 << 10
	// narrowSegment is that of its segments, as on a network.
	narrowSegment = 1460
)

// NewNarrowProxy starts a Proxy that takes little more than its target has read. Otherwise, the
// kernel takes several megabytes for a target on the same machine.
func NewNarrowProxy(addr, target string) (*Proxy, error) {
	p := &Proxy{addr: addr, target: target, narrow: true, conns: map[net.Conn]bool{}}
	return p, p.listen(true)
}

// listenNarrow makes the connections of a listener narrow.
func listenNarrow(_, _ string, c syscall.RawConn) error {
	var err error
	failed := c.Control(func(fd uintptr) {
		err = errors.Join(syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, narrowBuffer),
			syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, narrowSegment))
	})
	return errors.Join(failed, err)
}

// Set changes how connections are treated.
func (p *Proxy) Set(l Link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.link = l
	_ = p.listen(!l.Gone) // as if it had not come back; the next change tries again
	if !l.Refuse && !l.Gone {
		return
	}
	for c := range p.conns {
		reset(c)
	}
}

// listen takes new connections, or takes none any more. The caller holds the lock.
func (p *Proxy) listen(wanted bool) error {
	if wanted == (p.listener != nil) {
		return nil
	}
	if !wanted {
		_ = p.listener.Close()
		p.listener = nil
		return nil
	}
	var cfg net.ListenConfig
	if p.narrow {
		cfg.Control = listenNarrow
	}
	l, err := cfg.Listen(context.Background(), "tcp4", p.addr)
	if err != nil {
		return err
	}
	p.listener = l
	go p.accept(l)
	return nil
}

// Close ends the proxy and its connections.
func (p *Proxy) Close() {
	p.Set(Link{Gone: true})
}

func (p *Proxy) current() Link {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.link
}

func (p *Proxy) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go p.pass(c)
	}
}

func (p *Proxy) pass(near net.Conn) {
	if l := p.current(); l.Refuse || l.Gone {
		reset(near)
		return
	}
	far, err := net.Dial("tcp4", p.target)
	if err != nil {
		reset(near)
		return
	}
	if tcp, ok := far.(*net.TCPConn); ok && p.narrow {
		_ = tcp.SetWriteBuffer(narrowBuffer) // fails only if the connection has ended
	}
	p.keep(near, far)
	var both sync.WaitGroup
	both.Go(func() { p.copy(far, near, func(l Link) bool { return l.SilentOut }) })
	both.Go(func() { p.copy(near, far, func(l Link) bool { return l.SilentIn }) })
	both.Wait()
	p.drop(near, far)
}

func (p *Proxy) keep(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range conns {
		p.conns[c] = true
	}
}

func (p *Proxy) drop(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range conns {
		_ = c.Close()
		delete(p.conns, c)
	}
}

// holdStep is how often a silent link is looked at.
const holdStep = 20 * time.Millisecond

// copy passes data on, piece by piece; an end is passed on as an end, a reset
// as a reset.
func (p *Proxy) copy(to, from net.Conn, silent func(Link) bool) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		for silent(p.current()) {
			time.Sleep(holdStep)
		}
		if d := p.current().Delay; d > 0 {
			time.Sleep(d)
		}
		if n > 0 {
			if _, werr := to.Write(buffer[:n]); werr != nil {
				reset(from)
				return
			}
		}
		if errors.Is(err, io.EOF) {
			if t, ok := to.(*net.TCPConn); ok {
				_ = t.CloseWrite()
			}
			return
		}
		if err != nil {
			reset(to)
			return
		}
	}
}

func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}
