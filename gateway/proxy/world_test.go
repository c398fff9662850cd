package proxy_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"

	"github.com/silverdeck/silverdeck/gateway/advisory"
	"github.com/silverdeck/silverdeck/gateway/balance"
	"github.com/silverdeck/silverdeck/gateway/header"
	"github.com/silverdeck/silverdeck/gateway/poison"
	"github.com/silverdeck/silverdeck/gateway/proxy"
	"github.com/silverdeck/silverdeck/gateway/upstream"
	"github.com/silverdeck/silverdeck/member"
	"github.com/silverdeck/silverdeck/roster"
	"github.com/silverdeck/silverdeck/routes"
	"github.com/silverdeck/silverdeck/wait"
)

// names are headers of this test's own.
var names = header.Names{
	RequestID: "Id", Deadline: "Deadline", Key: "Key", Account: "Account", Instance: "Instance",
	Priority: "Priority", Version: "Version", Weights: "Weights", Model: "Model", Tokens: "Tokens", Stamp: "Stamp",
	NotRun: "Not-Run", LastEvent: "Last-Event", RetryAfter: "Retry-After",
}

// endpoint answers requests on a connection as a test wants.
type endpoint struct {
	mu       sync.Mutex
	requests []*http.Request
	arrived  []time.Time
	bodies   []string
	// script has what is done with each request in turn; the last stays.
	script []step
	// conns are its open connections.
	conns map[net.Conn]bool
}

// step answers a request on c. It returns whether the connection goes on.
type step func(c net.Conn, r *http.Request) bool

// world is a gateway before endpoints e0, e1 and so on, on virtual time.
type world struct {
	g         *WithT
	proxy     *proxy.Proxy
	balancer  *balance.Balancer
	endpoints map[string]*endpoint
	// down has the endpoints that no connection can be opened to.
	downMu sync.Mutex
	down   map[string]bool
	// still is how long this process stands still once a connection of its has ended.
	still time.Duration
	// linkDelay is how long what is sent to an endpoint is on its way.
	linkDelay  time.Duration
	minVersion atomic.Int64
	// newest is the newest version that was named.
	newest atomic.Int64
	// weightsEnd is when no request may begin on version 1 any more.
	weightsEnd time.Time
	// metrics are the gateway's.
	metrics *proxy.Metrics
	// draw is what the gateway draws, in thousandths.
	draw   atomic.Int64
	client *upstream.Client
	budget *proxy.Budget
	// poison is what it knows of requests under which endpoints ended, trials are the leases
	// on them.
	poison *poison.Table
	trials *poison.Trials
	// lines are what the gateway logs, in JSON.
	lines lines
	// beat is what the gateway had in progress at its last heartbeat.
	beatMu sync.Mutex
	beat   map[roster.Life]int
	// self is the gateway in a fleet.
	self member.Entry
	// askToken asks another gateway for a request at an endpoint that it holds.
	askToken func(context.Context, roster.Life) bool
}

// lines takes log lines of several goroutines.
type lines struct {
	mu sync.Mutex
	b  bytes.Buffer
}

// Write implements io.Writer.
func (l *lines) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

// with returns the lines with a message.
func (l *lines) with(message string) []map[string]any {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []map[string]any
	for _, line := range bytes.Split(l.b.Bytes(), []byte("\n")) {
		var fields map[string]any
		if json.Unmarshal(line, &fields) == nil && fields["msg"] == message {
			out = append(out, fields)
		}
	}
	return out
}

// longestStep is longer than any step of an endpoint takes.
const longestStep = 20 * time.Second

// play runs f in a world of endpoints that answer by scripts.
func play(t *testing.T, f func(w *world), scripts ...[]step) {
	synctest.Test(t, func(t *testing.T) {
		w := &world{g: NewWithT(t), endpoints: map[string]*endpoint{}, down: map[string]bool{}, metrics: proxy.NewMetrics(metrics.NewRegistry())}
		list := &roster.List{Revision: 1, Endpoints: map[string]*roster.Endpoint{}}
		for i, s := range scripts {
			id := fmt.Sprintf("e%d", i)
			w.endpoints[id] = &endpoint{script: s}
			list.Endpoints[id] = &roster.Endpoint{ID: id, Service: "s", Addr: id, Zone: "a", Slots: 2,
				Weights: []roster.Weights{{Model: "m", Version: 1}}}
		}
		w.balancer = balance.New(balance.Config{Zone: "a", OtherLoad: func(roster.Life) int { return 0 }, Random: func() float64 { return 0 }})
		w.balancer.Update(list)
		w.balancer.SetPreferred(map[string]bool{"e0": true})
		held := map[string]bool{}
		for id := range list.Endpoints {
			held[id] = true
		}
		w.balancer.SetHeld(held, time.Now())
		w.client = upstream.NewClient(upstream.WithDialer(w))
		w.budget = proxy.NewBudget(0.2, 100, 10*time.Second, func() int { return 1 })
		w.poison, w.trials = poison.NewTable(func(poison.Change) {}), poison.NewTrials()
		w.proxy = w.newProxy()
		w.proxy.Use(configuration())
		ctx, cancel := context.WithCancel(context.Background())
		go w.touch(ctx)
		defer func() { // also where f ends the test
			cancel()
			time.Sleep(longestStep)
			synctest.Wait()
			w.client.Keep(nil, time.Now())
		}()
		f(w)
	})
}

