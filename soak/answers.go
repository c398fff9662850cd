package soak

import (
	"math/rand/v2"
	"syscall"
	"time"
)

// Pace of MixAnswers.
const (
	// leastLimited and spreadLimited bound for how long a runner names a limit: longer than a
	// contact time and a window.
	leastLimited = 5 * time.Second
	// spreadLimited is drawn from, on top of leastLimited.
	spreadLimited = 4 * time.Second
	// leavesFor is how long after it says that it leaves a runner ends.
	leavesFor = 5 * time.Second
)

// restTimes are the rests that runners ask for.
var restTimes = []time.Duration{700 * time.Millisecond, 1500 * time.Millisecond, 3 * time.Second}

// limits are what runners name, in requests a second.
var limits = []float64{0.5, 1, 2, 5}

// drawAnswers returns what happens in MixAnswers: runners that tell of themselves in their
// answers, beside gateways that are disturbed.
func (w *world) drawAnswers(r *rand.Rand) fault {
	entry := w.entries[r.IntN(len(w.entries))]
	runner := w.runners[r.IntN(len(w.runners))]
	limit := limits[r.IntN(len(limits))]
	limited := leastLimited + time.Duration(r.Int64N(int64(spreadLimited)))
	names := fault{"runner names a limit", func() { w.nameLimit(runner, limit, limited) }, nil, false}
	rests := fault{"runner asks for rest", func() { runner.askRest(restTimes[r.IntN(len(restTimes))]) }, func() { runner.askRest(0) }, false}
	leaves := fault{"runner says that it leaves, its record does not", func() { w.sayLeaving(runner) }, nil, false}
	all := []fault{
		names, names, names, names, rests, rests, rests, leaves, leaves,
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

// sayLeaving makes a model's runner say in its answers alone that it leaves, and end some time
// after that.
func (w *world) sayLeaving(s *slot) {
	if s.cfg.Model == "" {
		return // it is the only one
	}
	s.sayLeaving()
	time.AfterFunc(leavesFor, func() { w.restartAdvised(s) })
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
	s.runner.SetRateLimit(limit)
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
	s.runner.ClearRateLimit()
}

// sayLeaving makes the runner say that it leaves.
func (s *slot) sayLeaving() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runner.SetDrainingHeader()
}

// askRest makes the runner ask for rest, or ends that.
func (s *slot) askRest(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runner.SetRetryAfter(d)
}
