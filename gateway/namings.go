package gateway

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/silverdeck/silverdeck/inventory"
	"github.com/silverdeck/silverdeck/member"
	"github.com/silverdeck/silverdeck/versions"
	"github.com/silverdeck/silverdeck/wait"
)

// Asking other gateways when versions were named. All chosen by judgement.
const (
	// namingPeers is how many are asked: one may have heard late itself.
	namingPeers = 2
	// namingTries is how often they are asked; a gateway that starts hears of others
	// within a heartbeat.
	namingTries = 5
	// namingPause is the time before each try.
	namingPause = 200 * time.Millisecond
	// namingLimit bounds one question.
	namingLimit = time.Second
)

// followNamings asks other gateways when versions were named, each time this one heard
// of some, until ctx ends. This one may have been cut off, or have just started: a limit
// that counted from when it heard would end later than the platform's.
func (g *Gateway) followNamings(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.namingsWanted:
		}
		for asked, try := 0, 0; asked < namingPeers && try < namingTries; try++ {
			if !wait.For(ctx, namingPause) {
				return
			}
			if g.askNamings(ctx) {
				asked++
			}
		}
	}
}

// wantNamings makes followNamings ask.
func (g *Gateway) wantNamings() {
	select {
	case g.namingsWanted <- struct{}{}:
	default: // it is going to already
	}
}

// askNamings asks a live gateway, and returns whether it answered.
func (g *Gateway) askNamings(ctx context.Context) bool {
	live := g.table.Live()
	if len(live) == 0 {
		return false
	}
	peer := live[rand.IntN(len(live))]
	ctx, cancel := context.WithTimeout(ctx, namingLimit)
	defer cancel()
	namings, err := inventory.AskNamings(ctx, g.peers, peer.Peer)
	if err != nil {
		g.log.Debug("no namings from another entry", "peer", peer.Peer, "err", err)
		return false
	}
	g.takeNamings(peer, namings)
	return true
}

// takeNamings takes in what another gateway knows of when versions were named.
func (g *Gateway) takeNamings(peer member.Entry, namings []versions.Naming) {
	for _, n := range namings {
		before, _ := g.versions.End(n.Model, n.Version-1)
		g.versions.Add(n.Model, n.Version, n.At)
		if after, _ := g.versions.End(n.Model, n.Version-1); after.Before(before) {
			g.log.Info("version named earlier", "model", n.Model, "version", n.Version,
				"peer", peer.Peer, "byMs", before.Sub(after).Milliseconds())
		}
	}
}

// requireHeld requires the versions that this gateway found at its start, and that
// nobody could tell it of, once most endpoints hold them: their limit can't be far.
// Counted anew from the start, it would let endpoints that lag begin requests for the
// whole limit once more after a kill of all processes. For the contact time the platform
// does not hold a process that has started to its limits.
func (g *Gateway) requireHeld(now time.Time) {
	list := g.endpoints.Current()
	if list == nil {
		return
	}
	for _, n := range g.versions.Newest() {
		if n.Found && now.Sub(n.At) >= g.cfg.ContactTime && list.HeldByMost(n.Model, n.Version) {
			g.versions.Add(n.Model, n.Version, now.Add(-g.cfg.VersionLimit))
			g.log.Info("found version required", "model", n.Model, "version", n.Version)
		}
	}
}
