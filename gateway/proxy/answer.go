package proxy

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/silverdeck/silverdeck/gateway/advisory"
	"github.com/silverdeck/silverdeck/gateway/balance"
	"github.com/silverdeck/silverdeck/gateway/header"
	"github.com/silverdeck/silverdeck/gateway/policy"
	"github.com/silverdeck/silverdeck/gateway/upstream"
	"github.com/silverdeck/silverdeck/verdict"
)

// Limits of reading answers.
const (
	// maxWhole bounds an answer that is read whole before it is passed on, in bytes.
	maxWhole = 8 << 20
	// maxDrain is how much of a refusal's body, in bytes, is read so that its connection
	// can be kept, and drainTime how long that may take. A new connection costs about as
	// much as either.
	maxDrain = 16 << 10
	// drainTime bounds the reading of a refusal's body.
	drainTime = 50 * time.Millisecond
)

// judge looks at the head of an answer and returns why it can't be passed on, and
// what that says of the endpoint.
func (p *Proxy) judge(a *attempt) (*verdict.Error, balance.Outcome) {
	failure := policy.CheckResponse(a.head)
	if failure == nil {
		return nil, balance.Neutral
	}
	switch failure.Code {
	case policy.CodeMisdirected:
		return failure, balance.Misdirected
	case verdict.CodeOverloaded:
		drainBody(a.x)
		return failure, refusal(&a.told)
	case verdict.CodeCrossed:
		return failure, balance.Neutral
	case verdict.CodeEngine:
		drainBody(a.x)
	}
	return failure, balance.Failed
}

// refusal returns what a refusal says of its endpoint. One that asks for rest is no failure:
// the endpoint says itself when it takes requests again.
func refusal(told *advisory.Advisory) balance.Outcome {
	if told.Rest > 0 {
		return balance.Neutral
	}
	return balance.Refused
}

// head returns the head of an answer as it is judged.
func (p *Proxy) head(c *call, x *upstream.Exchange) policy.ResponseHead {
	names := &p.cfg.Headers
	return policy.ResponseHead{
		Status:       x.Status,
		NotRun:       x.Header.Get(names.NotRun) != "",
		OtherRequest: x.Header.Get(names.RequestID) != c.id,
		Signed:       x.Header.Get(names.Stamp) != "",
	}
}

// drainBody reads a short body so that the connection can be kept. Where that
// fails the connection is closed with the exchange.
func drainBody(x *upstream.Exchange) {
	x.SetReadLimit(time.Now().Add(drainTime))
	_, _ = io.Copy(io.Discard, io.LimitReader(x, maxDrain))
}

// wholeAnswer is an answer that was read to its end.
type wholeAnswer struct {
	status int
	header http.Header
	body   []byte
}

// whole reads an answer whole and passes it on unchanged, or returns a failure when
// another endpoint has been asked for a better one.
func (p *Proxy) whole(ctx context.Context, w http.ResponseWriter, c *call, x *upstream.Exchange) (*verdict.Error, balance.Outcome) {
	body, err := io.ReadAll(io.LimitReader(x, maxWhole))
	if err != nil {
		return verdict.Classify(verdict.Answering, err), balance.Failed
	}
	answer := &wholeAnswer{status: x.Status, header: x.Header, body: body}
	outcome := balance.Served
	if x.Status >= http.StatusInternalServerError {
		outcome = balance.Failed
	}
	if outcome == balance.Failed && p.replaces(ctx, c) {
		c.fallback = answer // better than any failure of ours
		return errorAnswer(x.Status, false), outcome
	}
	p.dropHedge(c)
	answer.send(w, c)
	return nil, outcome
}

// send passes the answer on to the caller.
func (a *wholeAnswer) send(w http.ResponseWriter, c *call) {
	header.CopyEndToEnd(w.Header(), a.header)
	w.Header().Set("Content-Length", strconv.Itoa(len(a.body)))
	c.headSent = true
	w.WriteHeader(a.status)
	_, _ = w.Write(a.body) // a caller that is gone needs no answer
}

// fallBack passes on the error answer that another endpoint was to replace and did not. It
// returns false when there is none.
func (p *Proxy) fallBack(w http.ResponseWriter, c *call) bool {
	if c.fallback == nil || c.headSent {
		return false
	}
	c.fallback.send(w, c)
	return true
}

// replaces returns whether another endpoint is asked in place of one that answered with an
// error.
func (p *Proxy) replaces(ctx context.Context, c *call) bool {
	wanted := policy.RetriesErrorResponse(policy.ErrorResponse{
		Repeatable:  c.route.Repeatable(),
		Attempts:    c.reached(len(c.attempted)),
		MaxAttempts: c.route.Attempts,
		Left:        time.Until(c.deadline),
	})
	return c.hedge != nil || wanted && p.hedge(ctx, c, 0, 0)
}
