package stage

import (
	"context"
	"time"

	"github.com/silverdeck/silverdeck/wait"
	"github.com/silverdeck/silverdeck/weights"
)

// Times of fetching.
const (
	// settleTime is how long the VMs of a fleet may take to appear in the platform's list
	// after a start.
	settleTime = 5 * time.Second
	// maxHeadStart is for how long others may have been reading a version when its manifest
	// comes here, a few steps of its spreading. A VM that comes later finds chunks
	// elsewhere.
	maxHeadStart = 400 * time.Millisecond
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
	whole := ctx
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go s.abandon(ctx, cancel, model, want.version)
	go s.fallBack(ctx, model, want.version)
	err := s.fetch(ctx, model, want.version)
	if s.firstCopiesOfUse(whole, model, want) {
		go s.bringFirstCopies(whole, model, want.version)
	}
	if err != nil {
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

// abandon ends the fetching of a version once a newer one is wanted and little of the older
// is there. It waits for the manifest of the newer one: while the origin is away nothing of
// that comes, and the older one may be whole elsewhere.
func (s *Stager) abandon(ctx context.Context, cancel func(), model string, version int64) {
	for wait.For(ctx, lookEvery) {
		newest := s.target(model).version
		if newest == version {
			continue
		}
		if set := s.holdings.version(model, version); set != nil {
			if finishes(set) {
				continue
			}
			// Chunks of this version come meanwhile.
			if _, err := s.listed(ctx, model, newest); err != nil || finishes(set) {
				continue
			}
		}
		cancel()
		return
	}
}

// finishes returns whether a set is fetched whole although a newer version is named.
func finishes(set *weights.Set) bool {
	return WorthFinishing(set.Len(), len(set.Manifest().Chunks))
}

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
		progress := Progress{
			Idle:      time.Since(since),
			ChunkTime: s.chunkTime(model, version),
			OlderHave: s.held(model, older.version),
			Outdated:  s.outdated(model, older.version),
		}
		if !wanted || !FallsBack(progress) {
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

// chunkTime returns how long a chunk of a version takes on this VM's link, or 0 where that
// is not known.
func (s *Stager) chunkTime(model string, version int64) time.Duration {
	set := s.holdings.version(model, version)
	if set == nil || s.cfg.LinkRate <= 0 {
		return 0
	}
	return time.Duration(float64(set.Manifest().ChunkSize) / s.cfg.LinkRate * float64(time.Second))
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
	set, err := s.listed(ctx, model, version)
	if err != nil || set.Complete() {
		return err
	}
	return s.download(ctx, model, version, set, s.headStart(model, version))
}

// listed returns the set of a version once its manifest is there.
func (s *Stager) listed(ctx context.Context, model string, version int64) (*weights.Set, error) {
	if set := s.holdings.version(model, version); set != nil {
		return set, nil
	}
	m, err := s.manifest(ctx, model, version)
	if err != nil {
		return nil, err
	}
	set := s.holdings.add(model, version, m)
	s.takePlaced(ctx, model, set)
	return set, nil
}

// headStart returns for how long others may have been reading a version from the origin: all
// hear of it at about the same time, and have its manifest one after the other.
func (s *Stager) headStart(model string, version int64) time.Duration {
	if t := s.target(model); t.version == version {
		return min(time.Since(t.seenAt), maxHeadStart)
	}
	return 0
}

// takePlaced takes the chunks at the endpoint that belong to the set already.
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
