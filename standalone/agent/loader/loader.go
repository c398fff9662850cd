// Package loader brings the engine beside an agent to the weights that the newest
// directive names: it fetches and verifies them and gives fenced orders.
//
// It owns the weights held in memory, how far each assignment has come, and the
// fence, each under a lock. It relies on the engine, other agents, the origin and
// the directives of entries.
package loader

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"github.com/silverdeck/silverdeck/exchange"
	"github.com/silverdeck/silverdeck/origin"
	"github.com/silverdeck/silverdeck/standalone/peer"
	"github.com/silverdeck/silverdeck/swarm"
	"github.com/silverdeck/silverdeck/weights"
)

// Timing of the loader.
const (
	// reconcileEvery is how often the loader compares what is with what should be.
	reconcileEvery = 200 * time.Millisecond
	// loadLimit is how long an engine may take to load a version.
	loadLimit = 10 * time.Minute
	// stateLimit is how long an engine may take to tell its state.
	stateLimit = 5 * time.Second
	// checkEvery is how often the engine is asked what it has loaded.
	checkEvery = 2 * time.Second
	// loadRetry is the pause after a failed load.
	loadRetry = 5 * time.Second
	// manifestRetry is the pause after no manifest could be had.
	manifestRetry = time.Second
	// manifestPeers is how many members are asked for a manifest first.
	manifestPeers = 3
)

// task is one assignment and how far it has come.
type task struct {
	assignment peer.Assignment
	cancel     context.CancelFunc
	verified   bool
	live       bool
	failed     string
	retryAt    time.Time
}

// Peers reaches other agents and the entries for weights.
type Peers interface {
	swarm.Transport
	// Manifest returns the checked manifest of root from the process at addr.
	Manifest(ctx context.Context, addr string, root weights.Digest) (*weights.Manifest, error)
}

// Config holds what a Loader relies on.
type Config struct {
	// Self is this VM as other members of a distribution know it.
	Self swarm.Member
	// Plain is set beside a plain service, which loads nothing.
	Plain bool
	// HoldBytes bounds the weights held in memory.
	HoldBytes int64
	// Fence gives orders to the engine.
	Fence  *Fence
	Peers  Peers
	Origin origin.Source
	// Homes returns the entries to ask for manifests.
	Homes func() []string
	// News is called when there is something new to report.
	News func()
	// EngineAt is the base URL at which the engine reads weights from this process.
	EngineAt string
	Log      *log.Logger
}

// Loader brings the engine to what the newest directive says. It is safe for
// concurrent use.
type Loader struct {
	cfg    Config
	holder *holder

	mu        sync.Mutex
	directive peer.Directive
	tasks     map[weights.Digest]*task
	loaded    []peer.Loaded
	checkedAt time.Time
	wake      chan struct{}
}

// New returns a Loader without a directive.
func New(cfg Config) *Loader {
	return &Loader{cfg: cfg, holder: newHolder(cfg.HoldBytes), tasks: map[weights.Digest]*task{}, wake: make(chan struct{}, 1)}
}

// Holdings is what this VM can give to others.
func (l *Loader) Holdings() exchange.Holdings {
	return l.holder
}

// Apply takes in a directive, unless a newer one is known.
func (l *Loader) Apply(d peer.Directive) {
	l.cfg.Fence.Learn(d.Revision)
	l.mu.Lock()
	defer l.mu.Unlock()
	if d.Revision < l.directive.Revision {
		return
	}
	l.directive = d
	l.signal()
}

// signal makes Run look again.
func (l *Loader) signal() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// Run reconciles until ctx ends.
func (l *Loader) Run(ctx context.Context) {
	t := time.NewTicker(reconcileEvery)
	defer t.Stop()
	for ctx.Err() == nil {
		if !l.cfg.Plain {
			l.reconcile(ctx)
		}
		select {
		case <-ctx.Done():
		case <-t.C:
		case <-l.wake:
		}
	}
}

