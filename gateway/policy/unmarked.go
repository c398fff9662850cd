package policy

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net/http"

	"github.com/silverdeck/silverdeck/verdict"
)

// UnmarkedEnd describes a response that ended with its connection: neither a length nor a last chunk
// tells whether it is complete.
type UnmarkedEnd struct {
	// Status is the HTTP status.
	Status int
	// Stream is set for a stream of events, and Events is the number of its parts that arrived in
	// this response.
	Stream bool
	Events int
	// EndPromised is set if the caller was told that the end of the response will be marked.
	EndPromised bool
	// InsideEvent is set if the response is a stream of events and ended inside one.
	InsideEvent bool
	// JSON is set if the endpoint states that Body, which is only known of buffered responses, is JSON.
	JSON bool
	Body []byte
}

// CheckUnmarkedEnd returns the reason why a response was cut or can't be ended, or nil. A response
// that may be complete is forwarded without a mark of its end.
func CheckUnmarkedEnd(e UnmarkedEnd) *verdict.Error {
	switch {
	case e.InsideEvent && e.Status < http.StatusMultipleChoices:
		return CutEventError()
	case e.Stream && e.Events == 0:
		return verdict.NewError(verdict.Executed{}, verdict.CodeCut, "the stream ended without an event")
	case e.Stream && e.EndPromised:
		return verdict.NewError(verdict.Executed{}, verdict.CodeCut, "the rest of the stream ended without a mark")
	case e.Status < http.StatusMultipleChoices && e.JSON && isCutJSON(e.Body):
		return verdict.NewError(verdict.Executed{}, verdict.CodeCut, "the answer ended inside a JSON value")
	}
	return nil
}

// CutEventError returns the failure of a stream that ended inside an event.
func CutEventError() *verdict.Error {
	return verdict.NewError(verdict.Executed{}, verdict.CodeCut, "the stream ended inside an event")
}

// EventEndSize is the maximum length, in bytes, of what ends an event: the last LF of a line and a blank
// line, which ends with LF or CR LF.
const EventEndSize = 3

// EndsInsideEvent reports whether a stream of events ends inside an event. tail holds at least its last
// EventEndSize bytes.
func EndsInsideEvent(tail []byte) bool {
	return len(tail) > 0 && !bytes.HasSuffix(tail, []byte("\n\n")) && !bytes.HasSuffix(tail, []byte("\n\r\n"))
}

// isCutJSON reports whether b ends before the end of a JSON value. It returns false if b is not
// JSON.
func isCutJSON(b []byte) bool {
	d := json.NewDecoder(bytes.NewReader(b))
	var value json.RawMessage
	for values := 0; ; values++ {
		err := d.Decode(&value)
		switch {
		case err == nil:
			continue
		case errors.Is(err, io.EOF):
			return values == 0
		}
		return errors.Is(err, io.ErrUnexpectedEOF)
	}
}
