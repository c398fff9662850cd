package upstream

import (
	"errors"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/silverdeck/silverdeck/responsehead"
	"github.com/silverdeck/silverdeck/verdict"
)

// received is a response whose head was read.
type received struct {
	*http.Response
	// raw is the head as it was received.
	raw []byte
	// skipped is the number of responses to other requests that preceded it.
	skipped int
}

// roundTrip writes q and reads the response headers, skipping informational responses and up to maxSkipped
// responses to other requests.
func (c *conn) roundTrip(q *Request, o *Options) (*received, verdict.Progress, error) {
	c.hadHead = c.hadHead || q.Method == http.MethodHead
	n, err := c.writeRequest(q)
	if err != nil {
		if n == 0 && !errors.Is(err, net.ErrClosed) {
			return nil, verdict.Connected, err
		}
		return nil, verdict.Written, err
	}
	c.inHead, c.headLeft, c.checkAt = true, maxHeadBytes, time.Now().Add(checkInterval)
	defer func() { c.inHead = false }()
	for skipped := 0; ; {
		if err := o.Watchdog.awaitRest(c); err != nil {
			return nil, verdict.Written, err
		}
		c.watchdog = o.Watchdog
		resp, raw, err := c.readHead(q.Method)
		c.watchdog = nil
		if err != nil {
			return nil, verdict.Written, err
		}
		if resp.StatusCode < http.StatusOK {
			if responsehead.ContinuesWithResponse(raw) {
				return nil, verdict.Written, &MalformedError{Err: errSpliced}
			}
			continue
		}
		if !o.isForeign(resp, !c.reused) || skipped == maxSkipped || !c.skip(resp) {
			return &received{Response: resp, raw: raw, skipped: skipped}, verdict.Answering, nil
		}
		skipped++
	}
}

// writeRequest writes q and returns the number of bytes that were written. A long body is not
// copied.
func (c *conn) writeRequest(q *Request) (int, error) {
	head := encode(q)
	if len(q.Body) <= maxCopiedBody {
		return c.Write(append(head, q.Body...))
	}
	n, err := c.Write(head)
	if err != nil {
		return n, err
	}
	m, err := c.Write(q.Body)
	return n + m, err
}

// maxCopiedBody is the length up to which a body is sent with its head, in bytes.
const maxCopiedBody = 16 << 10

// headSizeHint is the usual size of the request line and headers, in bytes.
const headSizeHint = 512

// encode returns the head of q in HTTP/1.1 wire format, with room for a short body.
func encode(q *Request) []byte {
	b := make([]byte, 0, headSizeHint+min(len(q.Body), maxCopiedBody))
	b = append(b, q.Method...)
	b = append(b, ' ')
	b = append(b, q.URI...)
	b = append(b, " HTTP/1.1\r\nHost: "...)
	b = append(b, q.Host...)
	b = append(b, "\r\n"...)
	for name, values := range q.Header {
		for _, v := range values {
			b = append(b, name...)
			b = append(b, ": "...)
			b = append(b, v...)
			b = append(b, "\r\n"...)
		}
	}
	if len(q.Body) > 0 || (q.Method != http.MethodGet && q.Method != http.MethodHead) {
		b = append(b, "Content-Length: "...)
		b = strconv.AppendInt(b, int64(len(q.Body)), 10)
		b = append(b, "\r\n"...)
	}
	return append(b, "\r\n"...)
}
