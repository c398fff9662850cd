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

// fetching is the fetch of one version. It is used by the fetch loop, except for done.
type fetching struct {
	want   target
	cancel context.CancelFunc
	// done is closed when the fetch has ended.
	done chan struct{}
	// have is the number of chunks present when it last changed, at since.
	have  int
	since time.Time
}

// fetches holds the current fetches of a model.
type fetches struct {
	byVersion map[int64]*fetching
	// first is the version that was read from the origin first when this was last decided.
	first int64
	// resumed is set while the older version is fetched from members only.
	resumed bool
}

// fetchLoop keeps fetching the wanted versions of each model until ctx is canceled.
func (s *Stager) fetchLoop(ctx context.Context) {
	models := map[string]*fetches{}
	failing := false
	for ctx.Err() == nil {
		failing = s.logOrigin(failing)
		for _, model := range s.models() {
			f := models[model]
			if f == nil {
				f = &fetches{byVersion: map[int64]*fetching{}}
				models[model] = f
			}
			s.fetchWanted(ctx, model, f)
		}
		s.awaitFetchEvent(ctx)
	}
}

// logOrigin logs whether the origin fails if that differs from before, and returns it.
func (s *Stager) logOrigin(before bool) bool {
	failing := s.originStatus.Failing()
	switch {
	case failing && !before:
		s.cfg.Log.Warn("origin lost")
	case !failing && before:
		s.cfg.Log.Info("origin regained")
	}
	return failing
}

// awaitFetchEvent waits for pollInterval or until a download begins.
func (s *Stager) awaitFetchEvent(ctx context.Context) {
	t := time.NewTimer(pollInterval)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-s.fetchWake:
	case <-t.C:
	}
}

// wakeFetchLoop lets the fetch loop decide anew.
func (s *Stager) wakeFetchLoop() {
	select {
	case s.fetchWake <- struct{}{}:
	default:
	}
}

// fetchesOlder returns whether an older version than the given one is wanted as well.
func (s *Stager) fetchesOlder(model string, version int64) bool {
	wanted := s.wantedVersions(model)
	return len(wanted) == 2 && wanted[0].version < version
}

// fetchWanted starts to fetch the wanted versions of model, ends the fetches of others, and
// orders those that remain.
func (s *Stager) fetchWanted(ctx context.Context, model string, f *fetches) {
	wanted := s.wantedVersions(model)
	for version, r := range f.byVersion {
		if !containsVersion(wanted, version) {
			r.cancel()
			delete(f.byVersion, version)
		}
	}
	for _, want := range wanted {
		if r := f.byVersion[want.version]; r != nil && !r.ended() {
			continue
		}
		f.byVersion[want.version] = s.startFetching(ctx, model, want)
	}
	s.orderFetches(ctx, model, f, wanted)
}

// ended returns whether the fetch has ended.
func (r *fetching) ended() bool {
	select {
	case <-r.done:
		return true
	default:
		return false
	}
}

func containsVersion(list []target, version int64) bool {
	for _, t := range list {
		if t.version == version {
			return true
		}
	}
	return false
}

// startFetching fetches a version in the background until it is complete, fails, or the fetch
// is canceled.
func (s *Stager) startFetching(ctx context.Context, model string, want target) *fetching {
	ctx, cancel := context.WithCancel(ctx)
	r := &fetching{want: want, cancel: cancel, done: make(chan struct{}), have: -1}
	go func() {
		defer close(r.done)
		defer cancel()
		if want.atStartup && !s.awaitMembership(ctx, model, want) {
			return
		}
		if err := s.fetch(ctx, model, want.version); err != nil {
			s.logAndBackOff(ctx, "weights not fetched", model, want.version, err)
			return
		}
		s.markComplete(model, want)
	}()
	return r
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

// fetch downloads the missing chunks of a version.
func (s *Stager) fetch(ctx context.Context, model string, version int64) error {
	set, err := s.openSet(ctx, model, version)
	if err != nil || set.Complete() {
		return err
	}
	return s.download(ctx, model, version, set, s.headStart(model, version))
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
	t := s.target(model)
	if t.version != version {
		return 0
	}
	heard := time.Since(t.firstSeen)
	if naming, known := s.history.Replaced(model, version-1); known && !naming.TimeUnknown {
		return HeadStart(heard, time.Since(naming.At))
	}
	return min(heard, maxHeadStart)
}

// HeadStart returns how long other VMs may have been reading a version that this VM has heard of,
// and that was named, the given times ago. The naming is the same moment for all VMs, unless they
// all heard of it late.
func HeadStart(heard, named time.Duration) time.Duration {
	if named >= heard && named <= maxHeadStart {
		return named
	}
	return min(heard, maxHeadStart)
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
