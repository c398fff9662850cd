package proxy

import (
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/silverdeck/silverdeck/gateway/balance"
	"github.com/silverdeck/silverdeck/gateway/poison"
	"github.com/silverdeck/silverdeck/gateway/policy"
	"github.com/silverdeck/silverdeck/gateway/upstream"
	"github.com/silverdeck/silverdeck/verdict"
)

// Limits of streams.
const (
	// eventBuffer is the minimum growth of the read buffer, in bytes. Events of the engines in
	// use have some hundred bytes.
	eventBuffer = 4 << 10
	// maxEvent limits the size of one event, in bytes, so that a faulty endpoint can't exhaust
	// the memory.
	maxEvent = 1 << 20
	// writeGrace is how long after the request's deadline the response may still be written.
	writeGrace = 100 * time.Millisecond
)

// forwardStream forwards the events of a stream as they arrive.
func (p *Proxy) forwardStream(ctx context.Context, w http.ResponseWriter, c *call, a *attempt) (*verdict.Error, balance.Outcome) {
	x, lease := a.exchange, a.lease
	measured := streamMeasurement{resumed: c.headSent}
	out := http.NewResponseController(w)
	_ = out.SetWriteDeadline(c.deadline.Add(writeGrace)) // fails only if the caller has disconnected
	reader := eventReader{limit: maxEvent, held: &c.held}
	watch := p.watch(ctx, c, lease)
	received := 0 // events
	for {
		if err := reader.await(x, watch); err != nil {
			return bodyFailure(ctx, err), balance.Failed
		}
		complete, err := reader.next(x)
		lease.Received(time.Now())
		complete, garbled := soundEvents(complete)
		if len(complete) > 0 {
			received += countEvents(complete)
			if policy.ExceedsTokens(received, c.maxAnswerTokens) {
				c.passedThrough = c.headSent // nothing of another endpoint can follow
				return policy.ExcessError(received, c.maxAnswerTokens), balance.Failed
			}
			p.recordSurvival(c, a, time.Now())
			lease.PrefillDone()
			measured.add(time.Now())
			p.cancelHedge(c)
			if failure := p.forwardEvents(w, out, c, a, complete); failure != nil {
				return failure, balance.Neutral
			}
		}
		if garbled != nil {
			return garbled, balance.Failed
		}
		if errors.Is(err, io.EOF) {
			endedAt := time.Now()
			if failure := p.checkStreamEnd(c, a, received, len(reader.incomplete()) > 0); failure != nil {
				return failure, balance.Failed
			}
			c.recordCompleted(a, endedAt)
			beginStream(w, c, x)
			p.recordStream(c, a, &measured)
			return nil, balance.Served
		}
		if errors.Is(err, errNoMemory) {
			return verdict.NewError(verdict.Unknown{}, verdict.CodeCut, "no memory for the rest of an event"), balance.Neutral
		}
		if err != nil {
			return bodyFailure(ctx, err), streamOutcome(ctx, a, err)
		}
	}
}

// recordSurvival records that the endpoint has been writing the answer for a while, if it has.
func (p *Proxy) recordSurvival(c *call, a *attempt, now time.Time) {
	if a.firstEventAt.IsZero() {
		a.firstEventAt = now
	}
	if now.Sub(a.firstEventAt) >= poison.SurvivalTime {
		p.cfg.Poison.RecordSurvival(c.suspects.Parts, now)
	}
}

// checkStreamEnd returns why a stream of which the given number of events arrived was cut, or nil if it is or
// may be complete.
func (p *Proxy) checkStreamEnd(c *call, a *attempt, received int, insideEvent bool) *verdict.Error {
	if a.exchange.Framing == upstream.FramedByClose {
		return p.checkUnmarkedEnd(a, policy.UnmarkedEnd{
			Status: a.exchange.Status, Stream: true, Events: received, EndPromised: c.endPromised(), InsideEvent: insideEvent,
		})
	}
	if insideEvent {
		return policy.CutEventError()
	}
	return nil
}

// forwardEvents writes complete events to the caller.
func (p *Proxy) forwardEvents(w http.ResponseWriter, out *http.ResponseController, c *call, a *attempt, complete []byte) *verdict.Error {
	now := time.Now()
	c.recordEvent(now, c.startedAt)
	if !c.headSent {
		p.cfg.Metrics.FirstEvent.Update(c.firstEvent.Microseconds())
	}
	beginStream(w, c, a.exchange)
	if id := lastEventID(complete); id != "" {
		c.lastEventID = id
	}
	if _, err := w.Write(complete); err != nil {
		return verdict.NewError(verdict.Executed{}, verdict.CodeCanceled, "the caller is gone").WithCause(err)
	}
	if err := out.Flush(); err != nil {
		return verdict.NewError(verdict.Executed{}, verdict.CodeCanceled, "the caller is gone").WithCause(err)
	}
	a.recordWrite(now, time.Now())
	return nil
}

// beginStream sends the response head unless it was already sent.
func beginStream(w http.ResponseWriter, c *call, x *upstream.Exchange) {
	if !c.headSent {
		c.sendHead(w, x.Status, x.Header, x.Framing, -1)
	}
}

// bodyFailure returns the failure of an attempt whose response could not be read to its end because of err.
func bodyFailure(ctx context.Context, err error) *verdict.Error {
	if ctx.Err() != nil {
		err = context.Cause(ctx)
	}
	return withMalformed(verdict.Classify(verdict.Answering, err))
}

func streamOutcome(ctx context.Context, a *attempt, err error) balance.Outcome {
	if ctx.Err() == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		return balance.Failed
	}
	x := a.exchange
	unended := policy.Unended{Bytes: x.BytesRead(), HasLength: x.Framing == upstream.FramedByLength, CallerPause: a.callerPause}
	if errors.Is(context.Cause(ctx), context.DeadlineExceeded) && policy.IsEndless(unended) {
		return balance.Failed
	}
	return balance.Neutral
}
