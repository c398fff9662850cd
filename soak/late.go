package soak

import (
	"math/rand/v2"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/silverdeck/silverdeck/standin"
)

// Shares in MixLate.
const (
	// lateWrites is the share of writes that the store applies late.
	lateWrites = 0.4
	// secondAnswers is the share of answers that runners send a second time.
	secondAnswers = 0.05
	// refusedRequests is the share of requests that a runner refuses although it has room.
	refusedRequests = 0.4
)

// Pace of late writes: most of them are applied while the store has been calm for longer than gateways may
// take to be in touch again.
const (
	// lateWindow is how long the store applies writes late.
	lateWindow = 1500 * time.Millisecond
	// lateEvery is the least time between the beginnings of two windows.
	lateEvery = 9 * time.Second
)

// late is what goes on in MixLate.
type late struct {
	// answers is set while runners send second answers, writes while the store applies writes late.
	answers, writes atomic.Bool
	// next is the earliest beginning of the next window of late writes.
	next time.Time
}

// sendsAgain reports whether an answer is sent a second time.
func (l *late) sendsAgain() bool {
	return l.answers.Load() && rand.Float64() < secondAnswers
}

// listen returns the listener of a runner's own address.
func (w *world) listen(l net.Listener, s *slot) net.Listener {
	switch w.cfg.Mix {
	case MixLate:
		return &standin.RepeatingListener{Listener: l, Again: w.late.sendsAgain}
	case MixSpoiled:
		return w.spoilingListener(l, s)
	}
	return l
}

// drawLate returns what happens in MixLate.
func (w *world) drawLate(r *rand.Rand) fault {
	entry := w.entries[r.IntN(len(w.entries))]
	runner := w.runners[1+r.IntN(len(w.runners)-1)]
	refuses := w.runners[r.IntN(len(w.runners))]
	answers := fault{"second answers", func() { w.late.answers.Store(true) }, func() { w.late.answers.Store(false) }, true}
	all := []fault{
		answers, answers, answers,
		{"runner refuses", func() { refuses.setRefuse(refusedRequests) }, func() { refuses.setRefuse(0) }, true},
		{"runner refuses", func() { refuses.setRefuse(refusedRequests) }, func() { refuses.setRefuse(0) }, true},
		{"late writes", w.applyLate, nil, false},
		{"late writes", w.applyLate, nil, false},
		{"late writes", w.applyLate, nil, false},
		{"runner leaves", func() { w.leaveStore(runner) }, nil, true},
		{"runner leaves", func() { w.leaveStore(runner) }, nil, true},
		{"runner goes", func() { w.goFromStore(runner) }, nil, true},
		{"entry killed", func() { entry.signal(syscall.SIGKILL) }, nil, false},
		{"entry stopped", entry.askToStop, nil, false},
		{"entry frozen", func() { entry.signal(syscall.SIGSTOP) }, func() { entry.signal(syscall.SIGCONT) }, false},
		{"configuration", w.configure, nil, false},
	}
	return all[r.IntN(len(all))]
}

// applyLate makes the store apply writes late for lateWindow. What was sent then is still applied when the
// store counts as calm again.
func (w *world) applyLate() {
	began := time.Now()
	if began.Before(w.late.next) {
		return
	}
	w.late.next = began.Add(lateEvery)
	w.late.writes.Store(true)
	w.store.SetLate(lateWrites)
	time.AfterFunc(lateWindow, func() {
		w.store.SetLate(0)
		w.late.writes.Store(false)
		w.restores.mu.Lock()
		defer w.restores.mu.Unlock()
		w.restores.away = append(w.restores.away, Span{From: began, To: time.Now()})
	})
}

// goFromStore makes a runner leave without stating it: its record goes, and it ends some time after that.
func (w *world) goFromStore(s *slot) {
	w.leaveBy(s, (*standin.Runner).Go)
}

// setRefuse makes the runner refuse a share of its requests.
func (s *slot) setRefuse(share float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runner.SetRefuse(share)
}
