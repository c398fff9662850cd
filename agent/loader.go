package agent

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"github.com/silverdeck/silverdeck/engine"
	"github.com/silverdeck/silverdeck/exchange"
	"github.com/silverdeck/silverdeck/origin"
	"github.com/silverdeck/silverdeck/peer"
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

// loader brings the engine to what the newest directive says.
type loader struct {
	self     swarm.Member
	plain    bool
	holder   *holder
	fence    *fence
	peers    Peers
	origin   origin.Source
	homes    func() []string
	news     func()
	engineAt string
	log      *log.Logger

	mu        sync.Mutex
	directive peer.Directive
	tasks     map[weights.Digest]*task
	loaded    []peer.Loaded
	checkedAt time.Time
	wake      chan struct{}
}

// apply takes in a directive, unless a newer one is known.
func (l *loader) apply(d peer.Directive) {
	l.fence.learn(d.Revision)
	l.mu.Lock()
	defer l.mu.Unlock()
	if d.Revision < l.directive.Revision {
		return
	}
	l.directive = d
	l.signal()
}

// signal makes run look again.
func (l *loader) signal() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// run reconciles until ctx ends.
func (l *loader) run(ctx context.Context) {
	t := time.NewTicker(reconcileEvery)
	defer t.Stop()
	for ctx.Err() == nil {
		if !l.plain {
			l.reconcile(ctx)
		}
		select {
		case <-ctx.Done():
		case <-t.C:
		case <-l.wake:
		}
	}
}

