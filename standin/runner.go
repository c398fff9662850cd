package standin

import (
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// DefaultEvents is the default number of events of a stream.
const DefaultEvents = 8

// Timing of a Runner.
const (
	// defaultEventInterval is the default time between two events of a stream.
	defaultEventInterval = 20 * time.Millisecond
	// requestDuration is the time that a plain endpoint takes for a request.
	requestDuration = 10 * time.Millisecond
	// defaultLoadTime is the default of RunnerConfig.LoadTime.
	defaultLoadTime = 50 * time.Millisecond
)

// RunnerConfig configures a Runner.
type RunnerConfig struct {
	// ID identifies this instance of the endpoint. It is the name of its record, which
	// contains Service, Zone and Address.
	ID, Service, Zone, Address string
	// Model is empty for a plain endpoint.
	Model string
	Slots int
	// Events is the number of events of a stream, by default DefaultEvents, and EventInterval
	// the time between two events, by default defaultEventInterval.
	Events        int
	EventInterval time.Duration
	// LoadTime is the time that loading weights takes, by default defaultLoadTime. Meanwhile the runner has none.
	LoadTime time.Duration
	// AbortOnLoad makes an order to load weights abort the streams in progress.
	AbortOnLoad bool
	// CrashOn, if not nil, is called at the start of each execution and returns whether the
	// request crashes the runner. A function that returns true must also close the runner's
	// connections.
	CrashOn func(id, body string) bool
	// CrashOnPrompt, if not nil, is called when the first event of a stream is due, with the request's ID
	// and the list of the parts of its prompt, and returns how many events the runner sends before
	// the request crashes it, or -1 if it does not. Crash crashes the runner.
	CrashOnPrompt func(id, prompt string) int
	Crash         func()
	// Pace is the factor by which the runner reports to be slower than the engine's figures; 0
	// means that it does not report it.
	Pace float64
	// LongAnswer is the size in bytes of the answers to requests whose bodies begin with
	// LongAnswer.
	LongAnswer int
	// LargePause is the time between two parts that the runner reads of a body from LargeBody on.
	LargePause time.Duration
	// Cold is how long the runner is cold after its start.
	Cold time.Duration
	// OnArrival, if not nil, is called for each request meant for this runner, with the IDs of
	// both, whether or not the runner accepts the request.
	OnArrival func(runner, id string)
	// OnRequest, if not nil, is called for each received request with the IDs of the runner and
	// of the request.
	OnRequest func(runner, id string)
	// OnRetryAfter is called for each request that is refused with Retry-After. It is required
	// if SetRetryAfter is used.
	OnRetryAfter func(runner, id string, delay time.Duration)
	// Recorder records all executions.
	Recorder *Recorder
	// Store is the store to which the runner writes its record.
	Store *Store
}

// Runner is a fake endpoint. It is safe for concurrent use.
type Runner struct {
	cfg RunnerConfig
	// coldUntil is the time until which the runner is cold.
	coldUntil time.Time

	mu sync.Mutex
	// version is the loaded version of the model, or 0 if none is loaded. loading is set while an order is
	// under way.
	version int64
	loading bool
	// sequence is the number of accepted orders.
	sequence int64
	staged   [Chunks][]byte
	running  int
	draining bool
	// written is how often the runner wrote its record. gone is set once it writes it no more, ended once
	// the runner has ended.
	written     int64
	gone, ended bool
	// refuseShare is the share of requests that are refused although there is a slot.
	refuseShare float64
	advisory    advisory
	// unframed is set while answers have neither a length nor chunks; unframedAnswers counts them.
	unframed        bool
	unframedAnswers int
	// unmarked is set while answers have neither a length nor chunks, and are whole.
	unmarked bool
	// stalledUntil is the time until which streams get no events.
	stalledUntil time.Time
	// readPause is the time between two parts of a request that are read.
	readPause time.Duration
	// aborted is closed to abort the streams in progress, and then replaced.
	aborted chan struct{}
}

// NewRunner returns a Runner that has loaded a version of its model, or none if version is 0, and
// writes its record to the store.
func NewRunner(cfg RunnerConfig, version int64) *Runner {
	if cfg.Events == 0 {
		cfg.Events = DefaultEvents
	}
	if cfg.EventInterval == 0 {
		cfg.EventInterval = defaultEventInterval
	}
	if cfg.LoadTime == 0 {
		cfg.LoadTime = defaultLoadTime
	}
	r := &Runner{cfg: cfg, coldUntil: time.Now().Add(cfg.Cold), version: version, aborted: make(chan struct{})}
	r.writeRecord()
	return r
}

// SetRefuse makes the runner refuse a share of its requests.
func (r *Runner) SetRefuse(share float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refuseShare = share
}

// ServeHTTP implements http.Handler.
func (r *Runner) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	switch {
	case q.URL.Path == "/report":
		r.handleReport(w)
	case q.URL.Path == "/order":
		r.handleOrder(w, q)
	case strings.HasPrefix(q.URL.Path, "/stage-"):
		r.handleStage(w, q)
	default:
		r.handleRequest(w, q)
	}
}

