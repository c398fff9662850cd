package proxy

import (
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/silverdeck/silverdeck/gateway/policy"
	"github.com/silverdeck/silverdeck/verdict"
)

// Timeouts of callers that stop reading or writing.
const (
	// callerReadTimeout is how long a caller may send nothing of a body that it has begun.
	callerReadTimeout = 5 * time.Second
	// callerWriteTimeout is how long a caller may take nothing of a response that is ready. Callers
	// give up a stream after a pause of two seconds.
	callerWriteTimeout = 2 * time.Second
	// copyBuffer is the number of bytes that are copied at a time.
	copyBuffer = 32 << 10
)

// errNoMemory means that the bodies of other requests take all of the memory.
var errNoMemory = errors.New("no memory for the body")

// readBody reads the body of a request, of at most limit bytes. The memory is reserved in c.held.
func (p *Proxy) readBody(w http.ResponseWriter, r *http.Request, c *call, limit int) ([]byte, *verdict.Error) {
	if limit <= 0 {
		limit = defaultBodyLimit
	}
	if r.ContentLength == 0 {
		return nil, nil
	}
	source := &stallingReader{
		source:      http.MaxBytesReader(w, r.Body, int64(limit)),
		setDeadline: http.NewResponseController(w).SetReadDeadline,
		limit:       func() time.Time { return p.bodyDeadline(c) },
	}
	defer context.AfterFunc(p.shutdownCtx, source.extend)()
	body, _, err := readReserved(source, &c.held, int64(limit)+1)
	if errors.Is(err, os.ErrDeadlineExceeded) && p.shutdown.Load() != nil {
		return nil, leavingError() // the deadline stays, since net/http reads the rest of a body before it responds
	}
	source.finish()
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		return nil, verdict.NewError(verdict.Unsent{}, policy.CodeTooLarge, "body of more than %d bytes", limit)
	case errors.Is(err, errNoMemory):
		return nil, verdict.NewError(verdict.Unsent{}, verdict.CodeOverloaded, "%s", errNoMemory).WithRetryAfter(policy.RetryAfterDefault)
	case err != nil:
		return nil, verdict.NewError(verdict.Unsent{}, verdict.CodeCanceled, "body not whole").WithCause(err)
	}
	return body, nil
}

// bodyDeadline returns when reading the body of c ends because this process stops, or the zero time.
func (p *Proxy) bodyDeadline(c *call) time.Time {
	s := p.shutdown.Load()
	if s == nil {
		return time.Time{}
	}
	return policy.BodyDeadline(c.startedAt, c.deadline, s.began, s.end)
}

// stallingReader reads from a source that may stop sending.
type stallingReader struct {
	source      io.Reader
	setDeadline func(time.Time) error
	// limit returns a time after which nothing is read, or the zero time.
	limit func() time.Time

	mu sync.Mutex
	// finished is set once the deadline concerns others.
	finished bool
}

// Read implements io.Reader.
func (s *stallingReader) Read(p []byte) (int, error) {
	s.extend()
	return s.source.Read(p)
}

// extend gives the source callerReadTimeout to send something, up to the limit.
func (s *stallingReader) extend() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.finished {
		return
	}
	deadline := time.Now().Add(callerReadTimeout)
	if limit := s.limit(); !limit.IsZero() && limit.Before(deadline) {
		deadline = limit
	}
	_ = s.setDeadline(deadline) // fails only if the caller has disconnected
}

// finish removes the deadline. Later calls of extend have no effect.
func (s *stallingReader) finish() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.finished = true
	_ = s.setDeadline(time.Time{}) // fails only if the caller has disconnected
}

// readReserved reads r to its end, or up to limit bytes if that comes first. whole reports whether
// the end was reached. The error is errNoMemory if held can't be extended; what was read is
// returned in any case.
func readReserved(r io.Reader, held *reservation, limit int64) (body []byte, whole bool, err error) {
	size := bodySizeHint
	for int64(len(body)) < limit {
		if len(body) == cap(body) {
			if !held.add(int64(size)) {
				return body, false, errNoMemory
			}
			body = append(make([]byte, 0, cap(body)+size), body...)
			size = cap(body)
		}
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if errors.Is(err, io.EOF) {
			return body, true, nil
		}
		if err != nil {
			return body, false, err
		}
	}
	return body, false, nil
}

// bodySizeHint is the initial size of a buffer for a body, in bytes. Most bodies fit into it.
const bodySizeHint = 2 << 10

// writeToCaller writes b to the caller in pieces. A caller that takes nothing of a piece for
// callerWriteTimeout is disconnected.
func writeToCaller(w http.ResponseWriter, b []byte) error {
	out := http.NewResponseController(w)
	for len(b) > 0 {
		n := min(len(b), copyBuffer)
		_ = out.SetWriteDeadline(time.Now().Add(callerWriteTimeout)) // fails only if the caller has disconnected
		if _, err := w.Write(b[:n]); err != nil {
			return err
		}
		b = b[n:]
	}
	return nil
}
