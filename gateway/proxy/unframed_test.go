package proxy_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"

	"github.com/silverdeck/silverdeck/gateway/balance"
	"github.com/silverdeck/silverdeck/gateway/poison"
	"github.com/silverdeck/silverdeck/gateway/proxy"
	"github.com/silverdeck/silverdeck/gateway/upstream"
	"github.com/silverdeck/silverdeck/roster"
	"github.com/silverdeck/silverdeck/serve"
)

// socketGateway is a gateway whose callers and endpoints are connected by TCP, which shows how a
// response is framed and how its connection ends.
type socketGateway struct {
	g         *WithT
	addr      string
	endpoints []*endpoint
}

// startSocketGateway starts a gateway and one endpoint for each script.
func startSocketGateway(t *testing.T, scripts ...[]handler) *socketGateway {
	t.Helper()
	w := &harness{g: NewWithT(t), metrics: proxy.NewMetrics(metrics.NewRegistry())}
	s := &socketGateway{g: w.g}
	list := &roster.List{Revision: 1, Endpoints: map[string]*roster.Endpoint{}}
	for i, script := range scripts {
		id := fmt.Sprintf("e%d", i)
		e := &endpoint{script: script}
		s.endpoints = append(s.endpoints, e)
		list.Endpoints[id] = &roster.Endpoint{ID: id, Service: "s", Addr: s.serveEndpoint(t, e), Zone: "a", Slots: 2,
			Weights: []roster.Weights{{Model: "m", Version: 1}}}
	}
	w.balancer = balance.New(balance.Config{Zone: "a", OtherLoad: func(roster.Incarnation) int { return 0 }, Random: func() float64 { return 0 }})
	w.balancer.Update(list)
	w.balancer.SetPreferred(map[string]bool{"e0": true})
	w.client = upstream.NewClient()
	w.budget = proxy.NewBudget(0.2, 100, 10*time.Second, func() int { return 1 })
	w.poison, w.trials = poison.NewTable(func(poison.Change) {}), poison.NewTrials()
	w.proxy = w.newTestProxy()
	w.proxy.SetConfig(configuration())
	server, err := serve.Listen("127.0.0.1:0", w.proxy, serve.Limits{HeaderBytes: 1 << 16, HeaderTimeout: time.Minute, IdleTimeout: time.Minute}, log.New(io.Discard))
	w.g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = server.Shutdown(context.Background()) })
	s.addr = server.Addr().String()
	return s
}

// serveEndpoint serves e on a port of its own and returns the address.
func (s *socketGateway) serveEndpoint(t *testing.T, e *endpoint) string {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	s.g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go e.serve(c)
		}
	}()
	return listener.Addr().String()
}

// received is what a caller reads from its connection.
type received struct {
	status int
	// framing is length, chunks or close.
	framing string
	body    string
	// err is how reading the body failed, or nil if it ended as its framing says.
	err error
}

// looksComplete reports whether the framing says that the body is complete.
func (r *received) looksComplete() bool {
	return r.err == nil && r.framing != "close"
}

// send sends a request on a new connection.
func (s *socketGateway) send(path, protocol string) received {
	c, err := net.Dial("tcp4", s.addr)
	s.g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = c.Close() }()
	_, err = fmt.Fprintf(c, "POST %s %s\r\nHost: h\r\nId: r1\r\nModel: m\r\nKey: secret\r\nContent-Length: 0\r\n\r\n", path, protocol)
	s.g.Expect(err).NotTo(HaveOccurred())
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	s.g.Expect(err).NotTo(HaveOccurred())
	out := received{status: resp.StatusCode, framing: "close"}
	switch {
	case resp.ContentLength >= 0:
		out.framing = "length"
	case len(resp.TransferEncoding) > 0:
		out.framing = "chunks"
	}
	body, err := io.ReadAll(resp.Body)
	out.body, out.err = string(body), err
	return out
}

