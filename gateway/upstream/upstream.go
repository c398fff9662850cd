package upstream

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/silverdeck/silverdeck/responsehead"
	"github.com/silverdeck/silverdeck/roster"
	"github.com/silverdeck/silverdeck/verdict"
)

// Request is a request to an endpoint.
type Request struct {
	Method string
	// URI is the request target as received from the client.
	URI, Host string
	Header    http.Header
	Body      []byte
}

// Client sends requests to endpoints. It is safe for concurrent use.
type Client struct {
	dialer Dialer

	mu    sync.Mutex
	pools map[string]*idlePool
}

// Dialer opens connections to endpoints.
type Dialer interface {
	// DialContext opens a connection to addr; see net.Dialer.
	DialContext(ctx context.Context, network, addr string) (net.Conn, error)
}

// ClientOption configures a Client.
type ClientOption func(*Client)

// WithDialer replaces the dialer. Tests use it to connect over an in-memory network.
func WithDialer(d Dialer) ClientOption {
	return func(c *Client) { c.dialer = d }
}

// NewClient returns a Client without connections.
func NewClient(opts ...ClientOption) *Client {
	c := &Client{
		dialer: &net.Dialer{
			Timeout: dialTimeout,
			KeepAliveConfig: net.KeepAliveConfig{
				Enable:   true,
				Idle:     probeIdle,
				Interval: probeInterval,
				Count:    probeCount,
			},
		},
		pools: map[string]*idlePool{},
	}
	for _, o := range opts {
		o(c)
	}
	return c
}

// Prune closes idle connections that must not be reused: those to addresses without an
// endpoint, those to an endpoint that has restarted or been replaced by another one at its
// address, and those idle for too long. endpoints maps addresses to the endpoints that have
// them.
func (c *Client) Prune(endpoints map[string]roster.Incarnation, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for addr, p := range c.pools {
		owner, found := endpoints[addr]
		if !found {
			p.closeExpired(time.Time{})
			delete(c.pools, addr)
			continue
		}
		if !p.setOwner(owner) {
			p.closeExpired(time.Time{})
		}
		p.closeExpired(now)
	}
}

// pool returns the pool of idle connections to addr.
func (c *Client) pool(addr string) *idlePool {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.pools[addr]
	if p == nil {
		p = &idlePool{}
		c.pools[addr] = p
	}
	return p
}

// Exchange is a request whose response has begun.
type Exchange struct {
	Status int
	Header http.Header
	// RawHead is the head as it was received. It is valid until the exchange is closed.
	RawHead []byte
	// Length is the length of the body, or -1 if it is unknown.
	Length int64
	// Framing is how the end of the body is found.
	Framing Framing
	// NewConnection is set if a connection was opened for the request.
	NewConnection bool
	// Skipped is the number of responses to other requests that preceded this one.
	Skipped int

	response  *http.Response
	conn      *conn
	pool      *idlePool
	closeConn bool
	stopAbort func() bool
	complete  bool
	bytesRead int64
	closeOnce sync.Once
}

// Options configure the sending of a request.
type Options struct {
	// NewConnection requires a newly opened connection.
	NewConnection bool
	// Watchdog is used while waiting for the response headers. It may be nil.
	Watchdog *Watchdog
	// IsForeign reports whether a response with header h belongs to another request. Such a response
	// is skipped where the one that is due can follow it, and returned where not. Nil accepts all.
	IsForeign func(h http.Header, newConnection bool) bool
}

// TCP keep-alive probes, which detect a dead endpoint within five seconds.
const (
	// probeIdle is the idle time before the first probe.
	probeIdle = 2 * time.Second
	// probeInterval is the interval between probes.
	probeInterval = time.Second
	// probeCount is the number of probes that may go unanswered.
	probeCount = 3
)

