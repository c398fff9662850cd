package upstream

import (
	"io"
	"net/http"
	"time"
)

// Limits for skipping responses that belong to other requests.
const (
	// maxSkipped is the number of responses that are skipped in one exchange.
	maxSkipped = 4
	// maxSkippedBody is the size limit of the body of such a response, in bytes.
	maxSkippedBody = 64 << 10
	// skipTimeout limits the time for reading that body.
	skipTimeout = 50 * time.Millisecond
)

// isForeign reports whether a response belongs to another request. Without Options.IsForeign, none does.
func (o *Options) isForeign(resp *http.Response, newConnection bool) bool {
	return o.IsForeign != nil && o.IsForeign(resp.Header, newConnection)
}

// canSkip returns whether the response that is due can follow one that belongs to another request. On a
// new connection no other request can have been answered. closes is set if the endpoint closes the
// connection after the response, hadHead if a HEAD request was sent on the connection: the response may
// answer that, and then it has no body, whatever its header says.
func canSkip(newConnection, hadHead, closes bool, f Framing) bool {
	return !newConnection && !hadHead && !closes && f != FramedByClose
}

// skip reads the body of a response that belongs to another request, and reports whether the next
// response can be read.
func (c *conn) skip(resp *http.Response) bool {
	if !canSkip(!c.reused, c.hadHead, resp.Close, framingOf(resp)) {
		return false
	}
	c.inHead = false
	defer func() { c.inHead = true }()
	_ = c.SetReadDeadline(time.Now().Add(skipTimeout))
	n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxSkippedBody+1))
	_ = c.SetReadDeadline(time.Time{})
	return err == nil && n <= maxSkippedBody
}
