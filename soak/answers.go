package soak

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
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
)

// Pace of MixAnswers.
const (
	// leastLimited and spreadLimited bound for how long a runner names a limit: longer than a
	// contact time and a window.
	leastLimited = 5 * time.Second
	// spreadLimited is drawn from, on top of leastLimited.
	spreadLimited = 4 * time.Second
)

// limits are what runners name, in requests a second.
var limits = []float64{0.5, 1, 2, 5}

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
	// told are when gateways passed an answer on that names a limit, by runner and gateway.
	told map[string]map[string][]time.Time
}

func newHeeded() *heeded {
	return &heeded{receipts: map[string][]receipt{}, told: map[string]map[string][]time.Time{}}
}

// reached notes that a request reached a runner. Its ID begins with its gateway.
func (h *heeded) reached(runner, id string) {
	gateway, _, _ := strings.Cut(id, "/")
	h.mu.Lock()
	defer h.mu.Unlock()
	h.receipts[runner] = append(h.receipts[runner], receipt{at: time.Now(), gateway: gateway})
}

// passedOn notes that a gateway passed on an answer of a runner that names a limit.
func (h *heeded) passedOn(runner, gateway string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.told[runner] == nil {
		h.told[runner] = map[string][]time.Time{}
	}
	h.told[runner][gateway] = append(h.told[runner][gateway], time.Now())
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

// judge returns a line for each limit that was passed. history returns what was done to a
// gateway.
func (h *heeded) judge(history func(gateway string) *History, b Bounds) []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	var out []string
	for _, s := range h.limits {
		to := s.To
		if to.IsZero() {
			to = time.Now()
		}
		var held []time.Time
		for _, r := range h.receipts[s.runner] {
			inSpan := r.at.After(s.From.Add(b.Contact)) && r.at.Before(to)
			if inSpan && h.isHeld(s.runner, r, history(r.gateway)) {
				held = append(held, r.at)
			}
		}
		allowed := limitFactor*s.limit*limitWindow.Seconds() + limitExtra
		if n := mostWithin(held, limitWindow); float64(n) > allowed {
			out = append(out, fmt.Sprintf("%s had named a limit of %g a second and got %d requests in %s from gateways that it had told; allowed %g",
				s.runner, s.limit, n, limitWindow, allowed))
		}
	}
	return out
}

// isHeld returns whether a gateway that sent a request is held to what the runner had told
// it: it has run undisturbed since. The caller holds the lock.
func (h *heeded) isHeld(runner string, r receipt, done *History) bool {
	return slices.ContainsFunc(h.told[runner][r.gateway], func(at time.Time) bool {
		return at.Add(heedTime).Before(r.at) && !done.disturbed(at, r.at)
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

// drawAnswers returns what happens in MixAnswers: runners that tell of themselves in their
// answers, beside gateways that are disturbed.
func (w *world) drawAnswers(r *rand.Rand) fault {
	entry := w.entries[r.IntN(len(w.entries))]
	runner := w.runners[r.IntN(len(w.runners))]
	limit := limits[r.IntN(len(limits))]
	limited := leastLimited + time.Duration(r.Int64N(int64(spreadLimited)))
	names := fault{"runner names a limit", func() { w.nameLimit(runner, limit, limited) }, nil, false}
	all := []fault{
		names, names, names, names,
		{"entry killed", func() { entry.signal(syscall.SIGKILL) }, nil, false},
		{"entry stopped", entry.askToStop, nil, false},
		{"entry frozen", func() { entry.signal(syscall.SIGSTOP) }, func() { entry.signal(syscall.SIGCONT) }, false},
		{"runner restarted", func() { w.restartAdvised(runner) }, nil, true},
		w.storeOutage(r.IntN(2) == 0),
		{"configuration", w.configure, nil, false},
	}
	return all[r.IntN(len(all))]
}

// nameLimit makes a runner name a limit for d, unless it does so already or half of all do.
func (w *world) nameLimit(s *slot, limit float64, d time.Duration) {
	named := 0
	for _, other := range w.runners {
		if other.isLimited() {
			named++
		}
	}
	if s.isLimited() || 2*(named+1) > len(w.runners) {
		return
	}
	s.nameLimit(limit, w.heeded)
	time.AfterFunc(d, s.liftLimit)
}

// restartAdvised puts a new life into the slot, which says nothing of itself yet.
func (w *world) restartAdvised(s *slot) {
	s.liftLimit()
	s.restart(w.firstVersion(s))
}

// isLimited returns whether the runner names a limit.
func (s *slot) isLimited() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lifted != nil
}

// nameLimit makes the runner name a limit.
func (s *slot) nameLimit(limit float64, h *heeded) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lifted = h.named(s.cfg.ID, limit)
	s.runner.NameLimit(limit)
}

// liftLimit ends that, if it names one.
func (s *slot) liftLimit() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lifted == nil {
		return
	}
	s.lifted()
	s.lifted = nil
	s.runner.LiftLimit()
}

// noteAdvice notes what an answer that a gateway passed on says of its runner.
func (c *caller) noteAdvice(entry *process, h http.Header) {
	if h.Get(standin.LimitHeader) != "" {
		c.world.heeded.passedOn(h.Get(names.Stamp), entry.name)
	}
}