func (r *Runner) handleReport(w http.ResponseWriter) {
	r.mu.Lock()
	defer r.mu.Unlock()
	report := map[string]any{"models": r.loadedModels(), "busy": r.loading, "sequence": r.sequence, "running": r.running}
	if r.cfg.Pace != 0 {
		report["pace"] = r.cfg.Pace
	}
	writeJSON(w, http.StatusOK, report)
}

// handleRequest executes a request, unless it is for another endpoint or there is no slot.
func (r *Runner) handleRequest(w http.ResponseWriter, q *http.Request) {
	id := q.Header.Get("X-Silverdeck-Attempt-Id")
	body, err := r.readBody(q.Body)
	if err != nil {
		return
	}
	if r.refuse(w, q, id) {
		return
	}
	defer r.releaseSlot()
	r.run(w, q, id, body)
}

// refuse responds with an error to a request that is for another endpoint, that the runner delays
// with Retry-After, or for which it has no slot or not the weights, and returns true. Otherwise it
// acquires a slot for the request and returns false.
func (r *Runner) refuse(w http.ResponseWriter, q *http.Request, id string) bool {
	w.Header().Set("X-Silverdeck-Attempt-Id", id)
	if r.cfg.OnRequest != nil {
		r.cfg.OnRequest(r.cfg.ID, id)
	}
	r.setAdvisoryHeaders(w.Header())
	if want := q.Header.Get("X-Silverdeck-Expect-Instance"); want != "" && want != r.cfg.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return true
	}
	if r.cfg.OnArrival != nil {
		r.cfg.OnArrival(r.cfg.ID, id)
	}
	retryAfter := r.nextRetryAfter()
	status := http.StatusServiceUnavailable
	if retryAfter == 0 {
		if status = r.acquireSlot(q.Header.Get("X-Silverdeck-Expect-Version")); status == 0 {
			return false
		}
	}
	if retryAfter > 0 {
		r.cfg.OnRetryAfter(r.cfg.ID, id, retryAfter)
		w.Header().Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64))
	}
	w.Header().Set("X-Silverdeck-Not-Executed", "1")
	w.Header().Set("At-Server", r.cfg.Address)
	w.WriteHeader(status)
	return true
}

// run executes a request that has a slot.
func (r *Runner) run(w http.ResponseWriter, q *http.Request, id string, body []byte) {
	r.cfg.Recorder.RunStarted(id, Summarize(string(body)), q.Header.Get("X-Silverdeck-Tenant"))
	aborted := false
	defer func() { r.cfg.Recorder.RunEnded(id, aborted) }()
	if r.cfg.CrashOn != nil && r.cfg.CrashOn(id, string(body)) {
		aborted = true
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("X-Silverdeck-Response-Stamp", r.cfg.ID)
	end := r.nextEnding()
	if end != endMarked {
		r.cfg.Recorder.Unframed(id)
		withholdFraming(w, end)
	}
	if r.cfg.Model == "" {
		time.Sleep(requestDuration)
		aborted = !r.writeAnswer(w, end, id, string(body))
		return
	}
	aborted = !r.writeStream(w, q, end, id)
	if aborted {
		panic(http.ErrAbortHandler)
	}
}

// acquireSlot acquires a slot for a request that expects a version, or any if that is empty. It returns the
// status with which the request is refused, or 0: there is no slot if twice as many requests as there are
// slots run already, and a request is misdirected if the runner lacks its weights.
func (r *Runner) acquireSlot(version string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case r.cfg.Model != "" && r.version == 0, version != "" && version != strconv.FormatInt(r.version, 10):
		return http.StatusMisdirectedRequest
	case r.running >= 2*r.cfg.Slots || rand.Float64() < r.refuseShare:
		return http.StatusServiceUnavailable
	}
	r.running++
	return 0
}

func (r *Runner) releaseSlot() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.running--
}
