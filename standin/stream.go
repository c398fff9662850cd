package standin

import (
	"fmt"
	"net/http"
	"strconv"
	"time"
)

// StallStreams withholds the events of all streams for d, like an engine that processes long
// prompts or whose VM is paused.
func (r *Runner) StallStreams(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stalledUntil = time.Now().Add(d)
}

// AbortStreams aborts all streams in progress, like an engine that crashes.
func (r *Runner) AbortStreams() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.abortStreamsLocked()
}

// abortStreamsLocked aborts all streams in progress. The caller holds r.mu.
func (r *Runner) abortStreamsLocked() {
	close(r.aborted)
	r.aborted = make(chan struct{})
}

// ResponseBody returns the response body of a plain endpoint. A large body is summarized in it.
func ResponseBody(id, body string) string {
	return "answer to " + id + ": " + Summarize(body)
}

// FormatEvent returns event n of a stream in the format of server-sent events.
func FormatEvent(id string, n int) string {
	return fmt.Sprintf("id: %d\ndata: %s/%d\n\n", n, id, n)
}

// writeStream writes the events after Last-Event-Id. It returns false if the stream was aborted.
func (r *Runner) writeStream(w http.ResponseWriter, q *http.Request, end ending, id string) bool {
	r.mu.Lock()
	aborted := r.aborted
	r.mu.Unlock()
	first, _ := strconv.Atoi(q.Header.Get("Last-Event-Id"))
	crashAfter := -1
	if r.cfg.CrashOnPrompt != nil {
		crashAfter = r.cfg.CrashOnPrompt(id, q.Header.Get("X-Silverdeck-Prompt-Prefix"))
	}
	w.Header().Set("Content-Type", "text/event-stream")
	for n := first + 1; n <= r.cfg.Events; n++ {
		if !r.waitForEvent(aborted) {
			return false
		}
		if n-first-1 == crashAfter {
			r.cfg.Crash()
			return false
		}
		if !cutEvent(w, end, n, r.cfg.Events, FormatEvent(id, n)) {
			_ = http.NewResponseController(w).Flush() // the head, if nothing else
			return false
		}
		if http.NewResponseController(w).Flush() != nil || q.Context().Err() != nil {
			return true
		}
	}
	return true
}

// waitForEvent waits until the next event is due. It returns false if aborted is closed first.
func (r *Runner) waitForEvent(aborted <-chan struct{}) bool {
	for pause := r.cfg.EventInterval; pause > 0; pause = r.stallRemaining() {
		select {
		case <-aborted:
			return false
		case <-time.After(pause):
		}
	}
	return true
}

// stallRemaining returns the time until streams continue. It is not positive if they are not
// stalled.
func (r *Runner) stallRemaining() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Until(r.stalledUntil)
}
