package standin

import (
	"io"
	"net/http"
)

// ending is how the answer to one request ends.
type ending int

// Endings of answers with neither a length nor chunks. After the first, nothing but the content tells
// that the answer was cut.
const (
	// endMarked is an ordinary answer.
	endMarked ending = iota
	endWhole
	// endEmpty ends before the body.
	endEmpty
	// endHalf ends in the middle, of a stream between two events.
	endHalf
	// endInside is like endHalf, but of a stream inside an event.
	endInside
)

// unframedEndings are taken in turn.
var unframedEndings = []ending{endWhole, endHalf, endWhole, endEmpty, endWhole, endInside}

// SetUnframed makes the runner send answers with neither a length nor chunks, of which it cuts
// every other one, or ends that.
func (r *Runner) SetUnframed(on bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unframed = on
}

// SetUnmarked makes the runner send whole answers with neither a length nor chunks, or ends that.
func (r *Runner) SetUnmarked(on bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unmarked = on
}

// nextEnding returns how the next answer ends.
func (r *Runner) nextEnding() ending {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.unmarked {
		return endWhole
	}
	if !r.unframed {
		return endMarked
	}
	r.unframedAnswers++
	return unframedEndings[r.unframedAnswers%len(unframedEndings)]
}

// withholdFraming makes net/http end the answer with its connection.
func withholdFraming(w http.ResponseWriter, e ending) {
	if e != endMarked {
		w.Header().Set("Transfer-Encoding", "identity")
	}
}

// cutAnswer writes the part of a plain answer that e lets through, and reports whether it is the
// whole.
func cutAnswer(w io.Writer, e ending, body string) bool {
	whole := true
	switch e {
	case endEmpty:
		body, whole = "", false
	case endHalf, endInside:
		body, whole = body[:len(body)/2], false
	}
	_, _ = io.WriteString(w, body)
	return whole
}

// cutEvent writes what e lets through of event n of last in all, and reports whether the stream goes
// on.
func cutEvent(w io.Writer, e ending, n, last int, event string) bool {
	middle := (last + 1) / 2
	switch {
	case e == endEmpty:
		return false
	case e == endHalf && n > middle:
		return false
	case e == endInside && n > middle:
		_, _ = io.WriteString(w, event[:len(event)/2])
		return false
	}
	_, err := io.WriteString(w, event)
	return err == nil
}
