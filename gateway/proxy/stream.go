package proxy

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/silverdeck/silverdeck/gateway/balance"
	"github.com/silverdeck/silverdeck/gateway/upstream"
	"github.com/silverdeck/silverdeck/verdict"
)

// Silence of an endpoint after which a stream that may be resumed goes on elsewhere.
const (
	// gapFactor is how many times the longest pause in time an endpoint may say
	// nothing on any stream.
	gapFactor = 2
	leastGap  = 400 * time.Millisecond
	// lostFactor is how many times its aim, or its longest pause in time, a
	// single stream may be silent.
	lostFactor  = 3
	leastLost   = 900 * time.Millisecond
	eventBuffer = 4 << 10
	// maxEvent bounds one event, in bytes.
	maxEvent = 1 << 20
)

// stream passes a stream of events on as they come.
func (p *Proxy) stream(ctx context.Context, w http.ResponseWriter, j *job, x *upstream.Exchange, lease *balance.Lease) (*verdict.Error, balance.Outcome) {
	out := http.NewResponseController(w)
	_ = out.SetWriteDeadline(j.endsAt.Add(writeSlack))
	var events eventReader
	events.limit = maxEvent
	giveUp := p.giveUp(j, lease)
	for {
		if err := x.Await(giveUp); err != nil {
			return p.streamFailure(ctx, err), balance.Failed
		}
		whole, err := events.next(x)
		lease.Heard(time.Now())
		if len(whole) > 0 {
			lease.Begun()
			if failure := p.passEvents(w, out, j, x, whole); failure != nil {
				return failure, balance.Neutral
			}
		}
		if errors.Is(err, io.EOF) {
			if rest := events.rest(); len(rest) > 0 {
				return verdict.NewError(verdict.Ran, verdict.CodeCut, "the stream ended inside an event"), balance.Failed
			}
			p.beginAnswer(w, j, x)
			return nil, balance.Served
		}
		if err != nil {
			return p.streamFailure(ctx, err), streamOutcome(ctx, err)
		}
	}
}

// writeSlack is how long after the request's end an answer may still be written.
const writeSlack = 100 * time.Millisecond

// passEvents writes whole events to the caller.
func (p *Proxy) passEvents(w http.ResponseWriter, out *http.ResponseController, j *job, x *upstream.Exchange, whole []byte) *verdict.Error {
	j.noteEvent(time.Now())
	if !j.begun {
		p.cfg.Metrics.FirstEvent.Update(j.firstEvent.Microseconds())
	}
	p.beginAnswer(w, j, x)
	if id := lastEventID(whole); id != "" {
		j.lastEvent = id
	}
	if _, err := w.Write(whole); err != nil {
		return verdict.NewError(verdict.Ran, verdict.CodeCanceled, "the caller is gone").Because(err)
	}
	if err := out.Flush(); err != nil {
		return verdict.NewError(verdict.Ran, verdict.CodeCanceled, "the caller is gone").Because(err)
	}
	return nil
}

// noteEvent measures the pauses of a stream.
func (j *job) noteEvent(now time.Time) {
	if j.eventAt.IsZero() {
		j.firstEvent = now.Sub(j.started)
	} else {
		j.longestGap = max(j.longestGap, now.Sub(j.eventAt))
	}
	j.eventAt = now
}

// beginAnswer sends the head of the answer, once.
func (p *Proxy) beginAnswer(w http.ResponseWriter, j *job, x *upstream.Exchange) {
	if j.begun {
		return
	}
	j.begun = true
	copyHeader(w.Header(), x.Header)
	w.WriteHeader(x.Status)
}

func (p *Proxy) streamFailure(ctx context.Context, err error) *verdict.Error {
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

// eventReader cuts a stream of bytes into whole events.
type eventReader struct {
	buffer []byte
	// done is how much of buffer was handed out.
	done  int
	limit int
}

// eventEnd stands between two events.
var eventEnd = []byte("\n\n")

// next reads once and returns the whole events that have come, which stay
// valid until the next call.
func (r *eventReader) next(src io.Reader) ([]byte, error) {
	r.buffer = append(r.buffer[:0], r.buffer[r.done:]...)
	r.done = 0
	if cap(r.buffer)-len(r.buffer) < eventBuffer/2 {
		r.buffer = append(make([]byte, 0, 2*cap(r.buffer)+eventBuffer), r.buffer...)
	}
	n, err := src.Read(r.buffer[len(r.buffer):cap(r.buffer)])
	r.buffer = r.buffer[:len(r.buffer)+n]
	if at := bytes.LastIndex(r.buffer, eventEnd); at >= 0 {
		r.done = at + len(eventEnd)
	}
	if err == nil && len(r.buffer)-r.done > r.limit {
		err = errors.New("gateway: event too long")
	}
	return r.buffer[:r.done], err
}

// rest returns what was read of an event that is not whole.
func (r *eventReader) rest() []byte {
	return r.buffer[r.done:]
}

// lastEventID returns the id of the last event in whole that has one.
func lastEventID(whole []byte) string {
	at := bytes.LastIndex(whole, []byte("\nid:"))
	switch {
	case at >= 0:
		whole = whole[at+len("\nid:"):]
	case bytes.HasPrefix(whole, []byte("id:")):
		whole = whole[len("id:"):]
	default:
		return ""
	}
	line, _, _ := bytes.Cut(whole, []byte("\n"))
	return string(bytes.TrimSpace(line))
}
