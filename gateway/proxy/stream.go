package proxy

import (
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/silverdeck/silverdeck/gateway/balance"
	"github.com/silverdeck/silverdeck/gateway/header"
	"github.com/silverdeck/silverdeck/gateway/upstream"
	"github.com/silverdeck/silverdeck/verdict"
)

// Limits of streams.
const (
	// eventBuffer is the room for reading, in bytes: an event of the engines seen has some
	// hundred.
	eventBuffer = 4 << 10
	// maxEvent bounds one event, in bytes, so that a broken endpoint can't fill the memory.
	maxEvent = 1 << 20
	// writeSlack is how long after the request's deadline an answer may still be written.
	writeSlack = 100 * time.Millisecond
)

// stream passes a stream of events on as they come.
func (p *Proxy) stream(ctx context.Context, w http.ResponseWriter, c *call, x *upstream.Exchange, lease *balance.Lease) (*verdict.Error, balance.Outcome) {
	out := http.NewResponseController(w)
	_ = out.SetWriteDeadline(c.deadline.Add(writeSlack)) // fails only once the caller is gone
	var events eventReader
	events.limit = maxEvent
	watch := p.watch(ctx, c, lease)
	for {
		if err := x.Await(watch); err != nil {
			return streamFailure(ctx, err), balance.Failed
		}
		whole, err := events.next(x)
		lease.Received(time.Now())
		if len(whole) > 0 {
			lease.PrefillDone()
			p.dropHedge(c)
			if failure := p.passEvents(w, out, c, x, whole); failure != nil {
				return failure, balance.Neutral
			}
		}
		if errors.Is(err, io.EOF) {
			if rest := events.rest(); len(rest) > 0 {
				return verdict.NewError(verdict.Ran, verdict.CodeCut, "the stream ended inside an event"), balance.Failed
			}
			beginAnswer(w, c, x)
			return nil, balance.Served
		}
		if err != nil {
			return streamFailure(ctx, err), streamOutcome(ctx, err)
		}
	}
}

// passEvents writes whole events to the caller.
func (p *Proxy) passEvents(w http.ResponseWriter, out *http.ResponseController, c *call, x *upstream.Exchange, whole []byte) *verdict.Error {
	c.noteEvent(time.Now(), c.startedAt)
	if !c.headSent {
		p.cfg.Metrics.FirstEvent.Update(c.firstEvent.Microseconds())
	}
	beginAnswer(w, c, x)
	if id := lastEventID(whole); id != "" {
		c.lastEventID = id
	}
	if _, err := w.Write(whole); err != nil {
		return verdict.NewError(verdict.Ran, verdict.CodeCanceled, "the caller is gone").Because(err)
	}
	if err := out.Flush(); err != nil {
		return verdict.NewError(verdict.Ran, verdict.CodeCanceled, "the caller is gone").Because(err)
	}
	return nil
}

// beginAnswer sends the head of the answer, once.
func beginAnswer(w http.ResponseWriter, c *call, x *upstream.Exchange) {
	if c.headSent {
		return
	}
	c.headSent = true
	header.CopyEndToEnd(w.Header(), x.Header)
	w.WriteHeader(x.Status)
}

func streamFailure(ctx context.Context, err error) *verdict.Error {
	if ctx.Err() != nil {
		err = context.Cause(ctx)
	}
	return verdict.Classify(verdict.Answering, err)
}

func streamOutcome(ctx context.Context, err error) balance.Outcome {
	if ctx.Err() != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		return balance.Neutral
	}
	return balance.Failed
}
