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
	// parallelChunks is how many chunks are fetched from other VMs at once: as each VM sends
	// one after the other, some of them wait there.
	parallelChunks = 4
	// perMember is how many of these come from one VM.
	perMember = 1
	// originLateness is how long a chunk may stay away before the next in rank reads it
	// from the origin.
	originLateness = 250 * time.Millisecond
	// readerPatience is how often a chunk is left to a VM that says it reads it: its link
	// may be narrow, and the time limit is short.
	readerPatience = 4
	// chunkLimit is the shortest time after which a chunk from a VM counts as stalled.
	chunkLimit = 600 * time.Millisecond
)

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
		swarm.WithTakeoverDelay(originLateness),
		swarm.WithParallel(parallelChunks, perMember),
		swarm.WithLink(link),
		swarm.WithMaxPostponements(readerPatience),
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