func (l *Loader) reconcile(ctx context.Context) {
	l.mu.Lock()
	l.startMissing(ctx)
	l.stopUnwanted()
	due := l.dueLoads()
	l.mu.Unlock()
	for _, t := range due {
		l.load(ctx, t)
	}
	if l.checkDue() {
		l.askEngine(ctx)
	}
}

// startMissing begins to fetch what is newly assigned and tells running
// downloads about members that came or went.
func (l *Loader) startMissing(ctx context.Context) {
	for _, a := range l.directive.Assignments {
		if t := l.tasks[a.Root]; t != nil {
			l.update(t, a)
			continue
		}
		tctx, cancel := context.WithCancel(ctx)
		t := &task{assignment: a, cancel: cancel}
		l.tasks[a.Root] = t
		go l.fetch(tctx, t, a)
	}
}

// update gives a running task its new assignment.
func (l *Loader) update(t *task, a peer.Assignment) {
	old := t.assignment
	t.assignment = a
	d := l.holder.Download(a.Root)
	if d == nil {
		return
	}
	if !slices.Equal(old.Members, a.Members) {
		d.SetMembers(a.Members)
	}
	if old.Budget != a.Budget {
		d.SetBudget(float64(a.Budget.BytesPerSecond), a.Budget.Copies)
	}
}

// stopUnwanted ends tasks that are no longer assigned. What they fetched stays
// held, for other agents and for an undo, until room is needed.
func (l *Loader) stopUnwanted() {
	for root, t := range l.tasks {
		wanted := slices.ContainsFunc(l.directive.Assignments, func(a peer.Assignment) bool { return a.Root == root })
		if !wanted {
			t.cancel()
			delete(l.tasks, root)
		}
	}
}

// dueLoads returns the tasks whose weights can be loaded now, models before
// their adapters.
func (l *Loader) dueLoads() []*task {
	var due []*task
	now := time.Now()
	for _, a := range l.directive.Assignments {
		t := l.tasks[a.Root]
		if t == nil || t.live || !t.verified || !a.Activate || now.Before(t.retryAt) {
			continue
		}
		due = append(due, t)
	}
	return due
}

func (l *Loader) setFailed(t *task, text string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if t.failed != text {
		defer l.cfg.News()
	}
	t.failed = text
	t.retryAt = time.Now().Add(loadRetry)
}

func (l *Loader) clearFailed(t *task) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t.failed = ""
	t.retryAt = time.Time{}
}

func (l *Loader) setLive(t *task, a peer.Assignment) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t.live = true
	t.failed = ""
	defer l.cfg.News()
	l.loaded = slices.DeleteFunc(l.loaded, func(o peer.Loaded) bool { return o.Model == a.Model && o.Adapter == a.Adapter })
	l.loaded = append(l.loaded, peer.Loaded{
		Rollout: a.Rollout, Model: a.Model, Adapter: a.Adapter, Weights: a.Weights, Root: a.Root, Epoch: a.Epoch,
	})
	for root, other := range l.tasks {
		if root != a.Root && other.assignment.Model == a.Model && other.assignment.Adapter == a.Adapter {
			other.live = false
		}
	}
}

// Status returns what the engine serves and how far each assignment is.
func (l *Loader) Status() (revision int64, loaded []peer.Loaded, progress []peer.Progress) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, a := range l.directive.Assignments {
		t := l.tasks[a.Root]
		if t == nil {
			continue
		}
		p := peer.Progress{Rollout: a.Rollout, Root: a.Root, Live: t.live, Failed: t.failed}
		if d := l.holder.Download(a.Root); d != nil {
			p.Stats = d.Stats()
		}
		progress = append(progress, p)
	}
	return l.directive.Revision, slices.Clone(l.loaded), progress
}

// Serves returns whether the engine serves just this version.
func (l *Loader) Serves(model, adapter, root string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.ContainsFunc(l.loaded, func(o peer.Loaded) bool {
		return o.Model == model && o.Adapter == adapter && o.Root.String() == root
	})
}
