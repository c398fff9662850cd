package proxy

import (
	"mime"
	"net/http"
	"strings"

	"github.com/silverdeck/silverdeck/gateway/header"
	"github.com/silverdeck/silverdeck/gateway/upstream"
	"github.com/silverdeck/silverdeck/serve"
	"github.com/silverdeck/silverdeck/verdict"
)

// sendHead sends the head of a response. length is the length of its body, or -1 if it is not
// known. The caller is promised a mark at the end only if the endpoint promised one.
func (c *call) sendHead(w http.ResponseWriter, status int, h http.Header, framing upstream.Framing, length int64) {
	c.headSent = true
	c.callerFraming = c.framingFor(framing, length)
	header.CopyEndToEnd(w.Header(), h)
	w.Header().Del(verdict.Header) // only this gateway states it
	switch c.callerFraming {
	case upstream.FramedByLength:
		header.SetLength(w.Header(), length)
	case upstream.FramedByClose:
		w.Header().Set("Transfer-Encoding", "identity") // makes net/http end the body with the connection
		c.resetOnExit(true)                             // a kill must not look like the end
	}
	w.WriteHeader(status)
}

// framingFor returns how a response is framed to the caller, given its framing by the endpoint and
// its length, or -1.
func (c *call) framingFor(framing upstream.Framing, length int64) upstream.Framing {
	switch {
	case framing == upstream.FramedByClose:
		return upstream.FramedByClose
	case length >= 0:
		return upstream.FramedByLength
	case c.http10:
		return upstream.FramedByClose
	}
	return upstream.FramedByChunks
}

// endPromised reports whether the caller was told that the end of the response will be marked.
func (c *call) endPromised() bool {
	return c.headSent && c.callerFraming != upstream.FramedByClose
}

// endResponse ends a response that is complete.
func (c *call) endResponse() {
	if c.headSent && c.callerFraming == upstream.FramedByClose {
		c.resetOnExit(false)
	}
}

// abort ends a response that is not complete. It does not return. Without a mark of the end, only a
// reset tells the caller that the response was cut.
func (c *call) abort(w http.ResponseWriter) {
	if c.callerFraming == upstream.FramedByClose {
		_ = serve.Reset(w) // otherwise the connection is closed
	}
	panic(http.ErrAbortHandler)
}

// flush sends what net/http has buffered of a response that ends with its connection, so that an
// error is seen before the end.
func (c *call) flush(w http.ResponseWriter) error {
	if c.callerFraming != upstream.FramedByClose {
		return nil
	}
	return http.NewResponseController(w).Flush()
}

// isJSON reports whether a response states that its body is JSON.
func isJSON(h http.Header) bool {
	kind := mediaType(h)
	return kind == "application/json" || strings.HasSuffix(kind, "+json")
}

// isEventStream reports whether a response states that its body is a stream of events.
func isEventStream(h http.Header) bool {
	return mediaType(h) == "text/event-stream"
}

// mediaType returns the media type of a response's body, or an empty string if the body is encoded or
// its type is not stated.
func mediaType(h http.Header) string {
	if h.Get("Content-Encoding") != "" {
		return ""
	}
	kind, _, err := mime.ParseMediaType(h.Get("Content-Type"))
	if err != nil {
		return ""
	}
	return kind
}
