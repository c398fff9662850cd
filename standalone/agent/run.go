package agent

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"go.opentelemetry.io/otel/attribute"

	"github.com/silverdeck/silverdeck/drain"
	"github.com/silverdeck/silverdeck/responsehead"
	"github.com/silverdeck/silverdeck/standalone/admission"
	"github.com/silverdeck/silverdeck/standalone/hop"
	"github.com/silverdeck/silverdeck/standalone/peer"
	"github.com/silverdeck/silverdeck/telemetry"
	"github.com/silverdeck/silverdeck/verdict"
)

const (
	// maxRequestBody is the largest request that an agent takes, in bytes.
	maxRequestBody = 64 << 20
	// maxRefusal limits the body of an engine's refusal, in bytes.
	maxRefusal = 64 << 10
	// refusalTimeout limits the time for reading the body of a refusal.
	refusalTimeout = 250 * time.Millisecond
)

// priorities are what engines know of the classes; lower is sooner.
var priorities = map[string]string{"urgent": "0", "normal": "5", "bulk": "9"}

// runner runs requests on the endpoint, each at most once.
type runner struct {
	engine string
	http   *http.Client
	gate   *admission.Gate
	// slots is how many requests that are not urgent run at once.
	slots   int
	serves  func(model, adapter, root string) bool
	tracer  *telemetry.Tracer
	running *drain.Tracker
	cut     atomic.Int64
	// attempts counts the requests that came.
	attempts atomic.Int64
}

// load returns what the endpoint has to do.
func (r *runner) load() peer.Load {
	c := r.gate.Counts()
	return peer.Load{Running: c.Running, Queued: c.Queued, Slots: r.slots}
}

// ServeHTTP takes a request from an entry.
func (r *runner) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	r.attempts.Add(1)
	r.running.Enter()
	defer r.running.Leave()
	meta, err := hop.ParseMeta(q.Header)
	if err == nil {
		err = r.serve(w, q, meta)
	}
	if err != nil {
		w.Header().Set(hop.HeaderAttempt, meta.Attempt)
		w.Header().Set(hop.HeaderLoad, hop.FormatLoad(r.load()))
		hop.WriteError(w, verdict.From(err))
	}
}

// serve runs the request. It returns an error only before the answer began.
func (r *runner) serve(w http.ResponseWriter, q *http.Request, meta hop.Meta) error {
	ctx, span := r.tracer.StartServerSpan(q.Context(), q.Header, "agent.run", attribute.String("request", meta.Request))
	defer span.End()
	ctx, cancel := context.WithTimeout(ctx, meta.Budget)
	defer cancel()
	body, err := io.ReadAll(http.MaxBytesReader(w, q.Body, maxRequestBody))
	if err != nil {
		return verdict.NewError(verdict.Unsent{}, verdict.CodeBadRequest, "the request's body did not arrive whole").WithCause(err)
	}
	release, err := r.gate.Acquire(ctx, admission.Request{Class: meta.Class, Account: meta.Account, Share: meta.Share, Cost: meta.Cost})
	if err != nil {
		return err
	}
	defer release()
	if meta.Model != "" && !r.serves(meta.Model, meta.Adapter, meta.Root) {
		return verdict.NewError(verdict.Unsent{}, verdict.CodeNoEndpoint, "the endpoint does not serve this version")
	}
	resp, err := r.send(ctx, q, meta, body)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	r.relay(w, resp, meta)
	return nil
}

// send passes the request to the engine and waits for the head of the answer.
func (r *runner) send(ctx context.Context, q *http.Request, meta hop.Meta, body []byte) (*http.Response, error) {
	path := strings.TrimPrefix(q.URL.RequestURI(), hop.RunPrefix)
	ctx, progress := hop.Track(ctx)
	out, err := http.NewRequestWithContext(ctx, q.Method, r.engine+path, hop.OnceBody(body))
	if err != nil {
		return nil, verdict.NewError(verdict.Unsent{}, verdict.CodeBadRequest, "bad path").WithCause(err)
	}
	out.ContentLength = int64(len(body))
	hop.CopyHeader(out.Header, q.Header)
	out.Header.Set("X-Request-Id", meta.Attempt)
	out.Header.Set("X-Priority", priorities[string(meta.Class)])
	_, span := r.tracer.StartClientSpan(ctx, out.Header, "engine.request")
	defer span.End()
	resp, err := r.http.Do(out)
	if err != nil {
		return nil, verdict.Classify(progress.At(), err)
	}
	if err := r.check(resp, meta); err != nil {
		_ = resp.Body.Close()
		return nil, err
	}
	return resp, nil
}

