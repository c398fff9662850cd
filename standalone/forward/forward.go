// Package forward sends one attempt of a request from an entry to an agent,
// and checks that the answer is whole and belongs to the attempt.
//
// It owns nothing but the connections of its HTTP client. It relies on the end mark
// of package hop.
package forward

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync/atomic"

	"go.opentelemetry.io/otel/attribute"

	"github.com/silverdeck/silverdeck/standalone/hop"
	"github.com/silverdeck/silverdeck/standalone/peer"
	"github.com/silverdeck/silverdeck/telemetry"
	"github.com/silverdeck/silverdeck/verdict"
)

// Attempt is one try of a request at one endpoint.
type Attempt struct {
	Addr   string
	Method string
	// Path is the request's path with its query.
	Path   string
	Header http.Header
	Body   []byte
	Meta   hop.Meta
}

// Answer is what an endpoint answers. Body yields io.EOF only after a whole
// answer, and a *verdict.Error after a cut one. The caller closes it.
type Answer struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
	Load   peer.Load
	Loaded bool
	// Unmarked is set if the engine did not mark the end of its answer, which may be cut.
	Unmarked bool
}

// Forwarder sends attempts. It is safe for concurrent use.
type Forwarder struct {
	http   *http.Client
	base   string
	tracer *telemetry.Tracer
	// Crossed counts answers that belonged to another attempt, Cut those that
	// ended early.
	Crossed, Cut atomic.Int64
}

// New returns a Forwarder. scheme is http or https.
func New(c *http.Client, scheme string, tracer *telemetry.Tracer) *Forwarder {
	return &Forwarder{http: c, base: scheme + "://", tracer: tracer}
}

// Do sends a and waits for the head of the answer. An error is a
// *verdict.Error that says whether the attempt may have run.
func (f *Forwarder) Do(ctx context.Context, a Attempt) (*Answer, error) {
	ctx, progress := hop.Track(ctx)
	r, err := http.NewRequestWithContext(ctx, a.Method, f.base+a.Addr+hop.RunPrefix+a.Path, hop.OnceBody(a.Body))
	if err != nil {
		return nil, verdict.NewError(verdict.Unsent{}, verdict.CodeBadRequest, "bad path").WithCause(err)
	}
	r.ContentLength = int64(len(a.Body))
	hop.CopyHeader(r.Header, a.Header)
	a.Meta.Set(r.Header)
	_, span := f.tracer.StartClientSpan(ctx, r.Header, "entry.attempt",
		attribute.String("request", a.Meta.Request), attribute.String("endpoint", a.Addr))
	defer span.End()
	resp, err := f.http.Do(r)
	if err != nil {
		return nil, verdict.Classify(progress.At(), err)
	}
	if got := resp.Header.Get(hop.HeaderAttempt); got != a.Meta.Attempt {
		_ = resp.Body.Close()
		f.Crossed.Add(1)
		return nil, verdict.NewError(verdict.Unknown{}, verdict.CodeCrossed, "the answer belongs to attempt %q", got)
	}
	load, loaded := hop.ParseLoad(resp.Header.Get(hop.HeaderLoad))
	if resp.Header.Get(verdict.Header) != "" {
		defer func() { _ = resp.Body.Close() }()
		return &Answer{Load: load, Loaded: loaded}, hop.ReadError(resp)
	}
	h := http.Header{}
	hop.CopyHeader(h, resp.Header)
	body := &markedBody{resp: resp, mark: hop.NewEndMark(), cut: &f.Cut}
	return &Answer{
		Status: resp.StatusCode, Header: h, Body: body, Load: load, Loaded: loaded,
		Unmarked: resp.Header.Get(hop.HeaderUnmarked) != "",
	}, nil
}

// markedBody checks the end mark of an answer.
type markedBody struct {
	resp *http.Response
	mark *hop.EndMark
	cut  *atomic.Int64
}

// Read implements io.Reader.
func (b *markedBody) Read(p []byte) (int, error) {
	n, err := b.resp.Body.Read(p)
	_, _ = b.mark.Write(p[:n])
	if err == nil {
		return n, nil
	}
	if errors.Is(err, io.EOF) && b.mark.Matches(b.resp.Trailer) {
		return n, io.EOF
	}
	b.cut.Add(1)
	e := verdict.Classify(verdict.Answering, err)
	e.Detail = "the answer was cut"
	return n, e
}

// Close implements io.Closer.
func (b *markedBody) Close() error {
	return b.resp.Body.Close()
}
