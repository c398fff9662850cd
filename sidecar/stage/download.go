package stage

import (
	"context"
	"errors"
	"time"

	"github.com/silverdeck/silverdeck/swarm"
	"github.com/silverdeck/silverdeck/swarm/congestion"
	"github.com/silverdeck/silverdeck/wait"
	"github.com/silverdeck/silverdeck/weights"
)

// Settings of downloads.
const (
	// memberRefreshInterval is the interval at which the member list is refreshed during a
	// download.
	memberRefreshInterval = time.Second
	// parallelChunks is the number of chunks requested from other VMs concurrently. Each VM
	// sends one chunk at a time, so that some of the requests wait in a queue.
	parallelChunks = 4
	// parallelPerMember is how many of these are requested from one VM.
	parallelPerMember = 1
	// originTakeoverDelay is how long a chunk may be overdue before the next VM in rank reads it
	// from the origin.
	originTakeoverDelay = 250 * time.Millisecond
	// maxDeferrals is how often a chunk is left to a VM that reports that it is reading it. The
	// number is small because that VM's link may be narrow and the time limit is short.
	maxDeferrals = 4
	// minChunkTimeout is the minimum time after which a chunk transfer from a VM counts as
	// stalled.
	minChunkTimeout = 600 * time.Millisecond
)

// download downloads the missing chunks of set from other VMs and the origin.
func (s *Stager) download(ctx context.Context, model string, version int64, set *weights.Set, headStart time.Duration) error {
	members := s.members(ctx)
	d := swarm.NewDownload(s.cfg.Self, members, set, s.cfg.Peers, s.originReader(model, version, set),
		append(DownloadOptions(s.cfg.Origin.Rate(ctx), len(members), s.linkMeter(set.Manifest().ChunkSize)),
			swarm.WithHeadStart(headStart), swarm.WithOriginStatus(s.originStatus))...)
	if s.fetchesOlder(model, version) {
		d.SetMode(swarm.ModeMembers) // until the order of both is decided
	}
	s.holdings.SetDownload(set.Root(), d)
	s.wakeFetchLoop()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	go s.refreshMembers(ctx, d)
	go s.cancelOnSuspectManifest(ctx, cancel, d)
	began := time.Now()
	if err := d.Run(ctx); err != nil {
		if errors.Is(context.Cause(ctx), errManifestSuspect) {
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

// DownloadOptions returns the options of a download among the given number of members.
// originRate is the bandwidth of the origin's link in bytes per second, and link measures
// this VM's link.
func DownloadOptions(originRate float64, members int, link *congestion.Meter) []swarm.Option {
	return []swarm.Option{
		swarm.WithOriginBudget(originRate, float64(members+1)),
		swarm.WithTakeoverDelay(originTakeoverDelay),
		swarm.WithParallel(parallelChunks, parallelPerMember),
		swarm.WithLink(link),
		swarm.WithMaxPostponements(maxDeferrals),
		swarm.WithMinTimeout(minChunkTimeout),
	}
}

// linkMeter returns the meter of this VM's link for chunks of the given size. It is shared
// by all downloads.
func (s *Stager) linkMeter(chunkSize int64) *congestion.Meter {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.link == nil || s.linkChunkSize != chunkSize {
		s.link, s.linkChunkSize = congestion.New(s.cfg.LinkRate, chunkSize), chunkSize
	}
	return s.link
}

// errManifestSuspect is the cause of canceling a download whose manifest appears to be wrong.
var errManifestSuspect = errors.New("stage: manifest suspected to be wrong")

// cancelOnSuspectManifest cancels a download whose manifest appears to be wrong. Time during which
// the origin fails does not count as time without progress.
func (s *Stager) cancelOnSuspectManifest(ctx context.Context, cancel context.CancelCauseFunc, d *swarm.Download) {
	have, since := -1, time.Now()
	for wait.For(ctx, pollInterval) {
		stats := d.Stats()
		if stats.Have != have || s.originStatus.Failing() {
			have, since = stats.Have, time.Now()
		}
		if ManifestSuspect(stats.CorruptOrigin, time.Since(since)) {
			s.cfg.Log.Warn("manifest suspected to be wrong, download canceled", "have", stats.Have, "corruptOrigin", stats.CorruptOrigin)
			cancel(errManifestSuspect)
			return
		}
	}
}

// refreshMembers keeps the member list of a download up to date.
func (s *Stager) refreshMembers(ctx context.Context, d *swarm.Download) {
	for wait.For(ctx, memberRefreshInterval) {
		if members, err := s.cfg.Fleet.Members(ctx); err == nil {
			d.SetMembers(members)
		}
	}
}

// members returns the VMs that stage weights for the same service, or only this one if the
// list is unavailable.
func (s *Stager) members(ctx context.Context) []swarm.Member {
	members, err := s.cfg.Fleet.Members(ctx)
	if err != nil {
		s.cfg.Log.Debug("member list unavailable, assuming no other VMs", "err", err)
		return []swarm.Member{s.cfg.Self}
	}
	return members
}

// originReader returns a reader of a version's chunks from the origin.
func (s *Stager) originReader(model string, version int64, set *weights.Set) *versionReader {
	return &versionReader{origin: s.cfg.Origin, model: model, version: version, chunkSize: set.Manifest().ChunkSize}
}

// versionReader reads the chunks of one version from the origin.
type versionReader struct {
	origin    Origin
	model     string
	version   int64
	chunkSize int64
}

// ReadChunk implements swarm.Origin.
func (r *versionReader) ReadChunk(ctx context.Context, off, _ int64) ([]byte, error) {
	return r.origin.Chunk(ctx, r.model, r.version, int(off/r.chunkSize))
}