// newProxy returns a gateway without a configuration.
func (w *world) newProxy() *proxy.Proxy {
	return proxy.New(proxy.Config{
		Headers: names, Balancer: w.balancer, Client: w.client, Budget: w.budget,
		Metrics: w.metrics, Log: log.NewWithOptions(&w.lines, log.Options{Formatter: log.JSONFormatter}),
		WeightsEnd:   func(string, int64) (time.Time, bool) { return w.weightsEnd, !w.weightsEnd.IsZero() },
		Newest:       func(string) int64 { return w.newest.Load() },
		ReadAdvisory: readAdvisory,
		AskToken:     w.askToken,
		Poison:       w.poison, Trial: w.trial,
		MinVersion: func(string) int64 { return w.minVersion.Load() }, Random: func() float64 { return float64(w.draw.Load()) / 1000 },
	})
}

// readAdvisory reads the headers of this test's own.
func readAdvisory(status int, h http.Header) advisory.Advisory {
	a := advisory.Advisory{Limit: advisory.Unlimited{}, Leaving: h.Get("Leaving") != ""}
	if rest, err := time.ParseDuration(h.Get("Rest")); err == nil && status == http.StatusServiceUnavailable {
		a.Rest = rest
	}
	if value := h.Get("Limit"); value != "" {
		rate, err := strconv.ParseFloat(value, 64)
		if err != nil {
			return advisory.Advisory{Limit: advisory.Unknown{}, Unreadable: []string{"Limit: " + value}}
		}
		a.Limit = advisory.PerSecond(rate)
	}
	return a
}

// setDown makes connections to an endpoint be refused, or taken again.
func (w *world) setDown(id string, down bool) {
	w.downMu.Lock()
	defer w.downMu.Unlock()
	w.down[id] = down
}

func (w *world) isDown(id string) bool {
	w.downMu.Lock()
	defer w.downMu.Unlock()
	return w.down[id]
}

// trial gives leases as a gateway that is alone does.
func (w *world) trial(_ context.Context, k poison.Key, d time.Duration) (func(), bool) {
	return func() { w.trials.End(k, "") }, w.trials.Begin(k, "", d, time.Now())
}

// useBudget makes the gateway's retry budget b.
func (w *world) useBudget(b *proxy.Budget) {
	w.budget = b
	w.proxy = w.newProxy()
	w.proxy.Use(configuration())
}

// touch lets the entry hear others, as heartbeats do.
func (w *world) touch(ctx context.Context) {
	for wait.For(ctx, 100*time.Millisecond) {
		w.balancer.NoteTraffic(time.Now())
	}
}

// configuration has a route of each kind on host h.
func configuration() *routes.Config {
	target := []routes.Target{{Service: "s", Weight: 1}}
	c := routes.New([]*routes.Route{
		{Name: "unsafe", Host: "h", Prefix: "/unsafe/", Kind: routes.Unsafe, Timeout: 2 * time.Second, LatencyTarget: 100 * time.Millisecond, Attempts: 2, Targets: target},
		{Name: "safe", Host: "h", Prefix: "/safe/", Kind: routes.Safe, Timeout: 2 * time.Second, LatencyTarget: 100 * time.Millisecond, Attempts: 2, Targets: target},
		{Name: "stream", Host: "h", Prefix: "/stream/", Kind: routes.Stream, Timeout: 6 * time.Second, LatencyTarget: 400 * time.Millisecond,
			GapTarget: 300 * time.Millisecond, Attempts: 2, Resume: true, Priority: 3, Targets: target},
		{Name: "brief", Host: "h", Prefix: "/brief/", Kind: routes.Stream, Timeout: 6 * time.Second, LatencyTarget: 300 * time.Millisecond,
			GapTarget: 300 * time.Millisecond, Attempts: 2, Resume: true, Priority: 3, Targets: target},
		{Name: "once", Host: "h", Prefix: "/once/", Kind: routes.Stream, Timeout: 6 * time.Second, LatencyTarget: 400 * time.Millisecond,
			GapTarget: 300 * time.Millisecond, Attempts: 2, Targets: target},
		{Name: "public", Host: "h", Prefix: "/public/", Kind: routes.Unsafe, Timeout: time.Second, Attempts: 1, Public: true, Targets: target},
	}, map[string]*routes.Account{"secret": {Name: "acme"}})
	c.Version, c.Revision = 1, 1
	c.Limits.BodyBytes = 64
	c.Services["s"] = &routes.Service{}
	return c
}

