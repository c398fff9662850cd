package proxy

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/silverdeck/silverdeck/gateway/policy"
	"github.com/silverdeck/silverdeck/gateway/upstream"
	"github.com/silverdeck/silverdeck/responsehead"
)

// Limits for reading the body of a refusal, which counts only if it is whole.
const (
	// refusalTimeout limits the time. It allows for the retransmission of a lost segment.
	refusalTimeout = 250 * time.Millisecond
	// maxRefusal is the size limit, in bytes.
	maxRefusal = 64 << 10
)

// head returns the response head as evaluated by package policy. It reads the body of a refusal.
func (p *Proxy) head(c *call, a *attempt) policy.ResponseHead {
	names, x := &p.cfg.Headers, a.exchange
	ids := x.Header.Values(names.RequestID)
	head := policy.ResponseHead{
		Endpoint:   a.lease.Record.ID,
		RequestID:  c.id,
		Status:     x.Status,
		NotRun:     x.Header.Get(names.NotRun) != "",
		Foreign:    policy.IsForeign(ids, c.id, x.NewConnection),
		Identified: policy.IsIdentified(ids, c.id, x.NewConnection),
		AnsweredBy: x.Header.Get(names.AnsweredBy),
		Signed:     x.Header.Get(names.Signature) != "",
		Fault:      policy.CheckHead(x.RawHead, x.Header, names.RequestID, names.Signature, names.NotRun, names.AnsweredBy),
	}
	if head.Fault == policy.FaultSpliced && responsehead.Check("", c.request.Header) == policy.FaultSpliced {
		head.Fault = policy.FaultQuoted
	}
	if policy.DependsOnBody(head) {
		head.Ending = p.readEnding(c, x)
	}
	return head
}

// isForeign returns a function that reports whether a response belongs to another request than c.
func (p *Proxy) isForeign(c *call) func(h http.Header, newConnection bool) bool {
	name, id := p.cfg.Headers.RequestID, c.id
	return func(h http.Header, newConnection bool) bool {
		return policy.IsForeign(h.Values(name), id, newConnection)
	}
}

// readEnding reads the body of a refusal, after which the connection can be reused, and returns how it ended.
func (p *Proxy) readEnding(c *call, x *upstream.Exchange) policy.Ending {
	unmarked, timeout := x.Framing == upstream.FramedByClose, refusalTimeout
	if unmarked && len(x.Surplus()) == 0 {
		return policy.EndingWhole // the end of its connection may be far off
	}
	if unmarked {
		timeout = drainTimeout
	}
	x.SetReadDeadline(time.Now().Add(timeout))
	body, err := io.ReadAll(io.LimitReader(x, maxRefusal+1))
	if unmarked && errors.Is(err, os.ErrDeadlineExceeded) {
		err = nil // as far as can be told, nothing follows
	}
	if err != nil || len(body) > maxRefusal {
		return policy.EndingMissing
	}
	return policy.RefusalEnding(body, x.Trailer(), p.surplus(c, x))
}

// surplus returns what stands behind a response. Line ends do not count.
func (p *Proxy) surplus(c *call, x *upstream.Exchange) policy.Surplus {
	b := bytes.TrimLeft(x.Surplus(), "\r\n")
	if len(b) == 0 {
		return policy.NoSurplus
	}
	if responsehead.HasStatus(b, x.Status) {
		return policy.SurplusAnswer
	}
	resp, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(b)), nil)
	if err != nil || responsehead.CheckSyntax(resp.StatusCode, resp.Header) != responsehead.NoFault {
		return policy.SurplusOther
	}
	if ids := resp.Header.Values(p.cfg.Headers.RequestID); len(ids) == 1 && policy.IsForeign(ids, c.id, false) {
		return policy.SurplusAnswer
	}
	return policy.SurplusOther
}
