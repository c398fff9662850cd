package soak

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Report is what came of a soak.
type Report struct {
	Seed                                uint64
	Asked, Served, Refused, Cut, Others int64
	// MemoryKB is the most that one of our processes held, in kilobytes.
	MemoryKB int
	// Large counts the large requests in words, BodyBytes is the most that a gateway held of bodies.
	// Both are empty but in MixOverload.
	Large     string
	BodyBytes int
	// Spoiled counts the spoiled answers in words, in MixSpoiled.
	Spoiled string
	// Starts counts the kills of all processes and what was served after them in words, in MixStarts.
	Starts string
	// Ended is how many endpoints ended under the request or part that ends them, LateSends how many
	// times it reached one once all gateways in touch must have known.
	Ended, LateSends int
	// Faults has a line for each fault, Broken one for each broken promise.
	Faults, Broken []string
}

// String returns the report for people.
func (r *Report) String() string {
	large := ""
	if r.Large != "" {
		large = fmt.Sprintf(", %d KB of bodies; large requests: %s", r.BodyBytes>>10, r.Large)
	}
	if r.Spoiled != "" {
		large += ", " + r.Spoiled
	}
	if r.Starts != "" {
		large += ", " + r.Starts
	}
	return fmt.Sprintf("seed %d: %d asked, %d served, %d refused, %d cut, %d others, %d faults, %d ended under one request or part, %d KB held at the most, %d promises broken%s",
		r.Seed, r.Asked, r.Served, r.Refused, r.Cut, r.Others, len(r.Faults), r.Ended, r.MemoryKB, len(r.Broken), large)
}

// Limits of a soak.
const (
	// callers is how many send requests at once where the settings don't say.
	callers = 8
	// startLimit is how long the system may take until all entries are ready.
	startLimit = time.Minute
	// healLimit is how long it may take to serve everything after all faults.
	healLimit = time.Minute
	// pollEvery is how often a condition is looked at.
	pollEvery = 100 * time.Millisecond
	// settleTime is how long requests may still be under way at the end.
	settleTime = time.Second
)

// platformBounds are the times that the settings of the stand-in tell.
var platformBounds = Bounds{Contact: faultMemory, Grace: plannedWindow, Apply: 2 * time.Second, Slack: 200 * time.Millisecond}

// Run plays one soak. The error tells that it could not be played.
func Run(cfg Config) (*Report, error) {
	w, err := newWorld(cfg)
	if w != nil {
		defer w.close()
	}
	if err != nil {
		return nil, err
	}
	report := &Report{Seed: cfg.Seed}
	if !w.awaitAll(startLimit) {
		return nil, fmt.Errorf("soak: the system did not become ready within %s", startLimit)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go w.heartbeats(ctx)
	go w.lookAtMemory(ctx)
	for i := range w.entries {
		go w.lookAtBodies(ctx, i)
	}
	result := &Result{}
	w.play(result, report)
	w.judge(report)
	if !w.awaitAll(healLimit) {
		w.witness.AddViolation("not every entry serves every route %s after the last fault", healLimit)
	}
	w.endAll()
	report.MemoryKB = w.checkProcesses()
	report.Asked, report.Served, report.Refused = result.Asked.Load(), result.Served.Load(), result.Refused.Load()
	report.Cut, report.Others = result.Cut.Load(), result.Other.Load()
	report.BodyBytes = w.mostBodies
	report.Broken = w.witness.Violations()
	return report, nil
}

// judge notes the promises that were broken.
func (w *world) judge(report *Report) {
	for _, line := range w.ledger.judge(w.history, platformBounds) {
		w.witness.AddViolation("%s", line)
	}
	for _, line := range w.places.judge(w.isHeld, platformBounds) {
		w.witness.AddViolation("%s", line)
	}
	for _, line := range w.shares.Judge() {
		w.witness.AddViolation("%s", line)
	}
	if w.cfg.Mix == MixOverload {
		report.Large = w.large.String()
		for _, line := range w.beside.Judge([]string{w.entries[0].name, w.entries[w.largeEntry()].name}, w.isAtWork) {
			w.witness.AddViolation("%s", line)
		}
	}
	for _, line := range w.heeded.judge(w.isHeld, platformBounds) {
		w.witness.AddViolation("%s", line)
	}
	for _, line := range w.restores.judge(w.isHeld, platformBounds) {
		w.witness.AddViolation("%s", line)
	}
	if w.cfg.Mix == MixSpoiled {
		report.Spoiled = w.spoils.String()
		for _, line := range w.spoils.judge(w.isAtWork) {
			w.witness.AddViolation("%s", line)
		}
	}
	if w.cfg.Mix == MixStarts {
		report.Starts = w.starts.String()
		for _, line := range w.starts.judge() {
			w.witness.AddViolation("%s", line)
		}
	}
	w.fatal.judge(w, report)
	w.parts.judge(w, report)
}

// play lets callers ask while faults come, and then looks at old promises.
func (w *world) play(result *Result, report *Report) {
	ctx, cancel := context.WithTimeout(context.Background(), w.cfg.For)
	defer cancel()
	var all []*caller
	var asking sync.WaitGroup
	for i := range w.cfg.callers() {
		c := newCaller(w, i, result)
		all = append(all, c)
		asking.Go(func() { c.run(ctx) })
	}
	w.startSlowReaders(ctx, &asking)
	all = append(all, w.sendLarge(ctx, &asking)...)
	if w.cfg.Previous != "" {
		asking.Go(func() { w.upgrade(ctx) })
	}
	if w.cfg.Mix == MixRestored {
		asking.Go(func() { w.keepCopies(ctx) })
		for i := range w.entries {
			asking.Go(func() { w.probeVersions(ctx, i) })
		}
	}
	if w.cfg.Mix == MixCrash {
		asking.Go(func() { w.sendFatal(ctx) })
	}
	if w.cfg.Mix == MixParts {
		asking.Go(func() { w.sendFatalPart(ctx) })
	}
	w.disturb(ctx, func(line string) { report.Faults = append(report.Faults, line) })
	w.endPlaces()
	asking.Wait()
	time.Sleep(settleTime)
	w.checkReleased()
	for _, c := range all {
		c.checkPromises()
		c.checkLarge()
	}
}

// awaitAll waits until every entry serves a request on each route.
func (w *world) awaitAll(limit time.Duration) bool {
	end := time.Now().Add(limit)
	for i := range w.entryAddrs {
		for !w.probe(i) {
			if time.Now().After(end) {
				return false
			}
			time.Sleep(pollEvery)
		}
	}
	return true
}

// probe returns whether entry i serves both routes.
func (w *world) probe(i int) bool {
	return w.probeRoute(i, plainHost) && w.probeRoute(i, streamHost)
}

// probePrefix begins the IDs of probes.
const probePrefix = "probe-"

func (w *world) probeRoute(i int, host string) bool {
	limit := resolveLimit + time.Duration(w.cfg.events())*w.cfg.EventPause
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	r, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+w.entryAddrs[i].callers+"/go/x", strings.NewReader("probe"))
	r.Host = host
	r.Close = true
	r.Header.Set(names.RequestID, fmt.Sprintf(probePrefix+"%d-%d", i, time.Now().UnixNano()))
	r.Header.Set(names.Key, apiKey)
	r.Header.Set(names.Model, model)
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(io.Discard, resp.Body)
	return err == nil && resp.StatusCode == http.StatusOK
}
