package stage

import (
	"context"
	"time"

	"github.com/silverdeck/silverdeck/swarm"
)

// firstCopiesLimit bounds the bringing in of first copies of a version that is not the
// newest: a copy takes 1.3 to 1.7 s on the sites' origins.
const firstCopiesLimit = 2 * time.Second

// firstCopiesOfUse returns whether the rest of the first copies of want is to be brought in
// although a newer version is named; see the rule of that name.
func (s *Stager) firstCopiesOfUse(ctx context.Context, model string, want target) bool {
	set := s.holdings.version(model, want.version)
	if set == nil || set.Complete() || s.target(model).version == want.version {
		return false
	}
	rate := s.cfg.Origin.Rate(ctx)
	if rate <= 0 {
		return false
	}
	oneCopy := time.Duration(float64(set.Manifest().Size) / rate * float64(time.Second))
	return FirstCopiesOfUse(time.Since(want.seenAt), oneCopy, !s.outdated(model, want.version))
}

// bringFirstCopies reads the chunks of a version that this VM is the first of all to read,
// beside the fetch of the newer one.
func (s *Stager) bringFirstCopies(ctx context.Context, model string, version int64) {
	ctx, cancel := context.WithTimeout(ctx, firstCopiesLimit)
	defer cancel()
	set := s.holdings.version(model, version)
	if set == nil {
		return
	}
	before := set.Len()
	members := s.members(ctx)
	d := swarm.NewDownload(s.cfg.Self, members, set, s.cfg.Peers, s.reader(model, version, set),
		swarm.WithOriginBudget(s.cfg.Origin.Rate(ctx), float64(len(members)+1)),
		swarm.WithLink(s.linkMeter(set.Manifest().ChunkSize)),
		swarm.WithFirstCopies())
	s.holdings.SetDownload(set.Root(), d)
	err := d.Run(ctx)
	s.cfg.Log.Info("first copies brought in", "model", model, "version", version, "chunks", set.Len()-before, "err", err)
}
