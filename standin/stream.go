package standin

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"
)

// Stall keeps all streams without an event for d, as an engine does that reads long
// prompts or whose VM stands still.
func (r *Runner) Stall(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stalledUntil = time.Now().Add(d)
}

// Cut cuts all streams that run, as an engine does that crashes.
func (r *Runner) Cut() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cutStreams()
}

// cutStreams cuts all streams that run. The caller holds the lock.
func (r *Runner) cutStreams() {
	close(r.cut)
	r.cut = make(chan struct{})
}

// Answer returns the body of a plain answer.
func Answer(id, body string) string {
	return "answer to " + id + ": " + body
}

// Event returns an event of a stream.
func Event(id string, n int) string {
	return fmt.Sprintf("id: %d\ndata: %s/%d\n\n", n, id, n)
}

// stream answers with events and returns false when it was cut.
func (r *Runner) stream(w http.ResponseWriter, q *http.Request, id string) bool {
	r.mu.Lock()
	cut := r.cut
	r.mu.Unlock()
	first, _ := strconv.Atoi(q.Header.Get("Last-Event-Id"))
	w.Header().Set("Content-Type", "text/event-stream")
	for n := first + 1; n <= r.cfg.Events; n++ {
		if !r.awaitEvent(cut) {
			return false
		}
		if _, err := io.WriteString(w, Event(id, n)); err != nil {
			return true
		}
		if http.NewResponseController(w).Flush() != nil || q.Context().Err() != nil {
			return true
		}
	}
	return true
}

// awaitEvent waits until the next event is there, or returns false when cut closes.
func (r *Runner) awaitEvent(cut <-chan struct{}) bool {
	for pause := r.cfg.EventPause; pause > 0; pause = r.stall() {
		select {
		case <-cut:
			return false
		case <-time.After(pause):
		}
	}
	return true
}

// stall returns for how long streams get nothing yet.
func (r *Runner) stall() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Until(r.stalledUntil)
}
