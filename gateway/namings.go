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

// Queries to other gateways for the times at which versions were named.
const (
	// maxNamingAnswers is how many gateways should answer: a single one may itself have
	// learned of the version late.
	maxNamingAnswers = 2
	// namingFastAttempts is how many queries are sent at namingFastInterval. A gateway that
	// starts learns of the others within a heartbeat.
	namingFastAttempts = 10
	// namingFastInterval is the pause before each of these queries.
	namingFastInterval = 200 * time.Millisecond
	// namingSlowInterval is the pause before each later query.
	namingSlowInterval = time.Second
	// namingTimeout bounds one query.
	namingTimeout = time.Second
	// minNamingCorrection is the smallest correction that is logged; smaller ones are within
	// the round-trip time.
	minNamingCorrection = 100 * time.Millisecond
)

// foundContactShare is the fraction of the contact time after which a found version becomes
// required if most endpoints hold it. The rest of the contact time is left for requests in
// flight.
const foundContactShare = 0.5

// runNamingQueries asks other gateways when versions were named, whenever this gateway
// learns of new ones, until ctx ends. This gateway may have been partitioned or have just
// started; if the limit counted from when it learned of a version, it would end later than
// the platform's.
func (g *Gateway) runNamingQueries(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.namingsRequested:
		}
		answered := map[string]bool{}
		for try := 0; needsNamings(len(answered), try) && g.hasPendingVersion(); try++ {
			pause := namingFastInterval
			if try >= namingFastAttempts {
				pause = namingSlowInterval
			}
			if !wait.For(ctx, pause) {
				return
			}
			g.fetchNamings(ctx, answered)
		}
	}
}

// needsNamings reports whether another gateway should be asked after the given numbers of
// answers and attempts. Attempts continue until there is at least one answer.
func needsNamings(answers, tries int) bool {
	return answers == 0 || (answers < maxNamingAnswers && tries < namingFastAttempts)
}

// hasPendingVersion reports whether a newest version is not required yet, so that the time
// at which it was named still matters.
func (g *Gateway) hasPendingVersion() bool {
	return slices.ContainsFunc(g.versions.Newest(), func(n versions.Naming) bool { return g.minVersion(n.Model) < n.Version })
}

// requestNamings wakes runNamingQueries.
func (g *Gateway) requestNamings() {
	select {
	case g.namingsRequested <- struct{}{}:
	default: // a request is already pending
	}
}

// fetchNamings asks a live gateway that is not in answered, and adds it to answered if it
// knew all of the newest versions.
func (g *Gateway) fetchNamings(ctx context.Context, answered map[string]bool) {
	live := slices.DeleteFunc(g.table.Live(), func(e member.Entry) bool { return answered[e.Name] })
	if len(live) == 0 {
		return
	}
	peer := live[rand.IntN(len(live))]
	ctx, cancel := context.WithTimeout(ctx, namingTimeout)
	defer cancel()
	namings, err := inventory.FetchNamings(ctx, g.peers, peer.Peer)
	if err != nil {
		g.log.Debug("naming query failed", "peer", peer.Peer, "err", err)
		return
	}
	for _, n := range namings {
		if earlier := g.versions.MergeReported(n); earlier >= minNamingCorrection {
			g.log.Info("version named earlier", "model", n.Model, "version", n.Version,
				"peer", peer.Peer, "byMs", earlier.Milliseconds())
		}
	}
	if versions.ContainsAll(namings, g.versions.Newest()) {
		answered[peer.Name] = true
	}
}

// requireWidelyHeld requires found versions whose naming time no other gateway knows once
// most endpoints hold them, since their limit can't be far off. After a restart of all
// processes, counting the limit from the start would let requests go to outdated endpoints
// for the whole limit once more. The platform does not enforce its limits on a process
// during the contact time after its start.
func (g *Gateway) requireWidelyHeld(now time.Time) {
	list := g.endpoints.Current()
	if list == nil || now.Sub(g.startedAt) < time.Duration(foundContactShare*float64(g.cfg.ContactTime)) {
		return
	}
	for _, n := range g.versions.Newest() {
		if n.TimeUnknown && !n.Required && list.HeldByMost(n.Model, n.Version) {
			g.versions.Require(n.Model, n.Version)
			g.log.Info("found version required", "model", n.Model, "version", n.Version)
		}
	}
}
