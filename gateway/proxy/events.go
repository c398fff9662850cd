package proxy

import (
	"bytes"
	"errors"
	"io"
)

// eventReader cuts a stream of bytes into whole events.
type eventReader struct {
	buffer []byte
	// done is how much of buffer was handed out.
	done  int
	limit int
}

// eventEnd stands between two events.
var eventEnd = []byte("\n\n")

// next reads once and returns the whole events that have come, which stay
// valid until the next call.
func (r *eventReader) next(src io.Reader) ([]byte, error) {
	r.buffer = append(r.buffer[:0], r.buffer[r.done:]...)
	r.done = 0
	if cap(r.buffer)-len(r.buffer) < eventBuffer/2 {
		r.buffer = append(make([]byte, 0, 2*cap(r.buffer)+eventBuffer), r.buffer...)
	}
	n, err := src.Read(r.buffer[len(r.buffer):cap(r.buffer)])
	r.buffer = r.buffer[:len(r.buffer)+n]
	if at := bytes.LastIndex(r.buffer, eventEnd); at >= 0 {
		r.done = at + len(eventEnd)
	}
	if err == nil && len(r.buffer)-r.done > r.limit {
		err = errors.New("gateway: event too long")
	}
	return r.buffer[:r.done], err
}

// rest returns what was read of an event that is not whole.
func (r *eventReader) rest() []byte {
	return r.buffer[r.done:]
}

// lastEventID returns the id of the last event in whole that has one.
func lastEventID(whole []byte) string {
	at := bytes.LastIndex(whole, []byte("\nid:"))
	switch {
	case at >= 0:
		whole = whole[at+len("\nid:"):]
	case bytes.HasPrefix(whole, []byte("id:")):
		whole = whole[len("id:"):]
	default:
		return ""
	}
	line, _, _ := bytes.Cut(whole, []byte("\n"))
	return string(bytes.TrimSpace(line))
}
