package loader

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/silverdeck/silverdeck/exchange"
	"github.com/silverdeck/silverdeck/standalone/engine"
	"github.com/silverdeck/silverdeck/standalone/peer"
)

// load has the engine load the verified weights of t.
func (l *Loader) load(ctx context.Context, t *task) {
	l.mu.Lock()
	a := t.assignment
	l.mu.Unlock()
	err := l.loadOnce(ctx, a)
	var stale *engine.StaleError
	var fenced *FenceError
	switch {
	case err == nil:
		l.setLive(t, a)
		l.cfg.Log.Info("engine serves", "rollout", a.Rollout, "model", a.Model, "adapter", a.Adapter, "weights", a.Weights, "epoch", a.Epoch)
		return
	case errors.As(err, &stale):
		l.cfg.Fence.Learn(stale.Epoch)
	case errors.As(err, &fenced):
		l.cfg.Log.Debug("load held back", "err", err)
		return
	}
	l.cfg.Log.Warn("load failed", "rollout", a.Rollout, "root", a.Root.Short(), "err", err)
	l.setFailed(t, err.Error())
}

func (l *Loader) loadOnce(ctx context.Context, a peer.Assignment) error {
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
	return l.cfg.Fence.Order(octx, engine.Order{
		Epoch:   a.Epoch,
		Kind:    kind,
		Model:   a.Model,
		Adapter: a.Adapter,
		Weights: a.Weights,
		Source:  l.cfg.EngineAt + exchange.WeightsPath + a.Root.String(),
		Digest:  set.Manifest().Whole.String(),
		Size:    set.Manifest().Size,
	})
}

// askEngine learns the engine's epoch and notes which versions it no longer
// has: an engine that was restarted comes up empty.
func (l *Loader) askEngine(ctx context.Context) bool {
	sctx, cancel := context.WithTimeout(ctx, stateLimit)
	defer cancel()
	s, err := l.cfg.Fence.LearnEngine(sctx)
	if err != nil {
		l.cfg.Log.Warn("engine does not tell its state", "err", err)
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
func (l *Loader) engineHas(s engine.State, a peer.Assignment) bool {
	set := l.holder.Set(a.Root)
	return slices.ContainsFunc(s.Loaded, func(o engine.Loaded) bool {
		return o.Model == a.Model && o.Adapter == a.Adapter && (set == nil || o.Digest == set.Manifest().Whole.String())
	})
}

// lost notes that the engine no longer serves what it had loaded for t. The
// caller holds the lock.
func (l *Loader) lost(t *task) {
	a := t.assignment
	l.cfg.Log.Warn("engine lost a version", "rollout", a.Rollout, "model", a.Model, "adapter", a.Adapter, "weights", a.Weights)
	t.live = false
	l.loaded = slices.DeleteFunc(l.loaded, func(o peer.Loaded) bool { return o.Root == a.Root })
	l.cfg.News()
}

// checkDue returns whether it is time to ask the engine what it has.
func (l *Loader) checkDue() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.loaded) > 0 && time.Since(l.checkedAt) >= checkEvery
}
