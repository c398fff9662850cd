// Package peerconn carries calls between silverdeck's own processes, by net/rpc over
// HTTP on the processes' peer ports. It owns the connections that a process keeps
// to others; each call ends with its context.
package peerconn

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/rpc"
	"reflect"
	"sync"
	"sync/atomic"
)

// RPCPath is where net/rpc stands on a peer port.
const RPCPath = "/rpc"

// connected is what the server answers to CONNECT before net/rpc begins.
const connected = "200 Connected to Go RPC"

// Dialer opens connections to peer ports.
type Dialer interface {
	// DialContext opens a connection to addr; see net.Dialer.
	DialContext(ctx context.Context, network, addr string) (net.Conn, error)
}

// Pool keeps one connection to each peer. It is safe for concurrent use.
type Pool struct {
	dialer Dialer

	// sent and received count the bytes of all connections that the pool opened.
	sent, received atomic.Int64

	mu    sync.Mutex
	conns map[string]*rpc.Client
}

// Traffic returns how many bytes of messages this process has sent and
// received on the connections that it opened itself.
func (p *Pool) Traffic() (sent, received int64) {
	return p.sent.Load(), p.received.Load()
}

// countedConn counts what passes.
type countedConn struct {
	net.Conn
	pool *Pool
}

// Read implements net.Conn.
func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.pool.received.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.pool.sent.Add(int64(n))
	return n, err
}

// NewPool returns a Pool that connects by d.
func NewPool(d Dialer) *Pool {
	return &Pool{dialer: d, conns: map[string]*rpc.Client{}}
}

// Call calls method at addr and waits for the reply or the end of ctx. A
// connection on which a call did not end in time is closed: a peer that is
// frozen must not hold more calls.
func (p *Pool) Call(ctx context.Context, addr, method string, args, reply any) error {
	c, err := p.client(ctx, addr)
	if err != nil {
		return err
	}
	// The answer to a call that was given up may still come and be decoded, so
	// it must not go where the caller reads.
	private := reflect.New(reflect.TypeOf(reply).Elem())
	call := c.Go(method, args, private.Interface(), make(chan *rpc.Call, 1))
	select {
	case <-ctx.Done():
		p.drop(addr, c)
		return ctx.Err()
	case <-call.Done:
	}
	if call.Error == nil {
		reflect.ValueOf(reply).Elem().Set(private.Elem())
	}
	var remote rpc.ServerError
	if call.Error != nil && !errors.As(call.Error, &remote) {
		p.drop(addr, c)
	}
	return call.Error
}

func (p *Pool) client(ctx context.Context, addr string) (*rpc.Client, error) {
	p.mu.Lock()
	c := p.conns[addr]
	p.mu.Unlock()
	if c != nil {
		return c, nil
	}
	c, err := p.dial(ctx, addr)
	if err != nil {
		return nil, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if other := p.conns[addr]; other != nil {
		_ = c.Close()
		return other, nil
	}
	p.conns[addr] = c
	return c, nil
}

func (p *Pool) dial(ctx context.Context, addr string) (*rpc.Client, error) {
	conn, err := p.dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	conn = &countedConn{Conn: conn, pool: p}
	if deadline, ok := ctx.Deadline(); ok {
		_ = conn.SetDeadline(deadline) // the handshake fails where this does
	}
	if err := handshake(conn); err != nil {
		_ = conn.Close()
		return nil, err
	}
	_ = conn.SetDeadline(noDeadline) // the first call fails where this does
	return rpc.NewClient(conn), nil
}

// handshake asks the HTTP server at the other end for net/rpc.
func handshake(conn net.Conn) error {
	if _, err := io.WriteString(conn, "CONNECT "+RPCPath+" HTTP/1.0\n\n"); err != nil {
		return err
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: http.MethodConnect})
	if err != nil {
		return err
	}
	if resp.Status != connected {
		return fmt.Errorf("peerconn: unexpected answer %q", resp.Status)
	}
	return nil
}

func (p *Pool) drop(addr string, c *rpc.Client) {
	p.mu.Lock()
	if p.conns[addr] == c {
		delete(p.conns, addr)
	}
	p.mu.Unlock()
	_ = c.Close()
}

// Close closes all connections.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for addr, c := range p.conns {
		_ = c.Close()
		delete(p.conns, addr)
	}
}
