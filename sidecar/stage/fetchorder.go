package stage

import (
	"context"
	"time"

	"github.com/silverdeck/silverdeck/swarm"
)

// orderFetches decides which of two versions is read from the origin first, and where the
// other one takes chunks from meanwhile. While the newer one's manifest is missing, the older
// one is fetched as if it were alone.
func (s *Stager) orderFetches(ctx context.Context, model string, f *fetches, wanted []target) {
	now := time.Now()
	for version, r := range f.byVersion {
		if n := s.chunkCount(model, version); n != r.have {
			r.have, r.since = n, now
		}
	}
	if len(wanted) < 2 {
		f.first, f.resumed = 0, false
		for _, t := range wanted {
			s.fetchAlone(model, t.version)
		}
		return
	}
	older, newest := wanted[0], wanted[1]
	a, b := s.downloadOf(model, older.version), s.downloadOf(model, newest.version)
	if a == nil || b == nil {
		for _, t := range wanted {
			s.fetchAlone(model, t.version)
		}
		return
	}
	p := s.pending(ctx, model, older.version, newest.version, a, b)
	olderFirst := OlderFirst(p)
	s.logOrder(model, f, older.version, newest.version, olderFirst, p)
	if olderFirst {
		a.SetMode(swarm.ModeAll)
		b.ReadAfter(a) // before the mode, which lets b read at once
		b.SetMode(swarm.ModeAll)
		return
	}
	b.SetMode(swarm.ModeAll)
	b.ReadAfter(nil)
	mode := s.modeBehindNewest(model, older.version, f.byVersion[newest.version], p)
	a.SetMode(mode)
	if resumed := mode == swarm.ModeMembers; resumed != f.resumed {
		f.resumed = resumed
		s.logResumed(model, older.version, newest.version, resumed)
	}
}

// logResumed logs that an older version, which waits for the newest one, is fetched from other
// VMs.
func (s *Stager) logResumed(model string, older, newest int64, resumed bool) {
	if !resumed {
		return
	}
	s.cfg.Log.Info("resuming download of older weights", "model", model, "version", older,
		"have", s.chunkCount(model, older), "instead", newest, "haveOfThat", s.chunkCount(model, newest))
}

// modeBehindNewest returns where an older version takes chunks from while the newest one is
// read from the origin.
func (s *Stager) modeBehindNewest(model string, older int64, newest *fetching, p Pending) swarm.Mode {
	progress := Progress{
		Idle:         time.Since(newest.since),
		ChunkTime:    s.chunkTime(model, newest.want.version),
		OlderChunks:  s.chunkCount(model, older),
		OlderExpired: s.expiresTooSoon(model, older),
	}
	if s.originStatus.Failing() || ShouldFallBack(progress) || WorthFinishing(progress.OlderChunks, p.Chunks) {
		return swarm.ModeMembers
	}
	return swarm.ModePaused
}

// fetchAlone lets the download of a version, if there is one, read from the origin without
// regard to another version.
func (s *Stager) fetchAlone(model string, version int64) {
	if d := s.downloadOf(model, version); d != nil {
		d.SetMode(swarm.ModeAll)
		d.ReadAfter(nil)
	}
}

// downloadOf returns the download of a version, or nil before its manifest is present.
func (s *Stager) downloadOf(model string, version int64) *swarm.Download {
	set := s.holdings.lookup(model, version)
	if set == nil {
		return nil
	}
	return s.holdings.Download(set.Root())
}

// pending returns the inputs of the decision which of two versions is read first.
func (s *Stager) pending(ctx context.Context, model string, older, newest int64, a, b *swarm.Download) Pending {
	set := s.holdings.lookup(model, newest)
	p := Pending{
		Chunks:       len(set.Manifest().Chunks),
		OlderUnknown: a.Unknown(),
		Unknown:      b.Unknown(),
		Spread:       SpreadTime(len(s.members(ctx)), s.chunkTime(model, newest)),
	}
	if rate := s.cfg.Origin.Rate(ctx); rate > 0 {
		p.ChunkTime = time.Duration(float64(set.Manifest().ChunkSize) / rate * float64(time.Second))
	}
	if end, ends := s.history.Deadline(model, older); ends {
		p.OlderLeft = time.Until(end)
	}
	if end, ends := s.history.Deadline(model, s.usableBefore(model, older)); ends {
		p.RunningLeft = time.Until(end)
	}
	return p
}

// logOrder logs which version is read first if this has changed.
func (s *Stager) logOrder(model string, f *fetches, older, newest int64, olderFirst bool, p Pending) {
	first := newest
	if olderFirst {
		first = older
	}
	if f.first == first {
		return
	}
	f.first = first
	s.cfg.Log.Info("order of versions", "model", model, "first", first, "older", older, "newest", newest,
		"have", s.chunkCount(model, older), "haveOfNewest", s.chunkCount(model, newest),
		"unknown", p.OlderUnknown, "unknownOfNewest", p.Unknown, "chunkMs", p.ChunkTime.Milliseconds(),
		"leftMs", p.OlderLeft.Milliseconds(), "runningLeftMs", p.RunningLeft.Milliseconds(),
		"originFailing", s.originStatus.Failing())
}
