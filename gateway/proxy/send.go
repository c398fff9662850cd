package proxy

import (
	"context"
	"errors"
	"slices"
	"strconv"
	"time"

	"github.com/silverdeck/silverdeck/gateway/balance"
	"github.com/silverdeck/silverdeck/gateway/policy"
	"github.com/silverdeck/silverdeck/gateway/upstream"
	"github.com/silverdeck/silverdeck/verdict"
)

// sendOptions returns the options for sending the request to an endpoint, before that is recorded as
// attempted.
func (p *Proxy) sendOptions(ctx context.Context, c *call, lease *balance.Lease) upstream.Options {
	return upstream.Options{NewConnection: c.needsNewConnection(lease), Watchdog: p.watch(ctx, c, lease), IsForeign: p.isForeign(c)}
}

// needsNewConnection reports whether the request must not be sent to an endpoint on a connection that others
// used. It must be called before the endpoint is recorded as attempted.
func (c *call) needsNewConnection(lease *balance.Lease) bool {
	return policy.NeedsNewConnection(policy.Send{
		HasID:      c.id != "",
		Repeatable: c.route.Repeatable(),
		Attempts:   len(c.attempted),
		Again:      slices.Contains(c.attempted, lease.Record.ID),
	})
}

// prepare returns the request with the headers that are specific to the endpoint.
func (p *Proxy) prepare(c *call, lease *balance.Lease) *upstream.Request {
	names := &p.cfg.Headers
	q := *c.request
	q.Header = c.request.Header.Clone()
	q.Header.Set(names.Instance, lease.Record.ID)
	q.Header.Set(names.Deadline, strconv.FormatInt(time.Until(c.deadline).Milliseconds(), 10))
	if c.lastEventID != "" {
		q.Header.Set(names.LastEventID, c.lastEventID)
	}
	if c.headSent {
		q.Header.Set(names.Priority, strconv.Itoa(c.priority()))
	}
	return &q
}

// withMalformed returns the failure to receive a response, or nil. Bytes that are no response do not mean
// that one broke off.
func withMalformed(e *verdict.Error) *verdict.Error {
	if e == nil || !isMalformed(e) {
		return e
	}
	return policy.GarbledError(e.Err)
}

// isMalformed reports whether err means that the endpoint sent bytes that are no response.
func isMalformed(err error) bool {
	var malformed *upstream.MalformedError
	return errors.As(err, &malformed)
}

// outcomeOfSendFailure returns what a failure to send implies for the endpoint.
func outcomeOfSendFailure(e *verdict.Error) balance.Outcome {
	switch {
	case e.Code == verdict.CodeCanceled:
		return balance.Neutral
	case e.Verdict() == verdict.NotRun:
		return balance.Unreachable
	}
	return balance.Failed
}
