package soak

import (
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/silverdeck/silverdeck/standin"
)

// onceHost is the host of plain requests in MixSpoiled that may be sent to one endpoint only.
const onceHost = "once.example"

// Limits on what callers get in MixSpoiled.
const (
	// lateGrace is how long past its time a request may be without its final answer, from the
	// platform's rules.
	lateGrace = 500 * time.Millisecond
	// maxLate is the number of requests from which that is a violation, from the platform's rules.
	maxLate = 8
	// keptBody is the most of a body that a caller keeps, in bytes: some have no end.
	keptBody = 256 << 10
)

// spoilShares are the shares of answers that an endpoint spoils.
var spoilShares = []float64{0.03, 0.1, 0.3, 1}

// spoiling is an answer that was spoiled.
type spoiling struct {
	runner string
	shape  standin.Shape
}

// Outcome is what became of a request.
type Outcome struct {
	ID, Gateway, Host string
	Span
	// Limit is when its time was over.
	Limit  time.Time
	Served bool
	// Patient is set if it had the usual time, Spoiled if an endpoint spoiled its answer.
	Patient, Spoiled bool
}

// spoils keeps what endpoints spoiled and what became of requests. It is safe for concurrent use.
type spoils struct {
	// shapes are taken in turn.
	shapes []standin.Shape

	mu       sync.Mutex
	taken    int
	by       map[string][]spoiling
	outcomes []Outcome
}

// newSpoils returns spoils with the shapes of the given groups, by default of all.
func newSpoils(groups []string) (*spoils, error) {
	s := &spoils{by: map[string][]spoiling{}}
	known := slices.Sorted(maps.Keys(standin.ShapeGroups))
	if len(groups) == 0 {
		groups = known
	}
	for _, name := range groups {
		shapes, found := standin.ShapeGroups[name]
		if !found {
			return nil, fmt.Errorf("soak: no group of shapes %q, only %q", name, known)
		}
		s.shapes = append(s.shapes, shapes...)
	}
	return s, nil
}

// take returns the shape of the next spoiled answer, which a runner sends for the request id.
func (s *spoils) take(runner, id string) standin.Shape {
	s.mu.Lock()
	defer s.mu.Unlock()
	shape := s.shapes[s.taken%len(s.shapes)]
	s.taken++
	s.by[id] = append(s.by[id], spoiling{runner, shape})
	return shape
}

// of describes the spoiled answers to a request, or returns "" if there are none.
func (s *spoils) of(id string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out string
	for _, x := range s.by[id] {
		out += fmt.Sprintf("; %s: %s", x.runner, x.shape)
	}
	return out
}

// hadMoreEvents returns whether an endpoint sent more events of a stream than there are. Another one that goes on
// behind these has none left.
func (s *spoils) hadMoreEvents(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.ContainsFunc(s.by[id], func(x spoiling) bool { return x.shape == standin.EndlessEvents })
}

// note notes what became of a request.
func (s *spoils) note(o Outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, o.Spoiled = s.by[o.ID]
	s.outcomes = append(s.outcomes, o)
}

// String counts the spoiled answers for people.
func (s *spoils) String() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return fmt.Sprintf("%d answers spoiled", s.taken)
}

// judge judges all requests.
func (s *spoils) judge(atWork heldFunc) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return JudgeOutcomes(s.outcomes, atWork)
}

// JudgeOutcomes returns a line for each kind of request that was served too rarely although no answer to it was
// spoiled, and one if requests were without a final answer long past their time. atWork returns whether a gateway
// ran undisturbed.
func JudgeOutcomes(all []Outcome, atWork func(gateway string, from, to time.Time) bool) []string {
	var out []string
	shares := map[string]share{}
	late := 0
	for _, o := range all {
		if !atWork(o.Gateway, o.From.Add(-platformBounds.Contact), o.To) {
			continue
		}
		if o.To.After(o.Limit.Add(lateGrace)) {
			late++
		}
		if !o.Spoiled && o.Patient {
			shares[o.Host] = shares[o.Host].count(o.Served)
		}
	}
	if late >= maxLate {
		out = append(out, fmt.Sprintf("%d requests had no final answer %s past their time", late, lateGrace))
	}
	for _, host := range slices.Sorted(maps.Keys(shares)) {
		if n := shares[host]; n.asked >= leastStreams && n.ratio() < leastShare {
			out = append(out, fmt.Sprintf("of the requests to %s whose answers were not spoiled %d of %d were served", host, n.served, n.asked))
		}
	}
	return out
}

