package standin

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Events is how many events a stand-in's stream has where its settings don't say.
const Events = 8

// Timing of a stand-in runner.
const (
	// eventPause is the time between two events of a stream where the settings don't say.
	eventPause = 20 * time.Millisecond
	// workTime is how long a plain request takes.
	workTime = 10 * time.Millisecond
	// warmTime is how long a load takes.
	warmTime = 50 * time.Millisecond
)

// RunnerConfig holds a Runner's settings.
type RunnerConfig struct {
	// ID names this life; Service and Zone stand in its record, with Address.
	ID, Service, Zone, Address string
	// Model is empty for a plain endpoint.
	Model string
	Slots int
	// Events is how many events a stream has, EventPause the time between two; zero
	// means a few and short.
	Events     int
	EventPause time.Duration
	// LoadCuts is set when an order to load cuts the streams that run.
	LoadCuts bool
	// EndsUnder is asked when a run begins, and returns whether the runner ends under it;
	// nil means that it never does. Whoever says so takes its connections away.
	EndsUnder func(id, body string) bool
	// Reached is told of each request that reaches it, by the runner's ID and its own; nil
	// means that nobody is.
	Reached func(runner, id string)
	// Rested is told of each request that it refuses and asks for rest, in the same way.
	Rested func(runner, id string, rest time.Duration)
	// Witness is told of all that runs.
	Witness *Witness
	// Store takes the record.
	Store *Store
}

// Runner is a stand-in of an endpoint. It is safe for concurrent use.
type Runner struct {
	cfg RunnerConfig

	mu       sync.Mutex
	version  int64
	sequence int64
	staged   [Chunks][]byte
	running  int
	leaving  bool
	advice   advice
	// stalledUntil is until when no stream gets an event.
	stalledUntil time.Time
	// cut is closed when the streams that run now are cut.
	cut chan struct{}
}

// NewRunner returns a Runner that holds a version of its model, 0 for none, and
// records it in the store.
func NewRunner(cfg RunnerConfig, version int64) *Runner {
	if cfg.Events == 0 {
		cfg.Events = Events
	}
	if cfg.EventPause == 0 {
		cfg.EventPause = eventPause
	}
	r := &Runner{cfg: cfg, version: version, cut: make(chan struct{})}
	r.record()
	return r
}

// Leave states that the runner leaves.
func (r *Runner) Leave() {
	r.mu.Lock()
	r.leaving = true
	r.mu.Unlock()
	r.record()
}

// Lapse removes the runner's record, as the platform does with one whose
// heartbeats fail.
func (r *Runner) Lapse() {
	r.cfg.Store.Delete("servers", r.cfg.ID)
}

// Announce writes the runner's record anew, as the next heartbeat does.
func (r *Runner) Announce() {
	r.record()
}

// record writes the runner's record.
func (r *Runner) record() {
	r.mu.Lock()
	state := "ready"
	if r.leaving {
		state = "draining"
	}
	spec := map[string]any{"service": r.cfg.Service, "address": r.cfg.Address, "zone": r.cfg.Zone, "slots": r.cfg.Slots,
		"state": state, "models": r.models()}
	r.mu.Unlock()
	r.cfg.Store.Put("servers", r.cfg.ID, spec)
}

// models returns what the runner tells of its model. The caller holds the lock.
func (r *Runner) models() []any {
	if r.cfg.Model == "" || r.version == 0 {
		return []any{}
	}
	return []any{map[string]any{"name": r.cfg.Model, "version": r.version}}
}

// ServeHTTP implements http.Handler.
func (r *Runner) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	switch {
	case q.URL.Path == "/report":
		r.report(w)
	case q.URL.Path == "/order":
		r.order(w, q)
	case strings.HasPrefix(q.URL.Path, "/stage-"):
		r.stage(w, q)
	default:
		r.serve(w, q)
	}
}

func (r *Runner) report(w http.ResponseWriter) {
	r.mu.Lock()
	defer r.mu.Unlock()
	answer(w, http.StatusOK, map[string]any{"models": r.models(), "busy": false, "sequence": r.sequence, "running": r.running})
}

// serve runs a request, unless it is for another endpoint or there is no slot.
func (r *Runner) serve(w http.ResponseWriter, q *http.Request) {
	id := q.Header.Get("X-Silverdeck-Attempt-Id")
	body, err := io.ReadAll(q.Body)
	if err != nil {
		return
	}
	if r.refuses(w, q, id) {
		return
	}
	defer r.leave()
	r.run(w, q, id, body)
}

// refuses answers a request that is for another endpoint, or that it does not take, and returns
// whether it did. One that it takes has a slot.
func (r *Runner) refuses(w http.ResponseWriter, q *http.Request, id string) bool {
	w.Header().Set("X-Silverdeck-Attempt-Id", id)
	if r.cfg.Reached != nil {
		r.cfg.Reached(r.cfg.ID, id)
	}
	r.advise(w.Header())
	if want := q.Header.Get("X-Silverdeck-Expect-Instance"); want != "" && want != r.cfg.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return true
	}
	rest := r.wantsRest()
	if rest == 0 && r.enter() {
		return false
	}
	if rest > 0 {
		r.cfg.Rested(r.cfg.ID, id, rest)
		w.Header().Set("Retry-After", strconv.FormatFloat(rest.Seconds(), 'f', 3, 64))
	}
	w.Header().Set("X-Silverdeck-Not-Executed", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
	return true
}

// run runs a request that has a slot.
func (r *Runner) run(w http.ResponseWriter, q *http.Request, id string, body []byte) {
	r.cfg.Witness.Ran(id, string(body), q.Header.Get("X-Silverdeck-Tenant"))
	brokenOff := false
	defer func() { r.cfg.Witness.Ended(id, brokenOff) }()
	if r.cfg.EndsUnder != nil && r.cfg.EndsUnder(id, string(body)) {
		brokenOff = true
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("X-Silverdeck-Response-Stamp", r.cfg.ID)
	if r.cfg.Model == "" {
		time.Sleep(workTime)
		_, _ = io.WriteString(w, Answer(id, string(body)))
		return
	}
	brokenOff = !r.stream(w, q, id)
	if brokenOff {
		panic(http.ErrAbortHandler)
	}
}

func (r *Runner) enter() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.running >= 2*r.cfg.Slots || (r.cfg.Model != "" && r.version == 0) {
		return false
	}
	r.running++
	return true
}

func (r *Runner) leave() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.running--
}