// Do sends q to the endpoint at addr and waits for the response headers. When ctx ends, the
// connection is closed, even while the body is being read.
func (c *Client) Do(ctx context.Context, addr string, q *Request, o Options) (*Exchange, *verdict.Error) {
	pool := c.pool(addr)
	var cn *conn
	if !o.NewConnection {
		cn = pool.take(time.Now())
	}
	if cn == nil {
		opened, err := c.dialer.DialContext(ctx, "tcp4", addr)
		if err != nil {
			return nil, verdict.Classify(verdict.Dialing, cause(ctx, err))
		}
		cn = newConn(opened)
	}
	stop := context.AfterFunc(ctx, cn.abort)
	head, progress, err := cn.roundTrip(q, &o)
	if err != nil {
		stop()
		cn.abort()
		return nil, verdict.Classify(progress, cause(ctx, err))
	}
	return &Exchange{
		Status:        head.StatusCode,
		Header:        head.Header,
		RawHead:       head.raw,
		Length:        head.ContentLength,
		Framing:       framingOf(head.Response),
		NewConnection: !cn.reused,
		Skipped:       head.skipped,
		response:      head.Response,
		conn:          cn,
		pool:          pool,
		closeConn:     head.Close || head.skipped > 0,
		stopAbort:     stop,
	}, nil
}

// cause returns the reason why ctx ended, if it did, rather than the resulting connection
// error.
func cause(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return context.Cause(ctx)
	}
	return err
}

// Await waits until more of the body has arrived, or returns os.ErrDeadlineExceeded once w
// gives up.
func (x *Exchange) Await(w *Watchdog) error {
	if x.isRead() {
		return nil
	}
	return w.await(x.conn)
}

// AwaitRest is like Await for the rest of something that is of no use before it is complete: data that
// has arrived since the last call of Await does not delay giving up.
func (x *Exchange) AwaitRest(w *Watchdog) error {
	if x.isRead() {
		return nil
	}
	return w.awaitRest(x.conn)
}

// isRead reports whether the whole body was read, if its length is known.
func (x *Exchange) isRead() bool {
	return x.Length >= 0 && x.bytesRead >= x.Length
}

// Read reads the body. It returns io.EOF once the body is complete, and a MalformedError if it is not
// framed as the head says or HTTP does not allow its trailer.
func (x *Exchange) Read(p []byte) (int, error) {
	n, err := x.response.Body.Read(p)
	x.bytesRead += int64(n)
	if err == nil {
		return n, nil
	}
	if !errors.Is(err, io.EOF) {
		return n, x.conn.parseError(err)
	}
	if fault := responsehead.CheckNames(x.response.Trailer); fault != responsehead.NoFault {
		return n, &MalformedError{Err: &responsehead.Error{Fault: fault}}
	}
	x.complete = true
	return n, err
}

// Trailer returns the headers behind the last chunk of a body that was read.
func (x *Exchange) Trailer() http.Header {
	return x.response.Trailer
}

// Buffered returns the bytes that were received behind what was read. It is valid until the next read.
func (x *Exchange) Buffered() []byte {
	return x.conn.buffered()
}

// Surplus is like Buffered, but first receives what may have arrived since.
func (x *Exchange) Surplus() []byte {
	return x.conn.surplus()
}

// BytesRead returns the number of bytes of the body that were read.
func (x *Exchange) BytesRead() int64 {
	return x.bytesRead
}

// SetReadDeadline sets the deadline for reading the body.
func (x *Exchange) SetReadDeadline(t time.Time) {
	_ = x.conn.SetReadDeadline(t)
}

// Close ends the exchange. The connection is kept for reuse if the whole response was read and
// no further data followed. It is closed if the endpoint asked for that, and reset if the
// response is incomplete or the request was withdrawn.
func (x *Exchange) Close() {
	x.closeOnce.Do(func() {
		canceled := !x.stopAbort()
		switch {
		case !x.complete || canceled:
			x.conn.abort()
		case x.closeConn || x.conn.reader.Buffered() > 0:
			_ = x.conn.Close()
		default:
			_ = x.conn.SetReadDeadline(time.Time{})
			x.conn.setIdleDeadline(x.Header, time.Now())
			x.conn.releaseHead()
			x.pool.put(x.conn)
		}
	})
}
