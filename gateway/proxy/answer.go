package proxy

import (
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"slices"
	"time"

	"github.com/silverdeck/silverdeck/gateway/advisory"
	"github.com/silverdeck/silverdeck/gateway/balance"
	"github.com/silverdeck/silverdeck/gateway/policy"
	"github.com/silverdeck/silverdeck/gateway/upstream"
	"github.com/silverdeck/silverdeck/verdict"
)

// Limits for reading responses.
const (
	// maxBufferedResponse is the size limit, in bytes, of a response that is read completely
	// before it is forwarded.
	maxBufferedResponse = 8 << 20
	// maxDrain is how many bytes of a body that is not forwarded are read so that its connection can be
	// reused. Opening a new connection costs about as much as reading maxDrain bytes or waiting
	// for drainTimeout.
	maxDrain = 16 << 10
	// drainTimeout limits the time for reading that body.
	drainTimeout = 50 * time.Millisecond
	// refusalTimeout limits the time for reading the body of a refusal, which counts only if it is whole.
	// It allows for the retransmission of a lost segment.
	refusalTimeout = 250 * time.Millisecond
)

// judge checks the head of a response. If the response can't be forwarded, judge returns why,
// and what that implies for the endpoint.
func (p *Proxy) judge(a *attempt) (*verdict.Error, balance.Outcome) {
	if policy.DependsOnBody(a.head) {
		a.head.Ending = readEnding(a.exchange)
	}
	failure := policy.CheckResponse(a.head)
	if failure == nil {
		return nil, balance.Neutral
	}
	switch failure.Code {
	case policy.CodeMisdirected:
		return failure, balance.Misdirected
	case verdict.CodeOverloaded:
		return failure, refusal(&a.advisory)
	case verdict.CodeCrossed:
		return failure, balance.Neutral
	case verdict.CodeEngine:
		drainBody(a.exchange)
	}
	return failure, balance.Failed
}

// refusal returns what a refusal implies for the endpoint. A refusal that asks for a back-off is not
// a failure: the endpoint states when it accepts requests again.
func refusal(adv *advisory.Advisory) balance.Outcome {
	if adv.RetryAfter > 0 {
		return balance.Neutral
	}
	return balance.Refused
}

// head returns the response head as evaluated by package policy.
func (p *Proxy) head(c *call, a *attempt) policy.ResponseHead {
	names, x := &p.cfg.Headers, a.exchange
	ids := x.Header.Values(names.RequestID)
	return policy.ResponseHead{
		Endpoint:   a.lease.Record.ID,
		RequestID:  c.id,
		Status:     x.Status,
		NotRun:     x.Header.Get(names.NotRun) != "",
		Foreign:    policy.IsForeign(ids, c.id, x.NewConnection),
		Identified: policy.IsIdentified(ids, c.id, x.NewConnection),
		Signed:     x.Header.Get(names.Signature) != "",
		Fault:      policy.CheckHead(x.RawHead, x.Header, names.RequestID, names.Signature, names.NotRun),
	}
}

// isForeign returns a function that reports whether a response belongs to another request than c.
func (p *Proxy) isForeign(c *call) func(h http.Header, newConnection bool) bool {
	name, id := p.cfg.Headers.RequestID, c.id
	return func(h http.Header, newConnection bool) bool {
		return policy.IsForeign(h.Values(name), id, newConnection)
	}
}

// readEnding reads the body of a refusal, after which the connection can be reused, and returns how it ended.
func readEnding(x *upstream.Exchange) policy.Ending {
	if x.Framing == upstream.FramedByClose && len(x.Surplus()) == 0 {
		return policy.EndingWhole // the end of its connection may be far off
	}
	x.SetReadDeadline(time.Now().Add(refusalTimeout))
	body, err := io.ReadAll(io.LimitReader(x, maxDrain+1))
	if err != nil || len(body) > maxDrain {
		return policy.EndingMissing
	}
	return policy.RefusalEnding(x.Status, body, x.Trailer(), x.Surplus())
}

// drainBody reads a short body so that the connection can be reused. If that fails, the
// connection is closed together with the exchange.
func drainBody(x *upstream.Exchange) {
	if x.Framing == upstream.FramedByClose {
		return // the connection can't be reused
	}
	x.SetReadDeadline(time.Now().Add(drainTimeout))
	_, _ = io.Copy(io.Discard, io.LimitReader(x, maxDrain))
}

// bufferedResponse is a response that was read completely.
type bufferedResponse struct {
	status  int
	header  http.Header
	framing upstream.Framing
	// length is the length of the body, or -1 if it is not known. body is the part that was read.
	length int64
	body   []byte
}

