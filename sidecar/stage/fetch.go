package stage

import (
	"context"
	"time"

	"github.com/silverdeck/silverdeck/swarm"
	"github.com/silverdeck/silverdeck/wait"
	"github.com/silverdeck/silverdeck/weights"
)

// fetchAll fetches the newest version of each model, until ctx ends.
func (s *Stager) fetchAll(ctx context.Context) {
	for ctx.Err() == nil {
		for _, model := range s.models() {
			s.fetchNewest(ctx, model)
		}
		wait.For(ctx, lookEvery)
	}
}

// fetchNewest fetches the newest version of model. One that is named meanwhile
// takes over unless most of this one is there already.
func (s *Stager) fetchNewest(ctx context.Context, model string) {
	want := s.target(model)
	if set := s.holdings.version(model, want.version); set != nil && set.Complete() {
		return
	}
	if want.first && !s.settle(ctx, model, want) {
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go s.abandon(ctx, cancel, model, want.version)
	go s.fallBack(ctx, model, want.version)
	if err := s.fetch(ctx, model, want.version); err != nil {
		s.failed(ctx, "weights not fetched", model, want.version, err)
		return
	}
	s.completed(model, want)
}

// settle gives the other VMs time to appear in the platform's list when the
// endpoint has its weights already, and returns false when ctx ends.
func (s *Stager) settle(ctx context.Context, model string, want target) bool {
	report, err := s.report(ctx)
	if err != nil || report.Version(model) < want.version {
		return ctx.Err() == nil
	}
	return wait.For(ctx, time.Until(want.seenAt.Add(settleTime)))
}

// mostOf is the part of a version that makes it worth being fetched whole
// although a newer one is named.
const mostOf = 0.7

// abandon ends the fetching of a version once a newer one is wanted and little
// of the older is there.
func (s *Stager) abandon(ctx context.Context, cancel func(), model string, version int64) {
	for wait.For(ctx, lookEvery) {
		if s.target(model).version == version {
			continue
		}
		set := s.holdings.version(model, version)
		if set == nil || float64(set.Len()) < mostOf*float64(len(set.Manifest().Chunks)) {
			cancel()
			return
		}
	}
}

// stalledAfter is how long a version may make no progress before an older one,
// of which other VMs may have all chunks, is gone on with.
const stalledAfter = 1200 * time.Millisecond

// fallBack goes on with the version named before when this one makes no
// progress, as when the origin fails: requests may begin on the older one until
// its own limit.
func (s *Stager) fallBack(ctx context.Context, model string, version int64) {
	have, since := -1, time.Now()
	for wait.For(ctx, lookEvery) {
		if n := s.held(model, version); n != have {
			have, since = n, time.Now()
		}
		older, wanted := s.formerTarget(model, version)
		if !wanted || time.Since(since) < stalledAfter || s.held(model, older.version) == 0 {
			continue
		}
		s.cfg.Log.Info("older weights gone on with", "model", model, "version", older.version,
			"have", s.held(model, older.version), "instead", version, "haveOfThat", have)
		if err := s.fetch(ctx, model, older.version); err != nil {
			s.failed(ctx, "weights not fetched", model, older.version, err)
			continue
		}
		s.completed(model, older)
	}
}

// held returns how many chunks of a version are there.
func (s *Stager) held(model string, version int64) int {
	if set := s.holdings.version(model, version); set != nil {
		return set.Len()
	}
	return 0
}

// fetch fills the set of a version.
func (s *Stager) fetch(ctx context.Context, model string, version int64) error {
	set := s.holdings.version(model, version)
	if set == nil {
		m, err := s.manifest(ctx, model, version)
		if err != nil {
			return err
		}
		set = s.holdings.add(model, version, m)
		s.takePlaced(ctx, model, set)
	}
	if set.Complete() {
		return nil
	}
	return s.download(ctx, model, version, set)
}

// takePlaced takes what lies at the endpoint already and belongs to the set.
func (s *Stager) takePlaced(ctx context.Context, model string, set *weights.Set) {
	for i := range set.Manifest().Chunks {
		data, err := s.placed(ctx, model, i)
		if err != nil || data == nil {
			return
		}
		if _, err := set.Put(i, data); err != nil && i == 0 {
			return
		}
	}
}

// download fills set from other VMs and the origin.
func (s *Stager) download(ctx context.Context, model string, version int64, set *weights.Set) error {
	members, err := s.cfg.Fleet.Members(ctx)
	if err != nil {
		members = []swarm.Member{s.cfg.Self}
	}
	source := &versionReader{origin: s.cfg.Origin, model: model, version: version, size: set.Manifest().ChunkSize}
	d := swarm.NewDownload(s.cfg.Self, members, set, s.cfg.Peers, source,
		swarm.WithOriginBudget(s.cfg.Origin.Rate(), float64(len(members)+1)),
		swarm.WithLateness(originLateness),
		swarm.WithParallel(parallelChunks, 1),
		swarm.WithLinkRate(s.cfg.LinkRate),
		swarm.WithPatience(readerPatience),
		swarm.WithMinTimeout(chunkLimit))
	s.holdings.setDownload(set.Root(), d)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go s.refresh(ctx, d)
	go s.doubt(ctx, cancel, d)
	began := time.Now()
	if err := d.Run(ctx); err != nil {
		if d.Stats().CorruptOrigin > 0 {
			s.holdings.remove(model, version)
		}
		return err
	}
	stats := d.Stats()
	s.cfg.Log.Info("weights fetched", "model", model, "version", version, "ms", time.Since(began).Milliseconds(),
		"peerBytes", stats.PeerBytes, "originBytes", stats.OriginBytes, "stalled", stats.Stalled,
		"corruptPeer", stats.CorruptPeer, "corruptOrigin", stats.CorruptOrigin, "takeovers", stats.Takeovers)
	return nil
}

// doubtAfter is how long a download may make no progress while chunks of the
// origin don't match the manifest before the manifest is read anew.
const doubtAfter = 3 * time.Second

// doubt ends a download whose manifest seems to be wrong.
func (s *Stager) doubt(ctx context.Context, cancel func(), d *swarm.Download) {
	have, since := -1, time.Now()
	for wait.For(ctx, lookEvery) {
		stats := d.Stats()
		if stats.Have != have {
			have, since = stats.Have, time.Now()
		}
		if stats.CorruptOrigin > 0 && time.Since(since) > doubtAfter {
			s.cfg.Log.Warn("manifest in doubt", "have", stats.Have, "corruptOrigin", stats.CorruptOrigin)
			cancel()
			return
		}
	}
}

// refresh keeps a download's members up to date.
func (s *Stager) refresh(ctx context.Context, d *swarm.Download) {
	for wait.For(ctx, fleetEvery) {
		if members, err := s.cfg.Fleet.Members(ctx); err == nil {
			d.SetMembers(members)
		}
	}
}

// versionReader reads chunks of one version from the origin.
type versionReader struct {
	origin  Origin
	model   string
	version int64
	size    int64
}

// ReadChunk implements swarm.Origin.
func (r *versionReader) ReadChunk(ctx context.Context, off, _ int64) ([]byte, error) {
	return r.origin.Chunk(ctx, r.model, r.version, int(off/r.size))
}
