package soak

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"
)

// Pace of MixStarts.
const (
	// leastNamed and spreadNamed bound how long after new weights were named all processes are killed: their
	// chunks are in place at most runners, and few have loaded them.
	leastNamed = 1200 * time.Millisecond
	// spreadNamed is drawn from, on top of leastNamed.
	spreadNamed = 1600 * time.Millisecond
	// recoveryLimit is how long after a start of all processes callers must be served again.
	recoveryLimit = 12 * time.Second
	// calmAfterStart is how long nothing else happens after a start of all processes.
	calmAfterStart = recoveryLimit + 3*time.Second
	// startEvery is the least time between two namings that are followed by such a kill.
	startEvery = calmAfterStart + 4*time.Second
	// minJudged is the least number of streams by which a gateway is judged.
	minJudged = 10
)

// loadTimes are the times that runners take to load weights, one for each soak in turn.
var loadTimes = []time.Duration{300 * time.Millisecond, time.Second, 2 * time.Second}

// starts keeps when all processes were started, and which streams were served since. It is safe for
// concurrent use.
type starts struct {
	loadTime time.Duration

	mu sync.Mutex
	// next is the earliest time of the next kill of all processes.
	next time.Time
	all  []startOfAll
}

// startOfAll is a start of all processes, with the streams that were sent to each gateway from recoveryLimit
// after it on, as long as nothing else happened.
type startOfAll struct {
	at       time.Time
	gateways map[string]*streamCount
}

// streamCount counts streams.
type streamCount struct {
	asked, served int
}

func newStarts(m Mix, seed uint64) *starts {
	if m != MixStarts {
		return &starts{}
	}
	return &starts{loadTime: loadTimes[seed%uint64(len(loadTimes))]}
}

// note notes a stream that a caller sent to a gateway at a time.
func (s *starts) note(gateway string, at time.Time, served bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.all) == 0 {
		return
	}
	last := &s.all[len(s.all)-1]
	if at.Before(last.at.Add(recoveryLimit)) || at.After(last.at.Add(calmAfterStart)) {
		return
	}
	if last.gateways[gateway] == nil {
		last.gateways[gateway] = &streamCount{}
	}
	n := last.gateways[gateway]
	n.asked++
	if served {
		n.served++
	}
}

// judge returns a line for each gateway that served fewer than a quarter of its streams after a start.
func (s *starts) judge() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []string
	for _, a := range s.all {
		for gateway, n := range a.gateways {
			if n.asked >= minJudged && 4*n.served < n.asked {
				out = append(out, fmt.Sprintf("of %d streams sent to %s later than %s after the start of all processes at %s, %d were served",
					n.asked, gateway, recoveryLimit, a.at.Format("15:04:05.000"), n.served))
			}
		}
	}
	return out
}

// String returns the counts for people.
func (s *starts) String() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	asked, served := 0, 0
	for _, a := range s.all {
		for _, n := range a.gateways {
			asked, served = asked+n.asked, served+n.served
		}
	}
	return fmt.Sprintf("%d starts of all processes with loads of %s, %d of %d streams served later than %s after them", len(s.all), s.loadTime, served, asked, recoveryLimit)
}

// begin reports whether all processes may be killed now.
func (s *starts) begin(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Before(s.next) {
		return false
	}
	s.next = now.Add(startEvery)
	return true
}

// isCalm reports whether nothing else may happen since all processes have just been started: a gateway or a
// runner that starts anew may hide what the start of all left behind.
func (s *starts) isCalm(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.all) > 0 && now.Before(s.all[len(s.all)-1].at.Add(calmAfterStart))
}

// restarted notes that all processes start again.
func (s *starts) restarted(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.all = append(s.all, startOfAll{at: now, gateways: map[string]*streamCount{}})
}

// drawStarts returns what happens in MixStarts.
func (w *world) drawStarts(r *rand.Rand) fault {
	entry, sidecar := w.entries[r.IntN(len(w.entries))], w.sidecars[r.IntN(len(w.sidecars))]
	runner := w.runners[1+r.IntN(len(w.runners)-1)]
	down := leastDown + time.Duration(r.Int64N(int64(spreadDown)))
	named := leastNamed + time.Duration(r.Int64N(int64(spreadNamed)))
	startAll := fault{"new weights, then all processes killed", func() { w.killAllAfterNaming(named) }, nil, true}
	all := []fault{
		startAll, startAll, startAll,
		{"new weights", w.nameVersion, nil, true},
		{"runner ends by itself", func() { runner.crash(down, w.firstVersion(runner)) }, nil, true},
		{"runner leaves", runner.leave, func() { runner.restart(w.firstVersion(runner)) }, true},
		{"entry killed", func() { entry.signal(syscall.SIGKILL) }, nil, false},
		{"entry stopped", entry.askToStop, nil, false},
		{"entry frozen", func() { entry.signal(syscall.SIGSTOP) }, func() { entry.signal(syscall.SIGCONT) }, false},
		{"sidecar killed", func() { sidecar.signal(syscall.SIGKILL) }, nil, false},
		{"configuration", w.configure, nil, false},
	}
	f := all[r.IntN(len(all))]
	if w.starts.isCalm(time.Now()) {
		return fault{"calm", func() {}, nil, false}
	}
	return f
}

// killAllAfterNaming names new weights and kills all processes after d.
func (w *world) killAllAfterNaming(d time.Duration) {
	if !w.starts.begin(time.Now()) {
		return
	}
	w.nameVersion()
	time.AfterFunc(d, func() {
		w.noteFault(recoveryLimit)
		for _, p := range w.processes() {
			p.signal(syscall.SIGKILL)
		}
		w.starts.restarted(time.Now().Add(restartPause))
	})
}