// isPlain returns whether runner i is one of the plain service: the first one, in MixSpoiled every other one.
func (w *world) isPlain(i int) bool {
	return i == 0 || w.cfg.Mix == MixSpoiled && i%2 == 0
}

// spoilingListener returns the listener of a runner that spoils answers.
func (w *world) spoilingListener(l net.Listener, s *slot) net.Listener {
	return &standin.SpoilingListener{Listener: l, Spoil: func(id string) standin.Shape {
		s.mu.Lock()
		share, runner := s.spoilShare, s.cfg.ID
		s.mu.Unlock()
		if strings.HasPrefix(id, probePrefix) || rand.Float64() >= share {
			return standin.Sound
		}
		return w.spoils.take(runner, id)
	}}
}

// setSpoil makes the runner spoil a share of its answers.
func (s *slot) setSpoil(share float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.spoilShare = share
}

// spoiledRoutes returns the route of requests that may be sent to one endpoint only, in MixSpoiled.
func (w *world) spoiledRoutes() []standin.Route {
	if w.cfg.Mix != MixSpoiled {
		return nil
	}
	return []standin.Route{{Name: "once", Host: onceHost, Service: plainService, Timeout: 2 * time.Second, LatencyTarget: plainTarget, Priority: standin.DefaultRank, MaxAttempts: 1}}
}

// drawSpoiled returns what happens in MixSpoiled.
func (w *world) drawSpoiled(r *rand.Rand) fault {
	entry := w.entries[r.IntN(len(w.entries))]
	runner := w.runners[r.IntN(len(w.runners))]
	other := w.runners[2+r.IntN(len(w.runners)-2)]
	share := spoilShares[r.IntN(len(spoilShares))]
	down := leastDown + time.Duration(r.Int64N(int64(spreadDown)))
	spoils := fault{"runner spoils answers", func() { runner.setSpoil(share) }, func() { runner.setSpoil(0) }, false}
	refuses := fault{"runner refuses", func() { runner.setRefuse(refusedRequests) }, func() { runner.setRefuse(0) }, false}
	all := []fault{
		spoils, spoils, spoils, spoils, spoils, spoils, refuses, refuses,
		{"runner ends by itself", func() { other.crash(down, w.firstVersion(other)) }, nil, true},
		{"runner leaves", func() { w.leaveStore(other) }, nil, true},
		{"entry killed", func() { entry.signal(syscall.SIGKILL) }, nil, false},
		{"entry stopped", entry.askToStop, nil, false},
		{"entry frozen", func() { entry.signal(syscall.SIGSTOP) }, func() { entry.signal(syscall.SIGCONT) }, false},
		{"configuration", w.configure, nil, false},
	}
	return all[r.IntN(len(all))]
}

// promisesNotRun returns whether callers read a status as a promise that their request never runs.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// checkOwn looks for parts of other answers in an answer.
func (c *caller) checkOwn(resp *http.Response, id string) {
	for _, name := range []string{names.RequestID, names.Signature} {
		if n := len(resp.Header.Values(name)); n > 1 {
			c.world.witness.AddViolation("request %s got %s %d times%s", id, name, n, c.world.spoils.of(id))
		}
	}
	for name, values := range resp.Header {
		for _, value := range values {
			if name == standin.SpoilMark || strings.Contains(value, "HTTP/1.") {
				c.world.witness.AddViolation("request %s got %s: %q of another answer%s", id, name, value, c.world.spoils.of(id))
			}
		}
	}
	if strings.Contains(resp.Status, "HTTP/1.") {
		c.world.witness.AddViolation("request %s got the status %q%s", id, resp.Status, c.world.spoils.of(id))
	}
}

// checkOwnBody looks for parts of other answers in the body of a failure.
func (c *caller) checkOwnBody(body, id string) {
	if strings.Contains(body, standin.SpoilMark) || strings.Contains(body, "HTTP/1.") {
		c.world.witness.AddViolation("request %s got a part of another answer: %q%s", id, body, c.world.spoils.of(id))
	}
}

// readKept reads a body to its end and returns its beginning.
func readKept(r io.Reader) (string, error) {
	kept, err := io.ReadAll(io.LimitReader(r, keptBody))
	if err == nil {
		_, err = io.Copy(io.Discard, r)
	}
	return string(kept), err
}
