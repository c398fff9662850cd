package sidecar

import (
	"context"
	"slices"
	"time"

	"github.com/charmbracelet/log"

	"github.com/silverdeck/silverdeck/inventory"
	"github.com/silverdeck/silverdeck/peerconn"
	"github.com/silverdeck/silverdeck/versions"
)

const (
	// minNamingAnswers is the number of replies from gateways that must contain the namings of
	// all newest versions.
	minNamingAnswers = 3
	// namingTimeout limits one request. Over a narrow link, messages took up to 1.3 s one way.
	// The next inventory query starts only after the request.
	namingTimeout = 1500 * time.Millisecond
)

// namingTracker fetches from gateways the times at which versions were named. It is not safe for
// concurrent use.
type namingTracker struct {
	pool *peerconn.Pool
	log  *log.Logger
	// onNaming is called with each naming received.
	onNaming func(versions.Naming)
	// newest holds the versions whose namings are requested, answers the number of replies that
	// contained all of them.
	newest  []inventory.Version
	answers int
}

// update requests the namings of the newest versions from the gateway at addr, which has just
// reported these versions, unless enough replies were received. One reply is not enough: the
// gateway may itself have learned of a version late or may have just started, and its times are
// accurate only once it has queried other gateways.
func (n *namingTracker) update(ctx context.Context, addr string, newest []inventory.Version) {
	if !slices.Equal(n.newest, newest) {
		n.newest, n.answers = newest, 0
	}
	if n.answers >= minNamingAnswers {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, namingTimeout)
	defer cancel()
	namings, err := inventory.FetchNamings(ctx, n.pool, addr)
	if err != nil {
		n.log.Debug("request for the naming times of versions failed", "peer", addr, "err", err)
		return
	}
	for _, t := range namings {
		n.onNaming(t)
	}
	if inventory.ContainsAll(namings, newest) {
		n.answers++
	}
}