// DialContext implements upstream.Dialer.
func (w *world) DialContext(_ context.Context, _, addr string) (net.Conn, error) {
	e := w.endpoints[addr]
	if e == nil || w.isDown(addr) {
		return nil, syscall.ECONNREFUSED
	}
	near, far := net.Pipe()
	e.keep(far)
	go e.serve(far)
	if w.still > 0 {
		return &stillConn{Conn: near, still: w.still}, nil
	}
	if w.linkDelay == 0 {
		return near, nil
	}
	return &slowLink{Conn: near, delay: w.linkDelay}, nil
}

func (e *endpoint) keep(c net.Conn) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.conns == nil {
		e.conns = map[net.Conn]bool{}
	}
	e.conns[c] = true
}

// closeAll breaks all connections.
func (e *endpoint) closeAll() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for c := range e.conns {
		_ = c.Close()
	}
	e.conns = nil
}

func (e *endpoint) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, _ := io.ReadAll(r.Body)
		r.Body = io.NopCloser(bytes.NewReader(body))
		if !e.take(r, string(body))(c, r) {
			return
		}
	}
}

func (e *endpoint) take(r *http.Request, body string) step {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.requests = append(e.requests, r)
	e.arrived = append(e.arrived, time.Now())
	e.bodies = append(e.bodies, body)
	s := e.script[0]
	if len(e.script) > 1 {
		e.script = e.script[1:]
	}
	return s
}

// body returns the body of the first request that came.
func (e *endpoint) body() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.bodies[0]
}

// request returns the first request that came.
func (e *endpoint) request() *http.Request {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.requests[0]
}

// arrivals returns when requests came.
func (e *endpoint) arrivals() []time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.arrived
}

func (e *endpoint) count() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.requests)
}

// answer is what a caller got.
type answer struct {
	*httptest.ResponseRecorder
	// cut is set when the connection was closed in the middle.
	cut  bool
	took time.Duration
}

// ask sends a request with a key and returns the answer.
func (w *world) ask(method, path, body string, header ...string) answer {
	return w.askAs(context.Background(), method, path, body, append([]string{"Key", "secret"}, header...)...)
}

func (w *world) askAs(ctx context.Context, method, path, body string, header ...string) (a answer) {
	r := httptest.NewRequestWithContext(ctx, method, "http://h"+path, strings.NewReader(body))
	r.RequestURI = path
	r.Header.Set("Id", "r1")
	r.Header.Set("Model", "m")
	for i := 0; i < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	a.ResponseRecorder = httptest.NewRecorder()
	began := time.Now()
	defer func() {
		if p := recover(); p != nil {
			w.g.Expect(p).To(Equal(http.ErrAbortHandler))
			a.cut = true
		}
		a.took = time.Since(began)
	}()
	w.proxy.ServeHTTP(a, r)
	return a
}

// text answers with status, header lines and a body of known length.
func text(status int, body string, header ...string) step {
	return func(c net.Conn, r *http.Request) bool {
		var b strings.Builder
		fmt.Fprintf(&b, "HTTP/1.1 %d X\r\nId: %s\r\nStamp: st\r\nContent-Length: %d\r\n", status, r.Header.Get("Id"), len(body))
		for _, h := range header {
			b.WriteString(h + "\r\n")
		}
		_, err := io.WriteString(c, b.String()+"\r\n"+body)
		return err == nil
	}
}

// raw writes bytes and closes the connection.
func raw(s string) step {
	return func(c net.Conn, _ *http.Request) bool {
		_, _ = io.WriteString(c, s)
		return false
	}
}

// hang says nothing until the other side closes.
func hang(c net.Conn, _ *http.Request) bool {
	_, _ = io.Copy(io.Discard, c)
	return false
}

// events streams events by id, with a pause before each, and then goes on with rest.
func events(pause time.Duration, rest step, ids ...int) step {
	return func(c net.Conn, r *http.Request) bool {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nStamp: st\r\nTransfer-Encoding: chunked\r\n\r\n", r.Header.Get("Id"))
		for _, id := range ids {
			time.Sleep(pause)
			event := fmt.Sprintf("id: %d\ndata: x\n\n", id)
			if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event); err != nil {
				return false
			}
		}
		return rest(c, r)
	}
}

// chunks sends pieces of a stream and returns whether they went out.
func chunks(c net.Conn, pieces ...string) bool {
	for _, piece := range pieces {
		if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(piece), piece); err != nil {
			return false
		}
	}
	return true
}

// end ends a stream as it should.
func end(c net.Conn, _ *http.Request) bool {
	_, err := io.WriteString(c, "0\r\n\r\n")
	return err == nil
}

// stream returns the events with ids as a caller sees them.
func stream(ids ...int) string {
	var b strings.Builder
	for _, id := range ids {
		fmt.Fprintf(&b, "id: %d\ndata: x\n\n", id)
	}
	return b.String()
}
