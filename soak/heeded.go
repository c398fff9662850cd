package soak

import (
	"cmp"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/silverdeck/silverdeck/standin"
)

// Bounds of what runners say in their answers, from the platform's rules.
const (
	// limitWindow is the span in which requests are compared with a limit.
	limitWindow = 4 * time.Second
	// limitFactor and limitExtra are what is allowed in it: that many times the limit, and so
	// many more.
	limitFactor = 1.5
	// limitExtra is what limitFactor says.
	limitExtra = 5
	// heedTime is how long after it has passed an answer on a gateway is held to it.
	heedTime = 500 * time.Millisecond
	// drainLimit is that time where the runner says that it leaves.
	drainLimit = 2 * time.Second
	// maxDuringRest is how many requests may come while a runner wants rest.
	maxDuringRest = 2
)

// runnerSpan is a time in which a runner, by ID, said something of itself.
type runnerSpan struct {
	runner string
	limit  float64
	Span
}

// receipt is a request that reached a runner.
type receipt struct {
	at      time.Time
	gateway string
}

// heeded keeps what runners said in their answers, who was told and what reached them. It is
// safe for concurrent use.
type heeded struct {
	mu       sync.Mutex
	limits   []*runnerSpan
	receipts map[string][]receipt
	// limited and leaving are when gateways passed an answer on that said so.
	limited, leaving told
	// rests are when a runner wanted rest from a gateway.
	rests []rest
}

// told are times by runner and gateway.
type told map[string]map[string][]time.Time

func (t told) note(runner, gateway string) {
	if t[runner] == nil {
		t[runner] = map[string][]time.Time{}
	}
	t[runner][gateway] = append(t[runner][gateway], time.Now())
}

// rest is a time in which a runner wanted no requests of a gateway.
type rest struct {
	runner, gateway string
	Span
}

func newHeeded() *heeded {
	return &heeded{receipts: map[string][]receipt{}, limited: told{}, leaving: told{}}
}

// reached notes that a request reached a runner. Its ID begins with its gateway.
func (h *heeded) reached(runner, id string) {
	gateway, _, _ := strings.Cut(id, "/")
	h.mu.Lock()
	defer h.mu.Unlock()
	h.receipts[runner] = append(h.receipts[runner], receipt{at: time.Now(), gateway: gateway})
}

// passedOn notes what an answer of a runner that a gateway passed on says of the runner.
func (h *heeded) passedOn(gateway string, answer http.Header) {
	runner := answer.Get(names.Signature)
	h.mu.Lock()
	defer h.mu.Unlock()
	if answer.Get(standin.LimitHeader) != "" {
		h.limited.note(runner, gateway)
	}
	if answer.Get(standin.LeavingHeader) != "" {
		h.leaving.note(runner, gateway)
	}
}

// rested notes that a runner refused a request and wants rest.
func (h *heeded) rested(runner, id string, d time.Duration) {
	gateway, _, _ := strings.Cut(id, "/")
	now := time.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.rests = append(h.rests, rest{runner: runner, gateway: gateway, Span: Span{From: now, To: now.Add(d)}})
}

// named notes that a runner names a limit, and returns what notes that it no longer does.
func (h *heeded) named(runner string, limit float64) func() {
	h.mu.Lock()
	defer h.mu.Unlock()
	s := &runnerSpan{runner: runner, limit: limit, Span: Span{From: time.Now()}}
	h.limits = append(h.limits, s)
	return func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		if s.To.IsZero() {
			s.To = time.Now()
		}
	}
}

// heldFunc returns whether a gateway is held to what it was told at the beginning of a span: it
// ran today's program, undisturbed, throughout.
type heldFunc func(gateway string, from, to time.Time) bool

// judge returns a line for each time that gateways did not keep to what runners said.
func (h *heeded) judge(held heldFunc, b Bounds) []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Concat(h.judgeLimits(held, b), h.judgeLeaving(held), h.judgeRests(held))
}

// judgeLimits returns a line for each limit that was passed. The caller holds the lock.
func (h *heeded) judgeLimits(held heldFunc, b Bounds) []string {
	var out []string
	for _, s := range h.limits {
		to := s.To
		if to.IsZero() {
			to = time.Now()
		}
		var counted []time.Time
		for _, r := range h.receipts[s.runner] {
			inSpan := r.at.After(s.From.Add(b.Contact)) && r.at.Before(to)
			if inSpan && h.limited.binds(s.runner, r, heedTime, held) {
				counted = append(counted, r.at)
			}
		}
		allowed := limitFactor*s.limit*limitWindow.Seconds() + limitExtra
		if n := mostWithin(counted, limitWindow); float64(n) > allowed {
			out = append(out, fmt.Sprintf("%s had named a limit of %g a second and got %d requests in %s from gateways that it had told; allowed %g",
				s.runner, s.limit, n, limitWindow, allowed))
		}
	}
	return out
}

// judgeLeaving returns a line for each runner that got requests of gateways which it had told
// that it leaves. The caller holds the lock.
func (h *heeded) judgeLeaving(held heldFunc) []string {
	var out []string
	for runner, receipts := range h.receipts {
		late := 0
		for _, r := range receipts {
			if h.leaving.binds(runner, r, drainLimit, held) {
				late++
			}
		}
		if late > 0 {
			out = append(out, fmt.Sprintf("%s got %d requests of gateways %s after it had told them that it leaves", runner, late, drainLimit))
		}
	}
	return out
}

// judgeRests returns a line for each runner and gateway that sent it too many requests during
// a rest, of the worst. The caller holds the lock.
func (h *heeded) judgeRests(held heldFunc) []string {
	worst, most := map[string]string{}, map[string]int{}
	for _, s := range h.rests {
		n := 0
		for _, r := range h.receipts[s.runner] {
			during := r.gateway == s.gateway && r.at.After(s.From.Add(heedTime)) && r.at.Before(s.To)
			if during && held(r.gateway, s.From, r.at) {
				n++
			}
		}
		if pair := s.runner + s.gateway; n > max(maxDuringRest, most[pair]) {
			most[pair] = n
			worst[pair] = fmt.Sprintf("%s wanted %s of rest from %s and got %d requests of it in that time", s.runner, s.To.Sub(s.From), s.gateway, n)
		}
	}
	return slices.Sorted(maps.Values(worst))
}

// binds returns whether a gateway that sent a request is held to what the runner had told it
// so long before: it has run undisturbed since.
func (t told) binds(runner string, r receipt, after time.Duration, held heldFunc) bool {
	return slices.ContainsFunc(t[runner][r.gateway], func(at time.Time) bool {
		return at.Add(after).Before(r.at) && held(r.gateway, at, r.at)
	})
}

// mostWithin returns the most of the times that lie within a span of d.
func mostWithin(times []time.Time, d time.Duration) int {
	slices.SortFunc(times, func(a, b time.Time) int { return cmp.Compare(a.UnixNano(), b.UnixNano()) })
	most, first := 0, 0
	for i, at := range times {
		for at.Sub(times[first]) > d {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}
