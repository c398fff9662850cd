package caller

import (
	"context"
	"io"
	"net/http"

	"github.com/silverdeck/silverdeck/limitread"
	"github.com/silverdeck/silverdeck/standalone/hop"
	"github.com/silverdeck/silverdeck/standalone/ticket"
	"github.com/silverdeck/silverdeck/verdict"
)

// RelayPrefix stands before the path of a request that one entry passes on to
// another, on the peer port.
const RelayPrefix = "/relay"

// Relay passes requests on to the entry that minted their ticket.
type Relay struct {
	http *http.Client
	base string
}

// NewRelay returns a Relay. scheme is http or https.
func NewRelay(c *http.Client, scheme string) *Relay {
	return &Relay{http: c, base: scheme + "://"}
}

// pass sends the request to the entry at addr and its answer to w. The answer counts in held.
func (y *Relay) pass(ctx context.Context, w http.ResponseWriter, q *http.Request, body []byte, addr string, held *heldAnswers) {
	r, err := http.NewRequestWithContext(ctx, q.Method, y.base+addr+RelayPrefix+q.URL.RequestURI(), hop.OnceBody(body))
	if err != nil {
		hop.WriteError(w, verdict.NewError(verdict.Unsent{}, verdict.CodeBadRequest, "bad path").WithCause(err))
		return
	}
	r.ContentLength = int64(len(body))
	r.Header = q.Header.Clone()
	r.Header.Del("Idempotency-Key")
	r.Header.Del("X-Idempotency-Key")
	r.Header.Set(ticket.Header, w.Header().Get(ticket.Header))
	r.Header.Set(HeaderRelayed, "1")
	resp, err := y.http.Do(r)
	if err != nil {
		e := ticket.Stale()
		hop.WriteError(w, e.WithCause(err))
		return
	}
	defer func() { _ = resp.Body.Close() }()
	for k, v := range resp.Header {
		w.Header()[k] = v
	}
	if !hop.MarksEnd(resp) {
		hop.LeaveUnmarked(w.Header())
	}
	if hop.IsStream(resp.Header) {
		w.WriteHeader(resp.StatusCode)
		_ = stream(w, &doneReader{src: resp.Body}) // the caller is told in the stream itself
		return
	}
	kept := held.body(resp.Body)
	defer func() { _ = kept.Close() }()
	b, err := limitread.ReadAll(kept, maxAnswer)
	if err != nil {
		w.Header().Del("Content-Length")
		hop.WriteError(w, verdict.Classify(verdict.Answering, err))
		return
	}
	w.WriteHeader(resp.StatusCode)
	_, _ = w.Write(b)
}

// doneReader turns the end of a stream without its last event into an error.
type doneReader struct {
	src  io.Reader
	tail []byte
}

// tailBytes is enough to hold the last event of a stream.
const tailBytes = 32

// Read implements io.Reader.
func (d *doneReader) Read(p []byte) (int, error) {
	n, err := d.src.Read(p)
	d.tail = append(d.tail, p[:n]...)
	if extra := len(d.tail) - tailBytes; extra > 0 {
		d.tail = d.tail[extra:]
	}
	if err == io.EOF && !hop.EndsDone(d.tail) {
		return n, verdict.NewError(verdict.Unknown{}, verdict.CodeCut, "the stream was cut")
	}
	if err != nil && err != io.EOF {
		return n, verdict.Classify(verdict.Answering, err)
	}
	return n, err
}
