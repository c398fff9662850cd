package loader

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"

	"github.com/silverdeck/silverdeck/exchange"
	"github.com/silverdeck/silverdeck/origin"
	"github.com/silverdeck/silverdeck/standalone/peer"
	"github.com/silverdeck/silverdeck/swarm"
	"github.com/silverdeck/silverdeck/wait"
	"github.com/silverdeck/silverdeck/weights"
)

// fetch fills the set of t and verifies it.
func (l *Loader) fetch(ctx context.Context, t *task, a peer.Assignment) {
	for ctx.Err() == nil {
		err := l.fetchOnce(ctx, t, a)
		if err == nil || ctx.Err() != nil {
			return
		}
		l.cfg.Log.Warn("fetch failed", "rollout", a.Rollout, "root", a.Root.Short(), "err", err)
		l.setFailed(t, err.Error())
		wait.For(ctx, manifestRetry)
	}
}

func (l *Loader) fetchOnce(ctx context.Context, t *task, a peer.Assignment) error {
	m, err := l.manifest(ctx, a)
	if err != nil {
		return err
	}
	set, err := l.holder.add(m, l.inUse(a.Root))
	if err != nil {
		return err
	}
	l.clearFailed(t)
	source := &originReader{source: l.cfg.Origin, path: a.Path}
	d := swarm.NewDownload(l.cfg.Self, a.Members, set, l.cfg.Peers, source,
		swarm.WithOriginBudget(float64(a.Budget.BytesPerSecond), a.Budget.Copies))
	l.holder.SetDownload(a.Root, d)
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
	l.cfg.News()
	l.cfg.Log.Info("weights complete", "rollout", a.Rollout, "root", a.Root.Short(), "stats", fmt.Sprintf("%+v", d.Stats()))
	return nil
}

// manifest gets the manifest that a names: from memory, from other members,
// from an entry, and from the origin at last.
func (l *Loader) manifest(ctx context.Context, a peer.Assignment) (*weights.Manifest, error) {
	if s := l.holder.Set(a.Root); s != nil {
		return s.Manifest(), nil
	}
	var addrs []string
	for _, m := range a.Members {
		if m.VM != l.cfg.Self.VM && len(addrs) < manifestPeers {
			addrs = append(addrs, m.Addr)
		}
	}
	addrs = append(addrs, l.cfg.Homes()...)
	for _, addr := range addrs {
		mctx, cancel := context.WithTimeout(ctx, stateLimit)
		m, err := l.cfg.Peers.Manifest(mctx, addr, a.Root)
		cancel()
		if err == nil {
			return m, nil
		}
	}
	b, err := l.cfg.Origin.Manifest(ctx, a.Path)
	if err != nil {
		return nil, err
	}
	return exchange.CheckManifest(b, a.Root)
}

// inUse returns the weights that must stay held: what is assigned, and root.
func (l *Loader) inUse(root weights.Digest) map[weights.Digest]bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := map[weights.Digest]bool{root: true}
	for r := range l.tasks {
		out[r] = true
	}
	return out
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
