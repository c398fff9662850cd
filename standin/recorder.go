package standin

import (
	"fmt"
	"sync"
	"time"
)

// RequestRuns summarizes the executions of one request.
type RequestRuns struct {
	// Count is the number of executions that were started.
	Count  int
	Body   string
	Tenant string
	// Running is the number of executions in progress.
	Running int
	// Aborted is set if the execution that ended last was aborted by its endpoint.
	Aborted bool
	// Unframed is set if an answer had neither a length nor chunks.
	Unframed bool
	// AbortedAt is the time at which an endpoint last aborted an execution.
	AbortedAt time.Time
}

// abortPropagationTime is the maximum time between an endpoint aborting an execution and the end
// of the caller's connection for the two to be considered cause and effect.
const abortPropagationTime = 100 * time.Millisecond

// AbortedByEndpoint returns whether no execution is in progress and an endpoint aborted either
// the last one or one right before end. In this case no gateway has abandoned an execution that
// is still in progress.
func (r *RequestRuns) AbortedByEndpoint(end time.Time) bool {
	return r.Running == 0 && (r.Aborted || end.Sub(r.AbortedAt) < abortPropagationTime)
}

// Recorder records the executions of requests and the violations of guarantees. It is safe for
// concurrent use.
type Recorder struct {
	mu         sync.Mutex
	runs       map[string]RequestRuns
	violations []string
}

// NewRecorder returns an empty Recorder.
func NewRecorder() *Recorder {
	return &Recorder{runs: map[string]RequestRuns{}}
}

// RunStarted records that an endpoint started to execute the request id.
func (c *Recorder) RunStarted(id, body, tenant string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.runs[id]
	r.Count++
	r.Running++
	r.Body, r.Tenant = body, tenant
	c.runs[id] = r
}

// RunEnded records the end of an execution of the request id, and whether its endpoint aborted
// it.
func (c *Recorder) RunEnded(id string, aborted bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.runs[id]
	r.Running--
	r.Aborted = aborted
	if aborted {
		r.AbortedAt = time.Now()
	}
	c.runs[id] = r
}

// Unframed records that an answer to the request id has neither a length nor chunks.
func (c *Recorder) Unframed(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.runs[id]
	r.Unframed = true
	c.runs[id] = r
}

// Runs returns the executions of the request id.
func (c *Recorder) Runs(id string) RequestRuns {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.runs[id]
}

// settlePollInterval is the time between two looks at executions that have not ended yet.
const settlePollInterval = 5 * time.Millisecond

// SettledRuns is like Runs, but waits for a short time for executions to end: a caller may see its
// connection break before the endpoint that crashed has recorded the end of the execution.
func (c *Recorder) SettledRuns(id string) RequestRuns {
	for began := time.Now(); ; time.Sleep(settlePollInterval) {
		r := c.Runs(id)
		if r.Running == 0 || time.Since(began) >= abortPropagationTime {
			return r
		}
	}
}

// AddViolation records the violation of a guarantee.
func (c *Recorder) AddViolation(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.violations = append(c.violations, fmt.Sprintf(format, args...))
}

// Violations returns the recorded violations.
func (c *Recorder) Violations() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]string(nil), c.violations...)
}