// forwardBuffered reads a complete response and forwards it unchanged. It returns a failure if
// another endpoint was asked for a replacement. A response that is too long, or for which there is
// no memory, is forwarded as it arrives.
func (p *Proxy) forwardBuffered(ctx context.Context, w http.ResponseWriter, c *call, a *attempt) (*verdict.Error, balance.Outcome) {
	x := a.exchange
	body, whole, err := readReserved(x, &c.held, maxBufferedResponse)
	if err != nil && !errors.Is(err, errNoMemory) {
		return bodyFailure(err), balance.Failed
	}
	endedAt := time.Now()
	if failure := policy.CheckBodyEnd(body, x.Surplus()); whole && failure != nil {
		return failure, balance.Failed
	}
	response := &bufferedResponse{status: x.Status, header: x.Header, framing: x.Framing, length: int64(len(body)), body: body}
	if !whole {
		response.length = x.Length
		return p.passThrough(ctx, w, c, a, response)
	}
	if x.Framing == upstream.FramedByClose {
		end := policy.UnmarkedEnd{Status: x.Status, JSON: isJSON(x.Header), Body: body,
			InsideEvent: isEventStream(x.Header) && policy.EndsInsideEvent(body)}
		if failure := p.checkUnmarkedEnd(a, end); failure != nil {
			return failure, balance.Failed
		}
	}
	c.recordCompleted(a, endedAt)
	outcome := balance.Served
	if x.Status >= http.StatusInternalServerError {
		outcome = balance.Failed
	}
	if outcome == balance.Failed && p.awaitsReplacement(ctx, c) {
		c.fallback = response // preferred to an error generated by this gateway
		return statusFailure(x.Status, false), outcome
	}
	p.cancelHedge(c)
	a.outcome = outcome
	a.finish() // the endpoint is done, however slowly the caller reads
	p.send(w, c, response)
	return nil, outcome
}

// passThrough forwards a response of which a part was read, and the rest as it arrives. The endpoint
// is read no faster than the caller reads.
func (p *Proxy) passThrough(ctx context.Context, w http.ResponseWriter, c *call, a *attempt, r *bufferedResponse) (*verdict.Error, balance.Outcome) {
	x := a.exchange
	p.cfg.Metrics.PassedThrough.Inc(1)
	p.cancelHedge(c)
	c.passedThrough = true
	err := r.writeTo(w, c)
	tail := lastBytes(r.body, nil)
	buffer := make([]byte, copyBuffer)
	for err == nil {
		n, readErr := x.Read(buffer)
		endedAt := time.Now()
		tail = lastBytes(tail, buffer[:n])
		if err = writeToCaller(w, buffer[:n]); err != nil {
			break
		}
		if errors.Is(readErr, io.EOF) && x.Framing == upstream.FramedByClose {
			end := policy.UnmarkedEnd{Status: x.Status, InsideEvent: isEventStream(x.Header) && policy.EndsInsideEvent(tail)}
			if failure := p.checkUnmarkedEnd(a, end); failure != nil {
				return failure, balance.Failed
			}
		}
		if errors.Is(readErr, io.EOF) {
			c.recordCompleted(a, endedAt)
			if err = c.flush(w); err != nil {
				break
			}
			return nil, balance.Served
		}
		if readErr != nil {
			return streamFailure(ctx, readErr), streamOutcome(ctx, readErr)
		}
	}
	p.cfg.Metrics.CallersStalled.Inc(1)
	return verdict.NewError(verdict.Executed{}, verdict.CodeCanceled, "the caller is gone or does not read").WithCause(err), balance.Neutral
}

// lastBytes returns the end of a followed by b, of at most policy.EventEndSize bytes.
func lastBytes(a, b []byte) []byte {
	a, b = a[max(len(a)-policy.EventEndSize, 0):], b[max(len(b)-policy.EventEndSize, 0):]
	joined := slices.Concat(a, b)
	return joined[max(len(joined)-policy.EventEndSize, 0):]
}

// send writes the response to the caller. A caller that does not read is disconnected.
func (p *Proxy) send(w http.ResponseWriter, c *call, r *bufferedResponse) {
	err := r.writeTo(w, c)
	if err == nil {
		err = c.flush(w)
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		p.cfg.Metrics.CallersStalled.Inc(1)
	}
	if err != nil {
		c.abort(w)
	}
}

// writeTo writes the response, or the part of it that was read, to the caller.
func (r *bufferedResponse) writeTo(w http.ResponseWriter, c *call) error {
	c.sendHead(w, r.status, r.header, r.framing, r.length)
	return writeToCaller(w, r.body)
}

// fallBack forwards the error response that no other endpoint replaced, and reports whether
// there was one.
func (p *Proxy) fallBack(w http.ResponseWriter, c *call) bool {
	if c.fallback == nil || c.headSent {
		return false
	}
	p.send(w, c, c.fallback)
	return true
}

// awaitsReplacement reports whether another endpoint is asked to replace an error response. It
// starts a hedge if none is in progress.
func (p *Proxy) awaitsReplacement(ctx context.Context, c *call) bool {
	allowed := policy.RetriesErrorResponse(policy.ErrorResponse{
		Repeatable:  c.route.Repeatable(),
		Attempts:    c.countedAttempts(len(c.attempted)),
		MaxAttempts: c.route.Attempts,
		Left:        time.Until(c.deadline),
	})
	return c.hedge != nil || allowed && p.hedge(ctx, c, policy.Hedge{}, 0)
}