// check returns why the engine's answer is not passed on, or nil. By the engines' protocol 429 and 503
// come before anything has run, which only a whole answer proves. Its head is that of one answer; see
// secure.Dialer.
func (r *runner) check(resp *http.Response, meta hop.Meta) error {
	if resp.StatusCode != http.StatusTooManyRequests && resp.StatusCode != http.StatusServiceUnavailable {
		return nil
	}
	if err := readRefusal(resp.Body); err != nil {
		return verdict.NewError(verdict.Unknown{}, verdict.CodeEngine, "the engine's refusal is not whole: %s", resp.Status).WithCause(err)
	}
	evidence := verdict.Refused{Endpoint: r.engine, RequestID: meta.Attempt, Status: resp.StatusCode}
	return verdict.NewError(evidence, verdict.CodeOverloaded, "the engine refused: %s", resp.Status)
}

// Errors of refusals that prove nothing.
var (
	errLongRefusal = errors.New("agent: the body of the refusal is too long")
	errFollowed    = errors.New("agent: another answer follows the refusal")
)

// readRefusal reads the body of a refusal. It returns an error unless that is whole and all that came.
func readRefusal(body io.ReadCloser) error {
	stop := time.AfterFunc(refusalTimeout, func() { _ = body.Close() })
	defer stop.Stop()
	b, err := io.ReadAll(io.LimitReader(body, maxRefusal+1))
	switch {
	case err != nil:
		return err
	case len(b) > maxRefusal:
		return errLongRefusal
	case responsehead.BeginsResponse(string(b)):
		return errFollowed
	}
	return nil
}

// errCut tells that the engine's answer ended before its end.
var errCut = errors.New("agent: the engine's answer was cut")

// relay passes the engine's answer on, with the end mark if it is whole. A cut
// answer ends in an aborted connection, so that nobody takes it for whole.
func (r *runner) relay(w http.ResponseWriter, resp *http.Response, meta hop.Meta) {
	h := w.Header()
	hop.CopyHeader(h, resp.Header)
	h.Del("Content-Length")
	h.Set(hop.HeaderAttempt, meta.Attempt)
	h.Set(hop.HeaderLoad, hop.FormatLoad(r.load()))
	if !hop.MarksEnd(resp) {
		h.Set(hop.HeaderUnmarked, "1")
	}
	hop.Declare(h)
	w.WriteHeader(resp.StatusCode)
	mark := hop.NewEndMark()
	var err error
	if hop.IsStream(resp.Header) {
		err = copyStream(w, resp.Body, mark)
	} else {
		_, err = io.Copy(io.MultiWriter(w, mark), resp.Body)
	}
	if err != nil {
		r.cut.Add(1)
		panic(http.ErrAbortHandler)
	}
	mark.SetTrailers(h)
}

// copyStream passes server-sent events on, each as it comes. A stream that
// ends without its last event is cut.
func copyStream(w http.ResponseWriter, src io.Reader, mark io.Writer) error {
	c := http.NewResponseController(w)
	lines := hop.NewLineReader(src)
	done := false
	for {
		line, err := lines.ReadLine()
		if len(line) > 0 {
			if _, werr := io.MultiWriter(w, mark).Write(line); werr != nil {
				return werr
			}
			done = done || hop.IsDone(line)
		}
		if len(bytes.TrimSpace(line)) == 0 || err != nil {
			if ferr := c.Flush(); ferr != nil {
				return ferr
			}
		}
		if errors.Is(err, io.EOF) && done {
			return nil
		}
		if errors.Is(err, io.EOF) {
			return errCut
		}
		if err != nil {
			return err
		}
	}
}