// unframed returns a handler that sends a response with neither a length nor chunks, and closes the
// connection.
func unframed(status int, contentType, body string) handler {
	return func(c net.Conn, r *http.Request) bool {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 %d X\r\nId: %s\r\nStamp: st\r\nContent-Type: %s\r\n\r\n%s", status, r.Header.Get("Id"), contentType, body)
		return false
	}
}

// unframedReset is like unframed, but the connection is reset once the caller has read the body.
func unframedReset(contentType, body string) handler {
	return func(c net.Conn, r *http.Request) bool {
		unframed(http.StatusOK, contentType, body)(c, r)
		time.Sleep(50 * time.Millisecond) // until the body was forwarded
		_ = c.(*net.TCPConn).SetLinger(0)
		return false
	}
}

// scriptsOf returns a script for each handler of a first request that is not nil. later handles all further
// requests, unless it is nil.
func scriptsOf(later handler, first ...handler) [][]handler {
	var out [][]handler
	for _, h := range first {
		switch {
		case h != nil && later != nil:
			out = append(out, []handler{h, later})
		case h != nil:
			out = append(out, []handler{h})
		}
	}
	return out
}

// cut closes the connection without ending the response.
func cut(net.Conn, *http.Request) bool {
	return false
}

const (
	textType   = "text/plain"
	jsonType   = "application/json"
	eventsType = "text/event-stream"
)

// TestAnAnswerWithoutALengthIsNotFramedAsComplete guards against a promise that the endpoint did not give.
func TestAnAnswerWithoutALengthIsNotFramedAsComplete(t *testing.T) {
	long := strings.Repeat("0123456789", 1<<20)
	for _, tc := range []struct {
		name, path, protocol string
		first, second        handler
		// later handles all requests but the first of each endpoint.
		later         handler
		status        int
		framing, body string
		err           error
	}{
		{name: "a plain one", path: "/unsafe/x", first: unframed(200, textType, "hello"), status: 200, framing: "close", body: "hello"},
		{name: "an empty one", path: "/unsafe/x", first: unframed(200, textType, ""), status: 200, framing: "close"},
		{name: "an error", path: "/unsafe/x", first: unframed(500, textType, "fail"), status: 500, framing: "close", body: "fail"},
		{name: "a JSON value", path: "/unsafe/x", first: unframed(200, jsonType, `{"a":1}`), status: 200, framing: "close", body: `{"a":1}`},
		{name: "text that is called JSON", path: "/unsafe/x", first: unframed(200, jsonType, "hello"), status: 200, framing: "close", body: "hello"},
		{name: "a JSON value that is not closed", path: "/unsafe/x", first: unframed(200, jsonType, `{"a":`), status: 502, framing: "length"},
		{name: "no JSON value", path: "/unsafe/x", first: unframed(200, jsonType, ""), status: 502, framing: "length"},
		{name: "a JSON value that is not closed, on a route that allows repetition", path: "/safe/x",
			first: unframed(200, jsonType, `{"a":`), second: respond(200, `{"a":1}`), status: 200, framing: "length", body: `{"a":1}`},
		{name: "errors, of which the first is returned", path: "/safe/x",
			first: unframed(500, textType, "fail"), second: respond(500, "other"), status: 500, framing: "close", body: "fail"},
		{name: "a long one", path: "/unsafe/x", first: unframed(200, textType, long), status: 200, framing: "close", body: long},
		{name: "a long one that is reset", path: "/unsafe/x", first: unframedReset(textType, long), status: 200, framing: "close", body: "*", err: syscall.ECONNRESET},
		{name: "a stream", path: "/once/x", first: unframed(200, eventsType, stream(1, 2)), status: 200, framing: "close", body: stream(1, 2)},
		{name: "a stream that may be resumed", path: "/stream/x", first: unframed(200, eventsType, stream(1, 2)), second: hang,
			status: 200, framing: "close", body: stream(1, 2)},
		{name: "a stream that ends inside an event", path: "/once/x", first: unframed(200, eventsType, stream(1)+"id: 2\nda"),
			status: 200, framing: "close", body: "*", err: syscall.ECONNRESET},
		{name: "a stream that is reset", path: "/once/x", first: unframedReset(eventsType, stream(1)),
			status: 200, framing: "close", body: "*", err: syscall.ECONNRESET},
		{name: "a stream without events", path: "/once/x", first: unframed(200, eventsType, ""), status: 502, framing: "length"},
		{name: "a stream without events that may be resumed", path: "/stream/x",
			first: unframed(200, eventsType, ""), second: events(0, end, 1, 2), status: 200, framing: "chunks", body: stream(1, 2)},
		{name: "the rest of a stream that began with chunks", path: "/stream/x",
			first: events(0, cut, 1), second: unframed(200, eventsType, stream(2)), later: respond(500, "fail"),
			status: 200, framing: "chunks", body: stream(1, 2), err: io.ErrUnexpectedEOF},
		{name: "the rest of a stream that began with chunks, whose end another endpoint marks", path: "/stream/x",
			first: events(0, cut, 1), second: unframed(200, eventsType, stream(2)), later: events(0, end),
			status: 200, framing: "chunks", body: stream(1, 2)},
		{name: "the first part of a stream that ends with chunks", path: "/stream/x",
			first: unframed(200, eventsType, stream(1)+"id: 2\nda"), second: events(0, end, 2), status: 200, framing: "close", body: stream(1, 2)},
		{name: "a stream to a caller without chunks", path: "/once/x", protocol: "HTTP/1.0",
			first: events(0, end, 1, 2), status: 200, framing: "close", body: stream(1, 2)},
		{name: "a stream that is cut, to a caller without chunks", path: "/once/x", protocol: "HTTP/1.0",
			first: events(0, cut, 1), status: 200, framing: "close", body: "*", err: syscall.ECONNRESET},
	} {
		t.Run(tc.name, func(t *testing.T) {
			if tc.protocol == "" {
				tc.protocol = "HTTP/1.1"
			}
			got := startSocketGateway(t, scriptsOf(tc.later, tc.first, tc.second)...).send(tc.path, tc.protocol)
			g := NewWithT(t)
			g.Expect(got.status).To(Equal(tc.status))
			g.Expect(got.framing).To(Equal(tc.framing))
			if tc.err == nil {
				g.Expect(got.err).NotTo(HaveOccurred())
			} else {
				g.Expect(got.err).To(MatchError(tc.err))
				g.Expect(got.looksComplete()).To(BeFalse())
			}
			if tc.status < http.StatusBadGateway && tc.body != "*" {
				g.Expect(got.body).To(Equal(tc.body))
			}
		})
	}
}

