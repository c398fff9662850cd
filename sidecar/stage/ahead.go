package stage

import (
	"context"
	"time"

	"github.com/silverdeck/silverdeck/wait"
	"github.com/silverdeck/silverdeck/weights"
)

// newerPollInterval is the interval at which a drained endpoint checks whether a newer version is
// complete.
const newerPollInterval = 20 * time.Millisecond

// AwaitsNewer returns whether an endpoint that has drained, and has waited since, waits for a newer
// version that is expected in newerIn, instead of loading an older one. It waits as long as that load
// would take, after which the endpoint would drain once more.
func AwaitsNewer(newerIn, waited time.Duration) bool {
	return newerIn > 0 && waited+newerIn <= loadLead
}

// awaitNewer waits for a version newer than t if that is worthwhile, but not beyond until. With a
// lease, an endpoint may have begun to drain before the newer version is complete.
func (s *Stager) awaitNewer(ctx context.Context, model string, t target, until time.Time) {
	began := time.Now()
	for {
		newest, _ := s.loadable(model)
		if newest.version > t.version || !AwaitsNewer(s.newerIn(model, t), time.Since(began)) ||
			!time.Now().Before(until) || !wait.For(ctx, newerPollInterval) {
			return
		}
	}
}

// restage stages the newest complete version if it is newer than t, whose chunks are set, and returns
// the version to load.
func (s *Stager) restage(ctx context.Context, model string, t target, set *weights.Set) (target, *weights.Set, error) {
	newest, chunks := s.loadable(model)
	if chunks == nil || newest.version <= t.version {
		return t, set, nil
	}
	s.setLoading(model, newest.version)
	return newest, chunks, s.placeAll(ctx, model, chunks)
}
