package proxy

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/silverdeck/silverdeck/gateway/header"
	"github.com/silverdeck/silverdeck/gateway/poison"
	"github.com/silverdeck/silverdeck/gateway/policy"
	"github.com/silverdeck/silverdeck/gateway/residency"
	"github.com/silverdeck/silverdeck/gateway/upstream"
	"github.com/silverdeck/silverdeck/routes"
	"github.com/silverdeck/silverdeck/serve"
	"github.com/silverdeck/silverdeck/verdict"
)

// Defaults for callers and configurations that do not set these values.
const (
	// defaultDeadline is the timeout of a caller that sends no deadline. The route's timeout may
	// reduce it further.
	defaultDeadline = 30 * time.Second
	// defaultBodyLimit is the size limit of a request body, in bytes.
	defaultBodyLimit = 4 << 20
)

// accept validates a request against the configuration and reads its body. On failure, the call
// contains the fields that were determined before the request was rejected.
func (p *Proxy) accept(w http.ResponseWriter, r *http.Request) (*call, *verdict.Error) {
	names := &p.cfg.Headers
	c := &call{id: r.Header.Get(names.RequestID), startedAt: time.Now(), config: p.routes.Load(), http10: !r.ProtoAtLeast(1, 1)}
	c.resetOnExit = func(on bool) { serve.ResetOnExit(r.Context(), on) }
	if c.config == nil {
		return c, verdict.NewError(verdict.Unsent{}, verdict.CodeNoEndpoint, "no configuration yet").WithRetryAfter(policy.RetryAfterNoConfig)
	}
	path, _, _ := strings.Cut(r.RequestURI, "?")
	c.route = c.config.Match(r.Host, path)
	if c.route == nil {
		return c, verdict.NewError(verdict.Unsent{}, verdict.CodeNotFound, "no route for %s%s", r.Host, path)
	}
	if !c.route.Public && c.config.NeedsKeys() {
		c.account = c.config.Account(r.Header.Get(names.Key))
		if c.account == nil {
			return c, verdict.NewError(verdict.Unsent{}, verdict.CodeUnauthorized, "unknown key")
		}
	}
	timeout, given := callerTimeout(r.Header.Get(names.Deadline))
	c.deadline = c.startedAt.Add(min(timeout, c.route.Timeout))
	c.held.memory = p.cfg.Memory
	body, failure := p.readBody(w, r, c, c.config.Limits.BodyBytes)
	if failure != nil {
		return c, failure
	}
	c.service = c.route.Target(p.cfg.Random())
	c.regions = allowedRegions(c.route, c.account)
	c.model = r.Header.Get(names.Model)
	c.promptTokens, c.maxAnswerTokens = tokenCounts(r.Header.Get(names.Tokens))
	c.answerHint = tokenCount(r.Header.Get(names.LengthHint))
	c.lastEventID = r.Header.Get(names.LastEventID)
	if given {
		c.elapsed = p.callerTimeouts.elapsed(c.timeoutKey(), timeout, c.startedAt)
	}
	if !p.acceptsDeadline(c.deadline) {
		return c, leavingError()
	}
	c.suspects.Request = poisonRequest(r, c.account, body)
	for _, id := range p.cfg.ReadSharedParts(r.Header) {
		c.suspects.Parts = append(c.suspects.Parts, id.Key(c.service))
	}
	c.request = &upstream.Request{Method: r.Method, URI: r.RequestURI, Host: r.Host, Header: p.forwardHeader(r.Header, c), Body: body}
	return c, nil
}

// leavingError returns the failure of a request that may not end before this process stops.
func leavingError() *verdict.Error {
	return verdict.NewError(verdict.Unsent{}, verdict.CodeLeaving, "this gateway ends before the request may").WithRetryAfter(policy.RetryAfterDefault)
}

// allowedRegions returns the regions in which a request may be processed. account is nil if the
// request needs no key.
func allowedRegions(route *routes.Route, account *routes.Account) residency.Regions {
	if account == nil {
		return residency.Intersect(route.AllowedRegions)
	}
	return residency.Intersect(route.AllowedRegions, account.AllowedRegions)
}

// poisonRequest returns the properties that all copies of a request have in common.
func poisonRequest(r *http.Request, a *routes.Account, body []byte) *poison.Request {
	out := &poison.Request{Method: r.Method, URI: r.RequestURI, Body: body}
	if a != nil {
		out.Account = a.Name
	}
	return out
}

// callerTimeout parses the caller's deadline header, in milliseconds. It returns the default and
// false if the header is missing or invalid.
func callerTimeout(s string) (time.Duration, bool) {
	ms, err := strconv.ParseFloat(s, 64)
	if err != nil || ms <= 0 {
		return defaultDeadline, false
	}
	return time.Duration(ms * float64(time.Millisecond)), true
}

// tokenCounts returns the numbers of a header with token counts: the length of the prompt and the
// maximum length of the answer. A number that is missing or invalid counts as 0.
func tokenCounts(s string) (prompt, maxAnswer int) {
	first, second, _ := strings.Cut(s, ",")
	return tokenCount(first), tokenCount(second)
}

// tokenCount returns a number of tokens, or 0 if s is not one.
func tokenCount(s string) int {
	n, err := strconv.Atoi(strings.TrimSpace(s))
	if err != nil || n < 0 {
		return 0
	}
	return n
}

// forwardHeader returns the request header for endpoints, without the fields that prepare sets
// for each endpoint.
func (p *Proxy) forwardHeader(h http.Header, c *call) http.Header {
	names := &p.cfg.Headers
	out := http.Header{}
	header.CopyEndToEnd(out, h)
	for _, name := range strings.Split(h.Get("Connection"), ",") {
		if name = strings.TrimSpace(name); name != "" {
			out.Del(name)
		}
	}
	for _, name := range []string{names.Key, names.Account, names.Instance, names.Priority, names.Version} {
		out.Del(name)
	}
	if c.id != "" {
		out.Set(names.RequestID, c.id)
	}
	if c.account != nil {
		out.Set(names.Account, c.account.Name)
	}
	if c.route.Kind == routes.Stream {
		out.Set(names.Priority, strconv.Itoa(c.priority()))
	}
	return out
}
