package proxy

import (
	"bytes"
	"fmt"
	"io"

	"github.com/silverdeck/silverdeck/gateway/policy"
	"github.com/silverdeck/silverdeck/gateway/upstream"
	"github.com/silverdeck/silverdeck/verdict"
)

// soundEvents returns the events of complete that precede another response, and why the others are none, or nil.
func soundEvents(complete []byte) ([]byte, *verdict.Error) {
	n, failure := policy.CheckEvents(complete)
	if failure != nil {
		n = completeEvents(complete[:n])
	}
	return complete[:n], failure
}

// eventReader splits a byte stream into complete events.
type eventReader struct {
	buffer []byte
	// consumed is how much of buffer was handed out.
	consumed int
	// limit is the maximum size of an event, in bytes.
	limit int
	// held is the memory that a buffer longer than eventBuffer takes.
	held *reservation
}

// An event ends with a blank line, and lines end with LF or CR LF; see the HTML standard, section
// 9.2.5. Lines that end with CR alone are not recognized.
var (
	blankLine     = []byte("\n\n")
	blankLineCRLF = []byte("\n\r\n")
)

// completeEvents returns the length of the complete events at the beginning of b.
func completeEvents(b []byte) int {
	n := 0
	if at := bytes.LastIndex(b, blankLine); at >= 0 {
		n = at + len(blankLine)
	}
	from := max(n-1, 0) // the LF before a blank line may end another one
	if at := bytes.LastIndex(b[from:], blankLineCRLF); at >= 0 {
		n = from + at + len(blankLineCRLF)
	}
	return n
}

// grow makes room in the buffer and reports whether there was memory for it.
func (r *eventReader) grow() bool {
	size := cap(r.buffer)
	if size-len(r.buffer) >= eventBuffer/2 {
		return true
	}
	if size > 0 && !r.held.add(int64(size+eventBuffer)) {
		return false
	}
	r.buffer = append(make([]byte, 0, 2*size+eventBuffer), r.buffer...)
	return true
}

// countEvents returns the number of events in b, which are complete.
func countEvents(b []byte) int {
	return bytes.Count(b, blankLine) + bytes.Count(b, blankLineCRLF)
}

// next reads once from src and returns the complete events received so far. They are valid until
// the next call.
func (r *eventReader) next(src io.Reader) ([]byte, error) {
	r.buffer = append(r.buffer[:0], r.buffer[r.consumed:]...)
	r.consumed = 0
	if !r.grow() {
		return nil, errNoMemory
	}
	from := max(len(r.buffer)-len(blankLineCRLF)+1, 0) // no event ends before
	n, err := src.Read(r.buffer[len(r.buffer):cap(r.buffer)])
	r.buffer = r.buffer[:len(r.buffer)+n]
	if n := completeEvents(r.buffer[from:]); n > 0 {
		r.consumed = from + n
	}
	if err == nil && len(r.buffer)-r.consumed > r.limit {
		err = &upstream.MalformedError{Err: fmt.Errorf("event of more than %d bytes", r.limit)}
	}
	return r.buffer[:r.consumed], err
}

// await waits until more of x has arrived, or returns an error once w gives up. A part of an event does not
// delay that.
func (r *eventReader) await(x *upstream.Exchange, w *upstream.Watchdog) error {
	if len(r.incomplete()) > 0 {
		return x.AwaitRest(w)
	}
	return x.Await(w)
}

// incomplete returns the bytes of an event that was not received completely.
func (r *eventReader) incomplete() []byte {
	return r.buffer[r.consumed:]
}

// lastEventID returns the ID of the last event that has one, or an empty string.
func lastEventID(events []byte) string {
	at := bytes.LastIndex(events, []byte("\nid:"))
	switch {
	case at >= 0:
		events = events[at+len("\nid:"):]
	case bytes.HasPrefix(events, []byte("id:")):
		events = events[len("id:"):]
	default:
		return ""
	}
	line, _, _ := bytes.Cut(events, []byte("\n"))
	return string(bytes.TrimSpace(line))
}
