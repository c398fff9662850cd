// Package soak runs the real programs as separate processes beside stand-ins on
// one machine, injects faults from outside them, and checks what callers and
// endpoints see against what the system promises.
package soak

import (
	"errors"
	"io"
	"net"
	"sync"
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

	mu       sync.Mutex
	listener net.Listener
	link     Link
	conns    map[net.Conn]bool
}

// NewProxy starts a Proxy on addr before target.
func NewProxy(addr, target string) (*Proxy, error) {
	l, err := net.Listen("tcp4", addr)
	if err != nil {
		return nil, err
	}
	p := &Proxy{addr: addr, target: target, listener: l, conns: map[net.Conn]bool{}}
	go p.accept(l)
	return p, nil
}

// Set changes how connections are treated.
func (p *Proxy) Set(l Link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.link = l
	p.listen(!l.Gone)
	if !l.Refuse && !l.Gone {
		return
	}
	for c := range p.conns {
		reset(c)
	}
}

// listen takes new connections, or takes none any more. The caller holds the lock.
func (p *Proxy) listen(wanted bool) {
	if wanted == (p.listener != nil) {
		return
	}
	if !wanted {
		_ = p.listener.Close()
		p.listener = nil
		return
	}
	l, err := net.Listen("tcp4", p.addr)
	if err != nil {
		return // as if it had not come back; the next change tries again
	}
	p.listener = l
	go p.accept(l)
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
