package upstream

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/silverdeck/silverdeck/roster"
	"github.com/silverdeck/silverdeck/verdict"
)

// Request is what is sent to an endpoint.
type Request struct {
	Method string
	// URI is the request target as the caller sent it.
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

// ClientOption changes a Client.
type ClientOption func(*Client)

// WithDialer sets what opens connections; tests connect by a network in memory.
func WithDialer(d Dialer) ClientOption {
	return func(c *Client) { c.dialer = d }
}

// NewClient returns a Client without connections.
func NewClient(opts ...ClientOption) *Client {
	c := &Client{
		dialer: &net.Dialer{
			Timeout: dialLimit,
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

// Keep closes the idle connections to addresses that no endpoint has any more, those to
// one that has started again or that another has now, and those that have rested too long.
// endpoints tells who has an address.
func (c *Client) Keep(endpoints map[string]roster.Incarnation, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for addr, p := range c.pools {
		owner, found := endpoints[addr]
		if !found {
			p.sweep(time.Time{})
			delete(c.pools, addr)
			continue
		}
		if !p.ownedBy(owner) {
			p.sweep(time.Time{})
		}
		p.sweep(now)
	}
}

// pool returns the idle connections to addr.
func (c *Client) pool(addr string) *idlePool {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.pools[addr]
	if s == nil {
		s = &idlePool{}
		c.pools[addr] = s
	}
	return s
}

// Exchange is a request whose answer has begun.
type Exchange struct {
	Status int
	Header http.Header
	// Length is the body's length, or -1 when it is not told.
	Length int64
	// NewConnection is set when a connection was opened for it.
	NewConnection bool

	body   io.ReadCloser
	conn   *conn
	pool   *idlePool
	close  bool
	stop   func() bool
	ended  bool
	read   int64
	finish sync.Once
}

// Options say how a request is sent.
type Options struct {
	// Fresh asks for a connection that was not used before.
	Fresh bool
	// Watch is asked while the head of the answer is awaited; nil means never.
	Watch *Watch
}

// Probes by which TCP finds a dead endpoint within five seconds.
const (
	// probeIdle is how long a connection rests before the first.
	probeIdle = 2 * time.Second
	// probeInterval is the time between two.
	probeInterval = time.Second
	// probeCount is how many may go unanswered.
	probeCount = 3
)

// Do sends q to the endpoint at addr and waits for the head of the answer. A
// failure is a *verdict.Error. When ctx ends the connection is closed, also
// while the body is read.
func (c *Client) Do(ctx context.Context, addr string, q *Request, o Options) (*Exchange, *verdict.Error) {
	pool := c.pool(addr)
	var cn *conn
	if !o.Fresh {
		cn = pool.take(time.Now())
	}
	if cn == nil {
		opened, err := c.dialer.DialContext(ctx, "tcp4", addr)
		if err != nil {
			return nil, verdict.Classify(verdict.Dialing, cause(ctx, err))
		}
		cn = &conn{Conn: opened, reader: bufio.NewReaderSize(opened, readBuffer)}
	}
	stop := context.AfterFunc(ctx, cn.abort)
	head, progress, err := cn.roundTrip(q, o.Watch)
	if err != nil {
		stop()
		cn.abort()
		return nil, verdict.Classify(progress, cause(ctx, err))
	}
	return &Exchange{
		Status:        head.StatusCode,
		Header:        head.Header,
		Length:        head.ContentLength,
		NewConnection: !cn.reused,
		body:          head.Body,
		conn:          cn,
		pool:          pool,
		close:         head.Close,
		stop:          stop,
	}, nil
}

// cause prefers the reason for which ctx ended to what that did to a connection.
func cause(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return context.Cause(ctx)
	}
	return err
}

// roundTrip writes q and reads the head of the answer.
func (c *conn) roundTrip(q *Request, w *Watch) (*http.Response, verdict.Progress, error) {
	n, err := c.Write(encode(q))
	if err != nil {
		if n == 0 && !errors.Is(err, net.ErrClosed) {
			return nil, verdict.Connected, err
		}
		return nil, verdict.Written, err
	}
	if err := w.await(c); err != nil {
		return nil, verdict.Written, err
	}
	for {
		resp, err := http.ReadResponse(c.reader, &http.Request{Method: q.Method})
		if err != nil {
			return nil, verdict.Written, err
		}
		if resp.StatusCode >= http.StatusOK {
			return resp, verdict.Answering, nil
		}
	}
}

// headRoom is the usual size of a request's head, in bytes.
const headRoom = 512

// encode returns q as it is sent.
func encode(q *Request) []byte {
	b := make([]byte, 0, headRoom+len(q.Body))
	b = append(b, q.Method...)
	b = append(b, ' ')
	b = append(b, q.URI...)
	b = append(b, " HTTP/1.1\r\nHost: "...)
	b = append(b, q.Host...)
	b = append(b, "\r\n"...)
	for name, values := range q.Header {
		for _, v := range values {
			b = append(b, name...)
			b = append(b, ": "...)
			b = append(b, v...)
			b = append(b, "\r\n"...)
		}
	}
	if len(q.Body) > 0 || (q.Method != http.MethodGet && q.Method != http.MethodHead) {
		b = append(b, "Content-Length: "...)
		b = strconv.AppendInt(b, int64(len(q.Body)), 10)
		b = append(b, "\r\n"...)
	}
	b = append(b, "\r\n"...)
	return append(b, q.Body...)
}

// Await waits until more of the body has come, or returns
// os.ErrDeadlineExceeded once w gives up.
func (x *Exchange) Await(w *Watch) error {
	if x.Length >= 0 && x.read >= x.Length {
		return nil
	}
	return w.await(x.conn)
}

// Read reads the body; io.EOF says that it is whole.
func (x *Exchange) Read(p []byte) (int, error) {
	n, err := x.body.Read(p)
	x.read += int64(n)
	if errors.Is(err, io.EOF) {
		x.ended = true
	}
	return n, err
}

// SetReadLimit bounds the time of reading until t.
func (x *Exchange) SetReadLimit(t time.Time) {
	_ = x.conn.SetReadDeadline(t)
}

// Close ends the exchange. The connection is kept when the whole answer was
// read and nothing came after it. It is closed where the endpoint asked for that,
// and reset where the request was withdrawn.
func (x *Exchange) Close() {
	x.finish.Do(func() {
		canceled := !x.stop()
		switch {
		case !x.ended || canceled:
			x.conn.abort()
		case x.close || x.conn.reader.Buffered() > 0:
			_ = x.conn.Close()
		default:
			_ = x.conn.SetReadDeadline(time.Time{})
			x.conn.rest(x.Header, time.Now())
			x.pool.put(x.conn)
		}
	})
}
