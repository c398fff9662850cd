package stage

import (
	"context"
	"time"

	"github.com/silverdeck/silverdeck/wait"
	"github.com/silverdeck/silverdeck/weights"
)

// Durations used when fetching.
const (
	// membershipSettleTime is how long it may take after a start until the VMs of a fleet appear
	// in the platform's list.
	membershipSettleTime = 5 * time.Second
	// maxHeadStart limits the time for which other VMs are assumed to have been reading a
	// version when its manifest arrives here, a few steps of its distribution. A VM that joins
	// later finds the chunks at other VMs.
	maxHeadStart = 400 * time.Millisecond
)

// fetchLoop downloads the newest version of each model until ctx is canceled.
func (s *Stager) fetchLoop(ctx context.Context) {
	for ctx.Err() == nil {
		for _, model := range s.models() {
			s.fetchNewest(ctx, model)
		}
		wait.For(ctx, pollInterval)
	}
}

// fetchNewest downloads the newest version of model. If a newer one is named meanwhile, the
// download is canceled unless most chunks are already present.
func (s *Stager) fetchNewest(ctx context.Context, model string) {
	want := s.target(model)
	if set := s.holdings.lookup(model, want.version); set != nil && set.Complete() {
		return
	}
	if want.atStartup && !s.awaitMembership(ctx, model, want) {
		return
	}
	parent := ctx
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go s.cancelWhenSuperseded(ctx, cancel, model, want.version)
	go s.resumeOlderOnStall(ctx, model, want.version)
	err := s.fetch(ctx, model, want.version)
	if s.worthFetchingFirstCopies(parent, model, want) {
		go s.fetchFirstCopies(parent, model, want.version)
	}
	if err != nil {
		s.logAndBackOff(ctx, "weights not fetched", model, want.version, err)
		return
	}
	s.markComplete(model, want)
}

// awaitMembership gives the other VMs time to appear in the platform's list if the endpoint
// already has its weights loaded. It returns false if ctx is canceled.
func (s *Stager) awaitMembership(ctx context.Context, model string, want target) bool {
	report, err := s.report(ctx)
	if err != nil || report.Version(model) < want.version {
		return ctx.Err() == nil
	}
	return wait.For(ctx, time.Until(want.firstSeen.Add(membershipSettleTime)))
}

// cancelWhenSuperseded cancels the download of a version once a newer one is the target and
// few chunks of the older one are present. It first waits for the manifest of the newer
// version: while the origin is down, nothing of the newer version arrives, but other VMs may
// have all chunks of the older one.
func (s *Stager) cancelWhenSuperseded(ctx context.Context, cancel func(), model string, version int64) {
	for wait.For(ctx, pollInterval) {
		newest := s.target(model).version
		if newest == version {
			continue
		}
		if set := s.holdings.lookup(model, version); set != nil {
			if worthFinishing(set) {
				continue
			}
			// The download continues meanwhile, so check again.
			if _, err := s.openSet(ctx, model, newest); err != nil || worthFinishing(set) {
				continue
			}
		}
		cancel()
		return
	}
}

// worthFinishing applies the rule WorthFinishing to a chunk set.
func worthFinishing(set *weights.Set) bool {
	return WorthFinishing(set.Len(), len(set.Manifest().Chunks))
}

// resumeOlderOnStall resumes the download of the preceding version when the given version
// makes no progress, for example because the origin is down. Requests may begin on the older
// version until it expires.
func (s *Stager) resumeOlderOnStall(ctx context.Context, model string, version int64) {
	have, since := -1, time.Now()
	for wait.For(ctx, pollInterval) {
		if n := s.chunkCount(model, version); n != have {
			have, since = n, time.Now()
		}
		older, wanted := s.supersededTarget(model, version)
		progress := Progress{
			Idle:         time.Since(since),
			ChunkTime:    s.chunkTime(model, version),
			OlderChunks:  s.chunkCount(model, older.version),
			OlderExpired: s.expiresTooSoon(model, older.version),
		}
		if !wanted || !ShouldFallBack(progress) {
			continue
		}
		s.cfg.Log.Info("resuming download of older weights", "model", model, "version", older.version,
			"have", s.chunkCount(model, older.version), "instead", version, "haveOfThat", have)
		if err := s.fetch(ctx, model, older.version); err != nil {
			s.logAndBackOff(ctx, "weights not fetched", model, older.version, err)
			continue
		}
		s.markComplete(model, older)
	}
}

// chunkTime returns the transfer time of a chunk of a version on this VM's link, or 0 if it
// is unknown.
func (s *Stager) chunkTime(model string, version int64) time.Duration {
	set := s.holdings.lookup(model, version)
	if set == nil || s.cfg.LinkRate <= 0 {
		return 0
	}
	return time.Duration(float64(set.Manifest().ChunkSize) / s.cfg.LinkRate * float64(time.Second))
}

// chunkCount returns the number of chunks present of a version.
func (s *Stager) chunkCount(model string, version int64) int {
	if set := s.holdings.lookup(model, version); set != nil {
		return set.Len()
	}
	return 0
}

// fetch downloads the missing chunks of a version.
func (s *Stager) fetch(ctx context.Context, model string, version int64) error {
	set, err := s.openSet(ctx, model, version)
	if err != nil || set.Complete() {
		return err
	}
	return s.download(ctx, model, version, set, s.headStart(model, version))
}

// openSet returns the chunk set of a version. It creates the set after getting the manifest
// if there is none yet.
func (s *Stager) openSet(ctx context.Context, model string, version int64) (*weights.Set, error) {
	if set := s.holdings.lookup(model, version); set != nil {
		return set, nil
	}
	m, err := s.manifest(ctx, model, version)
	if err != nil {
		return nil, err
	}
	set := s.holdings.add(model, version, m)
	s.importPlaced(ctx, model, set)
	return set, nil
}

// headStart returns how long other VMs may have been reading a version from the origin. All
// VMs learn of a version at about the same time, but receive its manifest one after another.
func (s *Stager) headStart(model string, version int64) time.Duration {
	if t := s.target(model); t.version == version {
		return min(time.Since(t.firstSeen), maxHeadStart)
	}
	return 0
}

// importPlaced adds the chunks from the endpoint's staging area that belong to the set.
func (s *Stager) importPlaced(ctx context.Context, model string, set *weights.Set) {
	for i := range set.Manifest().Chunks {
		data, err := s.readPlaced(ctx, model, i)
		if err != nil || data == nil {
			return
		}
		if _, err := set.Put(i, data); err != nil && i == 0 {
			return
		}
	}
}
