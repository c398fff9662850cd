package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/silverdeck/silverdeck/standin"
)

// Properties of a runner, as in the users' example of a configuration.
const (
	slots     = 16
	queueSize = 32
	// warmTime is warm_s, the time that a start takes.
	warmTime = 300 * time.Millisecond
	// firstEvent is the time to the first event of a stream, events their number and eventGap the time
	// between two.
	firstEvent = 40 * time.Millisecond
	events     = 4
	eventGap   = 45 * time.Millisecond
	// plainTime is the time that a runner without a model takes for a request.
	plainTime = 30 * time.Millisecond
)

// runner is a stand-in of a runner. It keeps to the users' page on what is spoken: a request for another
// instance, or one that arrives while the runner holds no layers, is answered 421, and one beyond its
// queue, or while it gives up its layers, 503, both with X-Silverdeck-Not-Executed.
type runner struct {
	id, service, addr, zone string
	// model is empty for a plain runner.
	model string
	store *standin.Store
	rec   *record

	mu       sync.Mutex
	version  int64
	sequence int64
	staged   [pieces][]byte
	// giving is set while an order waits for running requests to end, busy while any order is under way.
	giving, busy bool
	running      int
	queued       int
	freed        *sync.Cond
	// cut is closed to cut the running streams, and then replaced.
	cut chan struct{}
	// begun holds the requests that began here.
	begun []start
}

// start is the begin of a request at a runner.
type start struct {
	id      string
	at      time.Time
	version int64
}

func newRunner(id, service, addr, zone, model string, store *standin.Store, rec *record) *runner {
	r := &runner{id: id, service: service, addr: addr, zone: zone, model: model, store: store, rec: rec, cut: make(chan struct{})}
	r.freed = sync.NewCond(&r.mu)
	if model != "" {
		r.version = 1
		for i := range r.staged {
			r.staged[i] = piece(1, i)
		}
	}
	return r
}

// write writes the runner's entry to the store.
func (r *runner) write() {
	r.mu.Lock()
	spec := map[string]any{"service": r.service, "address": r.addr, "zone": r.zone, "version": "v1", "slots": slots,
		"state": "ready", "cold_remaining_ms": 0, "sequence": 1}
	if r.model != "" {
		spec["stage"], spec["models"] = "prefill_decode", r.models()
	}
	r.mu.Unlock()
	r.store.Put("servers", r.id, spec)
}

// models returns what the runner tells of its model. The caller holds the lock.
func (r *runner) models() []any {
	if r.version == 0 {
		return []any{}
	}
	return []any{map[string]any{"name": r.model, "version": r.version, "adapters": []any{},
		"layers": map[string]any{"from": 0, "target_version": layers, "version": r.version}}}
}

// ServeHTTP implements http.Handler.
func (r *runner) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	switch {
	case q.URL.Path == "/health":
		w.Header().Set("X-Silverdeck-Instance-Id", r.id)
	case q.URL.Path == "/report":
		r.report(w)
	case q.URL.Path == "/order":
		r.order(w, q)
	case strings.HasPrefix(q.URL.Path, "/stage-put/"):
		r.put(w, q)
	case strings.HasPrefix(q.URL.Path, "/stage-get/"):
		r.get(w, q)
	default:
		r.request(w, q)
	}
}

func (r *runner) report(w http.ResponseWriter) {
	r.mu.Lock()
	defer r.mu.Unlock()
	answer(w, http.StatusOK, map[string]any{"stage": "prefill_decode", "models": r.models(), "busy": r.busy, "sequence": r.sequence,
		"queued": r.queued, "running": r.running, "kv_used": 0, "kv_total": 685000, "handles": 0, "pace": 1})
}

func (r *runner) put(w http.ResponseWriter, q *http.Request) {
	i, err := strconv.Atoi(q.URL.Query().Get("num"))
	data, readErr := io.ReadAll(q.Body)
	if err != nil || readErr != nil || i < 0 || i >= pieces {
		http.Error(w, "no such piece", http.StatusBadRequest)
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.staged[i] = data
}

func (r *runner) get(w http.ResponseWriter, q *http.Request) {
	i, err := strconv.Atoi(q.URL.Query().Get("num"))
	if err != nil || i < 0 || i >= pieces {
		http.Error(w, "no such piece", http.StatusBadRequest)
		return
	}
	r.mu.Lock()
	data := r.staged[i]
	r.mu.Unlock()
	if data == nil {
		http.NotFound(w, q)
		return
	}
	_, _ = w.Write(data)
}

// stagedVersion returns the version of which all pieces are staged, or 0.
func (r *runner) stagedVersion() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	v := versionOf(r.staged[0])
	for _, data := range r.staged {
		if versionOf(data) != v {
			return 0
		}
	}
	return v
}

// order is the body of an order.
type order struct {
	Operation string `json:"operation"`
	Version   int64  `json:"version"`
	Manner    string `json:"manner"`
	Expected  *int64 `json:"expected_revision"`
	From      *int   `json:"from"`
	To        *int   `json:"target_version"`
}

