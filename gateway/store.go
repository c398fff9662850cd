package gateway

import (
	"math/rand/v2"
	"time"

	"github.com/silverdeck/silverdeck/gateway/replica"
	"github.com/silverdeck/silverdeck/mirror"
	"github.com/silverdeck/silverdeck/platform"
)

// coalesceMembers is for how long changes of gateways are coalesced into one call;
// heartbeats tell them sooner.
const coalesceMembers = 2 * time.Second

// coalesceDivisor makes the time for which changes of endpoints are coalesced a quarter of
// the time after which a leaving one must get no requests.
const coalesceDivisor = 4

// newMirrors returns the copies of the platform's store, by kind.
func (g *Gateway) newMirrors() map[string]*mirror.Mirror {
	coalesceEndpoints := g.cfg.DrainLimit / coalesceDivisor
	return map[string]*mirror.Mirror{
		platform.KindConfig:    g.newMirror(platform.KindConfig, 0, g.useConfig),
		platform.KindEndpoints: g.newMirror(platform.KindEndpoints, coalesceEndpoints, func(*mirror.State) { g.endpoints.Update() }),
		platform.KindVersions:  g.newMirror(platform.KindVersions, 0, g.useVersions),
		platform.KindMembers:   g.newMirror(platform.KindMembers, coalesceMembers, g.useMembers),
	}
}

func (g *Gateway) newMirror(kind string, coalesce time.Duration, use func(*mirror.State)) *mirror.Mirror {
	return mirror.New(mirror.Config{
		Kind:        kind,
		Source:      g.store.Source(kind),
		Random:      rand.Float64,
		PollTimeout: func() time.Duration { return g.pollTimeout(kind) },
		Coalesce:    coalesce,
		Reach:       func(lost bool) { g.syncer.SetStoreLost(kind, lost) },
		HistoryGone: func() { g.recheck(kind) },
		Active:      func() bool { return g.syncer.SyncsFromStore(kind) },
		Log:         g.log,
	}, func(s *mirror.State) {
		use(s)
		g.announceCopies()
	})
}

// announceCopies makes a gateway from which others take copies tell them of its own ahead
// of its next heartbeat: one that watches the store, and a relay.
func (g *Gateway) announceCopies() {
	if g.beater != nil && (g.syncer.Status().Watching || g.table.IsRelay()) {
		g.beater.SendSoon()
	}
}

// recheck makes the watches of all kinds but one be asked anew.
func (g *Gateway) recheck(but string) {
	for kind, m := range g.mirrors {
		if kind != but {
			m.Recheck()
		}
	}
}

// pollTimeout returns for how long a watch of kind may stay unanswered.
func (g *Gateway) pollTimeout(kind string) time.Duration {
	watchers := g.table.Watchers(g.syncer.Status().Watching)
	if kind == platform.KindConfig {
		return replica.ConfigPollTimeout(watchers, g.cfg.ContactTime)
	}
	return replica.PollTimeout(watchers)
}
