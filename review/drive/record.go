package main

import (
	"bufio"
	"fmt"
	"os"
	"slices"
	"sync"
	"time"
)

// record holds what clients sent and were answered, and what runners ran.
type record struct {
	began time.Time

	mu       sync.Mutex
	lines    []string
	attempts map[string]*attempt
	// order lists what breaks ORDER, drain what breaks DRAIN.
	order, drain []string
	// cut is the number of requests that runners had when they ended.
	cut int
}

// attempt is one client attempt, with an ID of its own.
type attempt struct {
	runs   []string
	status int
}

func newRecord() *record {
	return &record{began: time.Now(), attempts: map[string]*attempt{}}
}

// add adds a line to the record. The caller holds the lock.
func (r *record) add(format string, args ...any) {
	r.lines = append(r.lines, fmt.Sprintf("%8.3f s  ", time.Since(r.began).Seconds())+fmt.Sprintf(format, args...))
}

func (r *record) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.add(format, args...)
}

func (r *record) sent(id, gateway string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.attempts[id] = &attempt{}
	r.add("request %s sent to %s", id, gateway)
}

func (r *record) answered(id string, status int, detail string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.attempts[id].status = status
	r.add("request %s answered %d %s", id, status, detail)
}

func (r *record) ran(id, runner string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if a := r.attempts[id]; a != nil {
		a.runs = append(a.runs, runner)
	}
	r.add("request %s is run by %s", id, runner)
}

// promises are the statuses that promise that a request has not run and never will.
var promises = []int{408, 421, 429, 503}

// judge adds the attempts that break a rule, and returns the numbers by rule.
func (r *record) judge() map[string]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	broken := map[string]int{}
	for id, a := range r.attempts {
		if len(a.runs) > 1 {
			broken["TWICE"]++
			r.add("TWICE: request %s was run by %v, answered %d", id, a.runs, a.status)
		}
		if len(a.runs) > 0 && slices.Contains(promises, a.status) {
			broken["REFUSED"]++
			r.add("REFUSED: request %s was run by %v, answered %d", id, a.runs, a.status)
		}
	}
	if n := len(r.drain); n > 0 {
		broken["DRAIN"] = n
	}
	for _, what := range r.order {
		broken["ORDER"]++
		r.add("ORDER: %s", what)
	}
	r.add("%d requests, broken rules: %v", len(r.attempts), broken)
	return broken
}

// write writes the record to a file.
func (r *record) write(path string) error {
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	w := bufio.NewWriter(f)
	for _, line := range r.lines {
		_, _ = fmt.Fprintln(w, line) // the error is that of Flush
	}
	if err := w.Flush(); err != nil {
		return err
	}
	return f.Close()
}