func (r *runner) order(w http.ResponseWriter, q *http.Request) {
	var o order
	if json.NewDecoder(q.Body).Decode(&o) != nil || o.Operation != "start" {
		http.Error(w, "no such order", http.StatusBadRequest)
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.busy || o.Expected != nil && *o.Expected != r.sequence {
		w.WriteHeader(http.StatusConflict)
		return
	}
	r.sequence++
	r.busy = true
	empty := o.From != nil && o.To != nil && *o.To <= *o.From
	r.rec.add("runner %s takes the order: version %d, %s, empty %t", r.id, o.Version, o.Manner, empty)
	if o.Manner == "cutover" {
		close(r.cut)
		r.cut = make(chan struct{})
		r.version = 0
	} else {
		r.giving = true
	}
	go r.carryOut(o.Version, empty)
	w.WriteHeader(http.StatusAccepted)
}

// carryOut waits for the running requests to end, if the order says so, and takes the weights.
func (r *runner) carryOut(version int64, empty bool) {
	r.mu.Lock()
	for r.giving && r.running > 0 {
		r.freed.Wait()
	}
	r.giving = false
	r.version = 0
	r.mu.Unlock()
	if !empty {
		time.Sleep(warmTime)
	}
	r.mu.Lock()
	if !empty {
		r.version = version
	}
	r.busy = false
	r.mu.Unlock()
	r.rec.add("runner %s runs version %d", r.id, r.held())
	r.write()
}

func (r *runner) held() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.version
}

// isBusy returns whether an order is under way.
func (r *runner) isBusy() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.busy
}

// request runs a client's request, unless the runner rejects it.
func (r *runner) request(w http.ResponseWriter, q *http.Request) {
	id := q.Header.Get("X-Silverdeck-Attempt-Id")
	if _, err := io.Copy(io.Discard, q.Body); err != nil {
		return
	}
	w.Header().Set("X-Silverdeck-Attempt-Id", id)
	if want := q.Header.Get("X-Silverdeck-Expect-Instance"); want != "" && want != r.id {
		w.Header().Set("X-Silverdeck-Instance-Id", r.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	version, cut, status := r.admit(id)
	if status != 0 {
		r.rec.add("runner %s rejects %s with %d", r.id, id, status)
		w.Header().Set("X-Silverdeck-Not-Executed", "1")
		w.Header().Set("At-Server", r.addr)
		w.WriteHeader(status)
		return
	}
	defer r.release()
	w.Header().Set("X-Silverdeck-Response-Stamp", r.id+"."+id)
	if r.model == "" {
		time.Sleep(plainTime)
		_, _ = io.WriteString(w, "answer to "+id)
		return
	}
	w.Header().Set("X-Silverdeck-Weight-Versions", strconv.FormatInt(version, 10))
	if !r.stream(w, q, id, cut) {
		panic(http.ErrAbortHandler)
	}
}

// admit waits for a slot and begins a request there. It returns the status with which the request is
// rejected, or 0.
func (r *runner) admit(id string) (version int64, cut chan struct{}, status int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if status := r.rejection(); status != 0 {
		return 0, nil, status
	}
	if r.queued >= queueSize {
		return 0, nil, http.StatusServiceUnavailable
	}
	r.queued++
	for r.running >= slots && r.rejection() == 0 {
		r.freed.Wait()
	}
	r.queued--
	if status := r.rejection(); status != 0 {
		return 0, nil, status
	}
	r.running++
	r.begun = append(r.begun, start{id: id, at: time.Now(), version: r.version})
	r.rec.add("runner %s begins %s on version %d", r.id, id, r.version)
	return r.version, r.cut, 0
}

// rejection returns the status of requests that can't be run now, or 0. The caller holds the lock.
func (r *runner) rejection() int {
	switch {
	case r.model == "":
		return 0
	case r.giving:
		return http.StatusServiceUnavailable
	case r.version == 0:
		return http.StatusMisdirectedRequest
	}
	return 0
}

func (r *runner) release() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.running--
	r.freed.Broadcast()
}

// stream writes the events after Last-Event-Id. It returns false if the stream was cut.
func (r *runner) stream(w http.ResponseWriter, q *http.Request, id string, cut <-chan struct{}) bool {
	first, _ := strconv.Atoi(q.Header.Get("Last-Event-Id"))
	w.Header().Set("Content-Type", "text/event-stream")
	pause := firstEvent
	for n := first + 1; n <= events; n++ {
		select {
		case <-cut:
			return false
		case <-q.Context().Done():
			return false
		case <-time.After(pause):
		}
		pause = eventGap
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s/%d\n\n", n, id, n); err != nil || http.NewResponseController(w).Flush() != nil {
			return false
		}
	}
	return true
}

// starts returns the requests that began at the runner.
func (r *runner) starts() []start {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]start(nil), r.begun...)
}

// answer writes v as JSON.
func answer(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
