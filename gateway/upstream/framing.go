package upstream

import (
	"net/http"
	"slices"
)

// Framing is how the end of a response body is found.
type Framing int

// Framings of HTTP/1.1.
const (
	// FramingUnknown means that there is no response.
	FramingUnknown Framing = iota
	// FramedByLength means that the length is stated, or that the response can't have a body.
	FramedByLength
	// FramedByChunks means that the last chunk ends the body.
	FramedByChunks
	// FramedByClose means that the body ends with its connection. A body that was cut short looks
	// like a complete one.
	FramedByClose
)

// framingNames are the names in log lines.
var framingNames = map[Framing]string{
	FramedByLength: "length", FramedByChunks: "chunks", FramedByClose: "close",
}

// String returns the name of the framing in log lines, which is empty for FramingUnknown.
func (f Framing) String() string {
	return framingNames[f]
}

// framingOf returns the framing of a response that was read from a connection.
func framingOf(resp *http.Response) Framing {
	switch {
	case resp.ContentLength >= 0 || resp.Body == http.NoBody:
		return FramedByLength
	case slices.Contains(resp.TransferEncoding, "chunked"):
		return FramedByChunks
	}
	return FramedByClose
}