// TestAnAnswerWithoutALengthCostsItsConnectionAlone guards against reuse of the endpoint's connection and loss of the caller's next request.
func TestAnAnswerWithoutALengthCostsItsConnectionAlone(t *testing.T) {
	s := startSocketGateway(t, []handler{unframed(200, textType, "one"), respond(200, "two"), respond(200, "three")})
	for i, want := range []string{"one", "two", "three"} {
		got := s.send("/unsafe/x", "HTTP/1.1")
		s.g.Expect(got.status).To(Equal(200), strconv.Itoa(i))
		s.g.Expect(got.err).NotTo(HaveOccurred())
		s.g.Expect(got.body).To(Equal(want))
	}
	s.g.Expect(s.endpoints[0].count()).To(Equal(3))
}

// TestARefusalWithoutALengthIsNotReadToItsEnd guards against waiting for a connection that can't be reused.
func TestARefusalWithoutALengthIsNotReadToItsEnd(t *testing.T) {
	refusal := func(c net.Conn, r *http.Request) bool {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 503 X\r\nId: %s\r\nNot-Run: 1\r\n\r\n", r.Header.Get("Id"))
		return hang(c, r)
	}
	runHarness(t, func(w *harness) {
		got := w.send("POST", "/unsafe/x", "")
		w.g.Expect(got.Body.String()).To(Equal("hello"))
		w.g.Expect(got.elapsed).To(BeNumerically("<", time.Millisecond))
	}, []handler{refusal}, []handler{respond(200, "hello")})
}
