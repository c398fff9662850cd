package stage

import (
	"context"
	"time"

	"github.com/silverdeck/silverdeck/swarm"
)

// firstCopiesTimeout limits the fetching of first copies of a superseded version. Reading a
// whole copy takes 1.3 to 1.7 s from the origins in use.
const firstCopiesTimeout = 2 * time.Second

// worthFetchingFirstCopies applies the rule WorthFetchingFirstCopies to want. It returns
// false if no newer version has been named.
func (s *Stager) worthFetchingFirstCopies(ctx context.Context, model string, want target) bool {
	set := s.holdings.lookup(model, want.version)
	if set == nil || set.Complete() || s.target(model).version == want.version {
		return false
	}
	rate := s.cfg.Origin.Rate(ctx)
	if rate <= 0 {
		return false
	}
	oneCopy := time.Duration(float64(set.Manifest().Size) / rate * float64(time.Second))
	return WorthFetchingFirstCopies(time.Since(want.firstSeen), oneCopy, !s.expiresTooSoon(model, want.version))
}

// fetchFirstCopies reads the chunks for which this VM is the first reader from the origin.
// It runs concurrently with the download of the newer version.
func (s *Stager) fetchFirstCopies(ctx context.Context, model string, version int64) {
	ctx, cancel := context.WithTimeout(ctx, firstCopiesTimeout)
	defer cancel()
	set := s.holdings.lookup(model, version)
	if set == nil {
		return
	}
	before := set.Len()
	members := s.members(ctx)
	d := swarm.NewDownload(s.cfg.Self, members, set, s.cfg.Peers, s.originReader(model, version, set),
		swarm.WithOriginBudget(s.cfg.Origin.Rate(ctx), float64(len(members)+1)),
		swarm.WithLink(s.linkMeter(set.Manifest().ChunkSize)),
		swarm.WithFirstCopies())
	s.holdings.SetDownload(set.Root(), d)
	err := d.Run(ctx)
	s.cfg.Log.Info("first copies of superseded version fetched", "model", model, "version", version, "chunks", set.Len()-before, "err", err)
}
