// Package peerconn implements calls between silverdeck processes, using net/rpc over HTTP on
// their peer ports. A Pool owns the connections that a process keeps to its peers. Each call
// returns when its context ends.
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

	"github.com/silverdeck/silverdeck/responsehead"
)

// RPCPath is the path of the net/rpc handler on a peer port.
const RPCPath = "/rpc"

// connectStatus is the status with which net/rpc accepts a CONNECT request.
const connectStatus = "200 Connected to Go RPC"

// maxIdleConnsPerPeer is the number of idle HTTP connections kept to each peer.
const maxIdleConnsPerPeer = 3

// Dialer opens connections to peer ports.
type Dialer interface {
	// DialContext connects to addr. See net.Dialer.
	DialContext(ctx context.Context, network, addr string) (net.Conn, error)
}

// Pool maintains one connection to each peer. It is safe for concurrent use.
type Pool struct {
	dialer Dialer

	// sent and received count the bytes on all connections that the pool opened.
	sent, received atomic.Int64

	mu    sync.Mutex
	conns map[string]*rpc.Client
}

// Traffic returns the number of bytes sent and received on the connections that this process
// opened. Connections that peers opened are not included.
func (p *Pool) Traffic() (sent, received int64) {
	return p.sent.Load(), p.received.Load()
}

// countingConn adds the bytes that are read and written to the pool's counters.
type countingConn struct {
	net.Conn
	pool *Pool
}

// Read implements net.Conn.
func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.pool.received.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.pool.sent.Add(int64(n))
	return n, err
}

// NewPool returns a Pool that opens connections with d.
func NewPool(d Dialer) *Pool {
	return &Pool{dialer: d, conns: map[string]*rpc.Client{}}
}

// Call calls method at addr and waits for the reply or for ctx to end. If ctx ends first, the
// connection is closed, so that a peer that hangs cannot block further calls.
func (p *Pool) Call(ctx context.Context, addr, method string, args, reply any) error {
	c, err := p.client(ctx, addr)
	if err != nil {
		return err
	}
	// The reply to an abandoned call may still arrive and be decoded, so it is decoded into a
	// separate value that the caller does not access.
	result := reflect.New(reflect.TypeOf(reply).Elem())
	call := c.Go(method, args, result.Interface(), make(chan *rpc.Call, 1))
	select {
	case <-ctx.Done():
		p.remove(addr, c)
		return ctx.Err()
	case <-call.Done:
	}
	if call.Error == nil {
		reflect.ValueOf(reply).Elem().Set(result.Elem())
	}
	var remote rpc.ServerError
	if call.Error != nil && !errors.As(call.Error, &remote) {
		p.remove(addr, c)
	}
	return call.Error
}

// client returns the connection to addr, which it opens if there is none.
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
	conn = &countingConn{Conn: conn, pool: p}
	if deadline, ok := ctx.Deadline(); ok {
		_ = conn.SetDeadline(deadline) // if this fails, so does the handshake
	}
	if err := handshake(conn); err != nil {
		_ = conn.Close()
		return nil, err
	}
	_ = conn.SetDeadline(noDeadline) // if this fails, so does the first call
	return rpc.NewClientWithCodec(&clientCodec{codec: newCodec(conn)}), nil
}

// handshake switches the connection from HTTP to net/rpc with a CONNECT request.
func handshake(conn net.Conn) error {
	if _, err := io.WriteString(conn, "CONNECT "+RPCPath+" HTTP/1.0\n\n"); err != nil {
		return err
	}
	head := io.LimitReader(conn, responsehead.MaxBytes)
	resp, err := http.ReadResponse(bufio.NewReader(head), &http.Request{Method: http.MethodConnect})
	if err != nil {
		return err
	}
	if fault := responsehead.CheckNames(resp.Header); fault != responsehead.NoFault {
		return &responsehead.Error{Fault: fault}
	}
	if resp.Status != connectStatus {
		return fmt.Errorf("peerconn: unexpected status %q for CONNECT %s", resp.Status, RPCPath)
	}
	return nil
}

// remove removes c from the pool and closes it.
func (p *Pool) remove(addr string, c *rpc.Client) {
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

// NewHTTPClient returns a client of the HTTP handlers on peer ports that connects with d.
func NewHTTPClient(d Dialer) *http.Client {
	t := &http.Transport{DialContext: d.DialContext, MaxIdleConnsPerHost: maxIdleConnsPerPeer}
	return &http.Client{Transport: responsehead.NewTransport(t)}
}