func (l *loader) reconcile(ctx context.Context) {
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
func (l *loader) startMissing(ctx context.Context) {
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
func (l *loader) update(t *task, a peer.Assignment) {
	old := t.assignment
	t.assignment = a
	d := l.holder.download(a.Root)
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
func (l *loader) stopUnwanted() {
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
func (l *loader) dueLoads() []*task {
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

// fetch fills the set of t and verifies it.
func (l *loader) fetch(ctx context.Context, t *task, a peer.Assignment) {
	for ctx.Err() == nil {
		err := l.fetchOnce(ctx, t, a)
		if err == nil || ctx.Err() != nil {
			return
		}
		l.log.Warn("fetch failed", "rollout", a.Rollout, "root", a.Root.Short(), "err", err)
		l.setFailed(t, err.Error())
		sleep(ctx, manifestRetry)
	}
}

func (l *loader) fetchOnce(ctx context.Context, t *task, a peer.Assignment) error {
	m, err := l.manifest(ctx, a)
	if err != nil {
		return err
	}
	set, err := l.holder.add(m, l.inUse(a.Root))
	if err != nil {
		return err
	}
	l.clearFailed(t)
	source := &originReader{source: l.origin, path: a.Path}
	d := swarm.NewDownload(l.self, a.Members, set, l.peers, source,
		swarm.WithOriginBudget(float64(a.Budget.BytesPerSecond), a.Budget.Copies))
	l.holder.setDownload(a.Root, d)
	if err := d.Run(ctx); err != nil {
		return err
	}
	if err := set.VerifyWhole(); err != nil {
		return err
	}
	l.mu.Lock()
	t.verified = true
	l.mu.Unlock()
	l.signal()
	l.news()
	l.log.Info("weights complete", "rollout", a.Rollout, "root", a.Root.Short(), "stats", fmt.Sprintf("%+v", d.Stats()))
	return nil
}

// manifest gets the manifest that a names: from memory, from other members,
// from an entry, and from the origin at last.
func (l *loader) manifest(ctx context.Context, a peer.Assignment) (*weights.Manifest, error) {
	if s := l.holder.Set(a.Root); s != nil {
		return s.Manifest(), nil
	}
	var addrs []string
	for _, m := range a.Members {
		if m.VM != l.self.VM && len(addrs) < manifestPeers {
			addrs = append(addrs, m.Addr)
		}
	}
	addrs = append(addrs, l.homes()...)
	for _, addr := range addrs {
		mctx, cancel := context.WithTimeout(ctx, stateLimit)
		m, err := l.peers.Manifest(mctx, addr, a.Root)
		cancel()
		if err == nil {
			return m, nil
		}
	}
	b, err := l.origin.Manifest(ctx, a.Path)
	if err != nil {
		return nil, err
	}
	return exchange.CheckManifest(b, a.Root)
}

// inUse returns the weights that must stay held: what is assigned, and root.
func (l *loader) inUse(root weights.Digest) map[weights.Digest]bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := map[weights.Digest]bool{root: true}
	for r := range l.tasks {
		out[r] = true
	}
	return out
}

// load has the engine load the verified weights of t.
func (l *loader) load(ctx context.Context, t *task) {
	l.mu.Lock()
	a := t.assignment
	l.mu.Unlock()
	err := l.loadOnce(ctx, a)
	var stale *engine.StaleError
	var fenced *FenceError
	switch {
	case err == nil:
		l.setLive(t, a)
		l.log.Info("engine serves", "rollout", a.Rollout, "model", a.Model, "adapter", a.Adapter, "weights", a.Weights, "epoch", a.Epoch)
		return
	case errors.As(err, &stale):
		l.fence.learn(stale.Epoch)
	case errors.As(err, &fenced):
		l.log.Debug("load held back", "err", err)
		return
	}
	l.log.Warn("load failed", "rollout", a.Rollout, "root", a.Root.Short(), "err", err)
	l.setFailed(t, err.Error())
}

func (l *loader) loadOnce(ctx context.Context, a peer.Assignment) error {
	set := l.holder.Set(a.Root)
	if set == nil {
		return &FullError{}
	}
	if !l.askEngine(ctx) {
		return &FenceError{Order: a.Epoch, Unknown: true}
	}
	kind := engine.OrderLoadModel
	if a.Adapter != "" {
		kind = engine.OrderLoadAdapter
	}
	octx, cancel := context.WithTimeout(ctx, loadLimit)
	defer cancel()
	return l.fence.order(octx, engine.Order{
		Epoch:   a.Epoch,
		Kind:    kind,
		Model:   a.Model,
		Adapter: a.Adapter,
		Weights: a.Weights,
		Source:  l.engineAt + exchange.WeightsPath + a.Root.String(),
		Digest:  set.Manifest().Whole.String(),
		Size:    set.Manifest().Size,
	})
}

// askEngine learns the engine's epoch and notes which versions it no longer
// has: an engine that was restarted comes up empty.
func (l *loader) askEngine(ctx context.Context) bool {
	sctx, cancel := context.WithTimeout(ctx, stateLimit)
	defer cancel()
	s, err := l.fence.learnEngine(sctx)
	if err != nil {
		l.log.Warn("engine does not tell its state", "err", err)
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.checkedAt = time.Now()
	for _, t := range l.tasks {
		if t.live && !l.engineHas(s, t.assignment) {
			l.lost(t)
		}
	}
	return true
}

// engineHas returns whether the engine serves what a assigns.
func (l *loader) engineHas(s engine.State, a peer.Assignment) bool {
	set := l.holder.Set(a.Root)
	return slices.ContainsFunc(s.Loaded, func(o engine.Loaded) bool {
		return o.Model == a.Model && o.Adapter == a.Adapter && (set == nil || o.Digest == set.Manifest().Whole.String())
	})
}

// lost notes that the engine no longer serves what it had loaded for t. The
// caller holds the lock.
func (l *loader) lost(t *task) {
	a := t.assignment
	l.log.Warn("engine lost a version", "rollout", a.Rollout, "model", a.Model, "adapter", a.Adapter, "weights", a.Weights)
	t.live = false
	l.loaded = slices.DeleteFunc(l.loaded, func(o peer.Loaded) bool { return o.Root == a.Root })
	l.news()
}

// checkDue returns whether it is time to ask the engine what it has.
func (l *loader) checkDue() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.loaded) > 0 && time.Since(l.checkedAt) >= checkEvery
}

func (l *loader) setFailed(t *task, text string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if t.failed != text {
		defer l.news()
	}
	t.failed = text
	t.retryAt = time.Now().Add(loadRetry)
}

func (l *loader) clearFailed(t *task) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t.failed = ""
	t.retryAt = time.Time{}
}

func (l *loader) setLive(t *task, a peer.Assignment) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t.live = true
	t.failed = ""
	defer l.news()
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

// status returns what the engine serves and how far each assignment is.
func (l *loader) status() (revision int64, loaded []peer.Loaded, progress []peer.Progress) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, a := range l.directive.Assignments {
		t := l.tasks[a.Root]
		if t == nil {
			continue
		}
		p := peer.Progress{Rollout: a.Rollout, Root: a.Root, Live: t.live, Failed: t.failed}
		if d := l.holder.download(a.Root); d != nil {
			p.Stats = d.Stats()
		}
		progress = append(progress, p)
	}
	return l.directive.Revision, slices.Clone(l.loaded), progress
}

// serves returns whether the engine serves just this version.
func (l *loader) serves(model, adapter, root string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.ContainsFunc(l.loaded, func(o peer.Loaded) bool {
		return o.Model == model && o.Adapter == adapter && o.Root.String() == root
	})
}

// originReader reads one version at the origin.
type originReader struct {
	source origin.Source
	path   string

	mu   sync.Mutex
	etag string
}

// ReadChunk implements swarm.Origin. Every range comes under the ETag of the
// first, so the origin itself refuses to mix versions.
func (o *originReader) ReadChunk(ctx context.Context, off, n int64) ([]byte, error) {
	o.mu.Lock()
	etag := o.etag
	o.mu.Unlock()
	b, got, err := o.source.ReadRange(ctx, o.path, etag, off, n)
	var status *origin.StatusError
	if errors.As(err, &status) && status.Status == http.StatusNotFound {
		return nil, &origin.ChangedError{Path: o.path}
	}
	if err != nil {
		return b, err
	}
	o.mu.Lock()
	if o.etag == "" {
		o.etag = got
	}
	o.mu.Unlock()
	return b, nil
}

// sleep waits for d or the end of ctx.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
