package gateway_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/silverdeck/silverdeck/platform"
	"github.com/silverdeck/silverdeck/standin"
)

// Times of a planned stop.
const (
	stopGrace = 4 * time.Second
	// stopTimeout is the timeout of the routes but that of /long/.
	stopTimeout = 3 * time.Second
	// lossSlack is how long after its last byte a request may end without an answer if no endpoint had it, from the
	// platform's rules.
	lossSlack = 200 * time.Millisecond
	// rejectLimit is how long a request that can't be served may wait for its answer.
	rejectLimit = time.Second
	// bodyPause is the time between two bytes of a body that arrives in pieces.
	bodyPause = 50 * time.Millisecond
)

// stopRoutes is a configuration with a route for each kind of request. Requests to /long/ may take longer than the grace.
const stopRoutes = `{"version":3,"routes":[
	{"name":"once","hostname":"h","path_prefix":"/once/","kind":"unsafe","timeout_ms":3000,"service":"llm"},
	{"name":"long","hostname":"h","path_prefix":"/long/","kind":"unsafe","timeout_ms":9000,"service":"llm"},
	{"name":"queued","hostname":"h","path_prefix":"/queued/","kind":"unsafe","timeout_ms":3000,"service":"narrow"},
	{"name":"stream","hostname":"h","path_prefix":"/stream/","kind":"streaming","timeout_ms":3000,"target_latency_ms":400,"gap_target_ms":500,"service":"llm"}],
	"services":[{"name":"llm"},{"name":"narrow"}]}`

// workingEndpoint works as long as the last part of a path says, and keeps the IDs of the requests that it had.
type workingEndpoint struct {
	mu  sync.Mutex
	had map[string]bool
}

func (e *workingEndpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Silverdeck-Attempt-Id")
	e.mu.Lock()
	e.had[id] = true
	e.mu.Unlock()
	work, _ := time.ParseDuration(r.URL.Path[strings.LastIndex(r.URL.Path, "/")+1:])
	w.Header().Set("X-Silverdeck-Attempt-Id", id)
	w.Header().Set("X-Silverdeck-Response-Stamp", "st")
	if !strings.HasPrefix(r.URL.Path, "/stream/") {
		time.Sleep(work)
		_, _ = io.WriteString(w, "done")
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	const events = 10
	for i := range events {
		_, _ = io.WriteString(w, standin.FormatEvent(id, i+1))
		_ = http.NewResponseController(w).Flush()
		time.Sleep(work / events)
	}
}

func (e *workingEndpoint) hadRequest(id string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.had[id]
}

// lateRequest is a request on a connection that was opened before the stop.
type lateRequest struct {
	id, path string
	// pieces is the number of bytes of the body that arrive one by one, or 0 for an empty body.
	pieces int
	// at is when it is sent, from the beginning of the stop on.
	at time.Duration
}

// lateResult is how a lateRequest ended.
type lateResult struct {
	status int
	body   string
	// sent is when the last byte was sent, ended when the answer or the connection ended.
	sent, ended time.Time
	// err is why there is no whole answer, or nil.
	err error
}

// send sends the request on c and reads the answer.
func (q *lateRequest) send(c net.Conn) lateResult {
	_, err := fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: h\r\nX-Silverdeck-Attempt-Id: %s\r\nContent-Length: %d\r\n\r\n", q.path, q.id, q.pieces)
	answered := make(chan lateResult, 1)
	go func() { answered <- readLate(c) }()
	for i := 0; err == nil && i < q.pieces; i++ {
		time.Sleep(bodyPause)
		_, err = io.WriteString(c, "x")
	}
	sent := time.Now()
	result := <-answered
	result.sent = sent
	return result
}

func readLate(c net.Conn) lateResult {
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return lateResult{err: err, ended: time.Now()}
	}
	body, err := io.ReadAll(resp.Body)
	return lateResult{status: resp.StatusCode, body: string(body), err: err, ended: time.Now()}
}

