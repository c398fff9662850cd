package stage

import (
	"context"
	"time"

	"github.com/silverdeck/silverdeck/swarm"
	"github.com/silverdeck/silverdeck/swarm/congestion"
	"github.com/silverdeck/silverdeck/wait"
	"github.com/silverdeck/silverdeck/weights"
)

// Settings of downloads.
const (
	// fleetEvery is how often the list of members is read during a download.
	fleetEvery = time.Second
	// settleTime is how long the VMs of a fleet may take to appear in the platform's list
	// after a start. Without it version 1 came from the origin 2.6 times.
	settleTime = 5 * time.Second
	// parallelChunks is how many chunks are fetched from other VMs at once: as each VM sends
	// one after the other, some of them wait there.
	parallelChunks = 4
	// perMember is how many of these come from one VM.
	perMember = 1
	// originLateness is how long a chunk may stay away before the next in rank reads it
	// from the origin.
	originLateness = 250 * time.Millisecond
	// readerPatience is how often a chunk is left to a VM that says it reads it: its link
	// may be narrow, and the time limit is short. Ten times was too long.
	readerPatience = 4
	// chunkLimit is the shortest time after which a chunk from a VM counts as stalled.
	chunkLimit = 600 * time.Millisecond
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

// download fills set from other VMs and the origin.
func (s *Stager) download(ctx context.Context, model string, version int64, set *weights.Set, headStart time.Duration) error {
	members := s.members(ctx)
	d := swarm.NewDownload(s.cfg.Self, members, set, s.cfg.Peers, s.reader(model, version, set),
		append(DownloadOptions(s.cfg.Origin.Rate(ctx), len(members), s.linkMeter(set.Manifest().ChunkSize)),
			swarm.WithHeadStart(headStart))...)
	s.holdings.SetDownload(set.Root(), d)
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
	stats, delays := d.Stats(), d.Delays()
	s.cfg.Log.Info("weights fetched", "model", model, "version", version, "ms", time.Since(began).Milliseconds(),
		"peerBytes", stats.PeerBytes, "otherRegionBytes", delays.OtherRegionBytes, "originBytes", stats.OriginBytes,
		"postponed", delays.Postponed, "stalled", stats.Stalled,
		"corruptPeer", stats.CorruptPeer, "corruptOrigin", stats.CorruptOrigin, "takeovers", stats.Takeovers)
	return nil
}

// DownloadOptions returns the settings of a download among so many VMs, by the bandwidth of
// the origin's link in bytes a second and by what measures this VM's link.
func DownloadOptions(originRate float64, members int, link *congestion.Meter) []swarm.Option {
	return []swarm.Option{
		swarm.WithOriginBudget(originRate, float64(members+1)),
		swarm.WithLateness(originLateness),
		swarm.WithParallel(parallelChunks, perMember),
		swarm.WithLink(link),
		swarm.WithPatience(readerPatience),
		swarm.WithMinTimeout(chunkLimit),
	}
}

// linkMeter returns the measure of this VM's link for chunks of a size, which all
// downloads share.
func (s *Stager) linkMeter(chunkSize int64) *congestion.Meter {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.link == nil || s.linkChunk != chunkSize {
		s.link, s.linkChunk = congestion.New(s.cfg.LinkRate, chunkSize), chunkSize
	}
	return s.link
}

// doubt ends a download whose manifest seems to be wrong.
func (s *Stager) doubt(ctx context.Context, cancel func(), d *swarm.Download) {
	have, since := -1, time.Now()
	for wait.For(ctx, lookEvery) {
		stats := d.Stats()
		if stats.Have != have {
			have, since = stats.Have, time.Now()
		}
		if ManifestInDoubt(stats.CorruptOrigin, time.Since(since)) {
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

// members returns the VMs that stage for the same service: this one alone while
// none are known.
func (s *Stager) members(ctx context.Context) []swarm.Member {
	members, err := s.cfg.Fleet.Members(ctx)
	if err != nil {
		s.cfg.Log.Debug("no members known", "err", err)
		return []swarm.Member{s.cfg.Self}
	}
	return members
}

// reader returns what reads the chunks of a version's set from the origin.
func (s *Stager) reader(model string, version int64, set *weights.Set) *versionReader {
	return &versionReader{origin: s.cfg.Origin, model: model, version: version, size: set.Manifest().ChunkSize}
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
