package gateway

import (
	"math/rand/v2"
	"time"

	"github.com/silverdeck/silverdeck/gateway/replica"
	"github.com/silverdeck/silverdeck/mirror"
	"github.com/silverdeck/silverdeck/platform"
)

// coalesceMembers is how long changes to the list of gateways are coalesced into one call;
// heartbeats propagate them sooner.
const coalesceMembers = 2 * time.Second

// coalesceDivisor sets the coalescing time for endpoint changes to a quarter of the time
// after which a leaving endpoint must receive no more requests.
const coalesceDivisor = 4

// newMirrors returns the mirrors of the platform's store, by kind.
func (g *Gateway) newMirrors() map[string]*mirror.Mirror {
	coalesceEndpoints := g.cfg.DrainLimit / coalesceDivisor
	mirrors := map[string]*mirror.Mirror{
		platform.KindConfig:    g.newMirror(platform.KindConfig, 0, g.applyConfig),
		platform.KindEndpoints: g.newMirror(platform.KindEndpoints, coalesceEndpoints, func(*mirror.State) { g.endpoints.Update() }),
		platform.KindVersions:  g.newMirror(platform.KindVersions, 0, g.applyVersions),
		platform.KindMembers:   g.newMirror(platform.KindMembers, coalesceMembers, g.applyMembers),
	}
	if g.cfg.EvacuationLimit > 0 {
		mirrors[platform.KindEvacuations] = g.newMirror(platform.KindEvacuations, 0, func(*mirror.State) { g.applyEvacuations() })
	}
	return mirrors
}

func (g *Gateway) newMirror(kind string, coalesce time.Duration, use func(*mirror.State)) *mirror.Mirror {
	return mirror.New(mirror.Config{
		Kind:           kind,
		Source:         g.source(kind),
		Random:         rand.Float64,
		PollTimeout:    func() time.Duration { return g.pollTimeout(kind) },
		Coalesce:       coalesce,
		OnReachability: func(lost bool) { g.syncer.SetStoreLost(kind, lost) },
		OnHistoryGone:  func() { g.recheckOthers(kind) },
		Active:         func() bool { return g.syncer.SyncsFromStore(kind) },
		Log:            g.log,
	}, func(s *mirror.State) {
		use(s)
		g.noteCopyEra(s.Era)
		g.announceCopies()
	})
}

// source returns the source of a mirror. At a start, every gateway reads the list of gateways, so
// that list may be stale. At the first start of all it would be empty.
func (g *Gateway) source(kind string) mirror.Source {
	if kind == platform.KindMembers && !g.cfg.FirstStart {
		return g.store.StaleFirstSource(kind)
	}
	return g.store.Source(kind)
}

// announceCopies sends a heartbeat early if other gateways copy from this one, that is, if it
// watches the store or is a relay.
func (g *Gateway) announceCopies() {
	if g.heartbeater != nil && (g.syncer.Status().Watching || g.table.IsRelay()) {
		g.heartbeater.SendSoon()
	}
}

// recheckOthers restarts the watches of all kinds except one.
func (g *Gateway) recheckOthers(but string) {
	for kind, m := range g.mirrors {
		if kind != but {
			m.Recheck()
		}
	}
}

// pollTimeout returns how long a watch of kind may remain unanswered.
func (g *Gateway) pollTimeout(kind string) time.Duration {
	watchers := g.table.Watchers(g.syncer.Status().Watching)
	if kind == platform.KindConfig {
		return replica.ConfigPollTimeout(watchers, g.cfg.ContactTime)
	}
	return replica.PollTimeout(watchers)
}
