package gateway

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/silverdeck/silverdeck/inventory"
	"github.com/silverdeck/silverdeck/member"
	"github.com/silverdeck/silverdeck/versions"
	"github.com/silverdeck/silverdeck/wait"
)

// Asking other gateways when versions were named.
const (
	// namingPeers is how many are to answer: one may have heard late itself.
	namingPeers = 2
	// namingTries is how often others are asked in quick succession; a gateway that starts
	// hears of them within a heartbeat.
	namingTries = 10
	// namingPause is the time before each of these.
	namingPause = 200 * time.Millisecond
	// namingPauseLater is that before each further one.
	namingPauseLater = time.Second
	// namingLimit bounds one question.
	namingLimit = time.Second
	// namingNews is how much earlier than known a naming must be to be worth a line; the
	// way there and back makes up less.
	namingNews = 100 * time.Millisecond
)

// foundShare is the part of the contact time after which a found version is required if
// most endpoints hold it; the rest is for requests on their way.
const foundShare = 0.5

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
		answered := map[string]bool{}
		for try := 0; namingsMissing(len(answered), try) && g.namingsMatter(); try++ {
			pause := namingPause
			if try >= namingTries {
				pause = namingPauseLater
			}
			if !wait.For(ctx, pause) {
				return
			}
			g.askNamings(ctx, answered)
		}
	}
}

// namingsMissing returns whether one more gateway is to be asked, where so many have
// answered in so many tries. One is waited for however long others are out of reach.
func namingsMissing(answers, tries int) bool {
	return answers == 0 || (answers < namingPeers && tries < namingTries)
}

// namingsMatter returns whether it still matters when the newest versions were named:
// whether one of them is not required yet.
func (g *Gateway) namingsMatter() bool {
	return slices.ContainsFunc(g.versions.Newest(), func(n versions.Naming) bool { return g.minVersion(n.Model) < n.Version })
}

// wantNamings makes followNamings ask.
func (g *Gateway) wantNamings() {
	select {
	case g.namingsWanted <- struct{}{}:
	default: // it is going to already
	}
}

// askNamings asks a live gateway that is not in answered, and adds it there if it knew
// of all versions.
func (g *Gateway) askNamings(ctx context.Context, answered map[string]bool) {
	live := slices.DeleteFunc(g.table.Live(), func(e member.Entry) bool { return answered[e.Name] })
	if len(live) == 0 {
		return
	}
	peer := live[rand.IntN(len(live))]
	ctx, cancel := context.WithTimeout(ctx, namingLimit)
	defer cancel()
	namings, err := inventory.FetchNamings(ctx, g.peers, peer.Peer)
	if err != nil {
		g.log.Debug("no namings from another entry", "peer", peer.Peer, "err", err)
		return
	}
	for _, n := range namings {
		if earlier := g.versions.MergeReported(n); earlier >= namingNews {
			g.log.Info("version named earlier", "model", n.Model, "version", n.Version,
				"peer", peer.Peer, "byMs", earlier.Milliseconds())
		}
	}
	if versions.ContainsAll(namings, g.versions.Newest()) {
		answered[peer.Name] = true
	}
}

// requireHeld requires the versions that this gateway found at its start, and that
// nobody could tell it of, once most endpoints hold them: their limit can't be far.
// Counted anew from the start, it would let endpoints that lag begin requests for the
// whole limit once more after a kill of all processes. For the contact time the platform
// does not hold a process that has started to its limits.
func (g *Gateway) requireHeld(now time.Time) {
	list := g.endpoints.Current()
	if list == nil || now.Sub(g.began) < time.Duration(foundShare*float64(g.cfg.ContactTime)) {
		return
	}
	for _, n := range g.versions.Newest() {
		if n.TimeUnknown && !n.Required && list.HeldByMost(n.Model, n.Version) {
			g.versions.Require(n.Model, n.Version)
			g.log.Info("found version required", "model", n.Model, "version", n.Version)
		}
	}
}