// lateRequests are requests of each kind from the second before the stop to its end.
func lateRequests() []lateRequest {
	var out []lateRequest
	for at := -time.Second; at < stopGrace; at += 200 * time.Millisecond {
		for _, q := range []lateRequest{
			{path: "/once/10ms"}, {path: "/once/1s"}, {path: "/once/1500ms"}, {path: "/long/10ms"}, {path: "/stream/500ms"}, {path: "/stream/2s"},
			{path: "/once/10ms", pieces: 10}, {path: "/once/500ms", pieces: 30}, {path: "/once/10ms", pieces: 100}, {path: "/long/10ms", pieces: 100},
			{path: "/queued/600ms"}, {path: "/queued/600ms"}, {path: "/queued/600ms"},
		} {
			q.at, q.id = at, fmt.Sprintf("late-%d", len(out))
			out = append(out, q)
		}
	}
	return out
}

// TestAPlannedStopCutsNoRequest guards against requests that come late in the grace, are passed on and get no answer.
func TestAPlannedStopCutsNoRequest(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	e := &workingEndpoint{had: map[string]bool{}}
	store := standin.NewStore()
	store.Put(platform.KindConfig, platform.ConfigName, json.RawMessage(stopRoutes))
	for service, slots := range map[string]int{"llm": 1000, "narrow": 1} {
		server := httptest.NewServer(e)
		defer server.Close()
		store.Put(platform.KindEndpoints, service, json.RawMessage(fmt.Sprintf(
			`{"service":%q,"address":%q,"zone":"a","slots":%d,"state":"ready"}`, service, server.Listener.Addr().String(), slots)))
	}
	gw, cfg := newGatewayWithStore(t, store, 90, func(cfg *platform.Settings) { cfg.Grace = stopGrace })
	requests := lateRequests()
	results := make([]lateResult, len(requests))
	begin := time.Now().Add(1500 * time.Millisecond)
	var wg sync.WaitGroup
	for i := range requests {
		c, err := net.Dial("tcp4", cfg.Callers)
		g.Expect(err).NotTo(HaveOccurred())
		defer func() { _ = c.Close() }()
		wg.Go(func() {
			time.Sleep(time.Until(begin.Add(requests[i].at)))
			results[i] = requests[i].send(c)
		})
	}
	time.Sleep(time.Until(begin))
	_ = gw.Stop(context.Background()) // what it left open is judged below
	end := time.Now()
	g.Expect(end.Sub(begin)).To(BeNumerically("<", stopGrace))
	wg.Wait()
	counts := map[string]int{}
	for i, q := range requests {
		counts[q.path+" "+q.outcome(g, &results[i], e, begin, end)]++
		if strings.HasPrefix(q.path, "/long/") && q.at >= 0 && results[i].err == nil {
			g.Expect(results[i].ended).To(BeTemporally("<", begin.Add(q.at+rejectLimit)), "%d pieces, sent at %v", q.pieces, q.at)
		}
	}
	t.Log(counts)
	for _, path := range []string{"/once/10ms", "/stream/2s", "/queued/600ms"} {
		g.Expect(counts[path+" 200"]).To(BeNumerically(">", 0), path)
		g.Expect(counts[path+" 503"]).To(BeNumerically(">", 0), path)
	}
}

// outcome checks how a request ended, and returns a word for it. The stop begins and the gateway's process ends at the
// given times.
func (q *lateRequest) outcome(g *WithT, r *lateResult, e *workingEndpoint, begin, end time.Time) string {
	what := fmt.Sprintf("%s, %d pieces, sent at %v, ended %v after its last byte, %v after the end of the process, with %d %q, %v",
		q.path, q.pieces, q.at, r.ended.Sub(r.sent), r.ended.Sub(end), r.status, r.body, r.err)
	if r.err == nil && r.status == http.StatusGatewayTimeout && !r.ended.Before(begin.Add(q.at+stopTimeout)) {
		return "timeout"
	}
	if r.err == nil && r.ended.Before(end) {
		g.Expect(r.status).To(BeElementOf(200, 503), what)
		g.Expect(e.hadRequest(q.id)).To(Equal(r.status == 200), what)
		return fmt.Sprint(r.status)
	}
	g.Expect(r.status).To(BeZero(), what)
	g.Expect(e.hadRequest(q.id)).To(BeFalse(), what)
	if q.pieces == 0 || r.ended.After(r.sent) {
		g.Expect(r.ended).To(BeTemporally("<", r.sent.Add(lossSlack)), what)
	}
	return "closed"
}
