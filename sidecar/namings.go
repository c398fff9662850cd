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
	// namingAnswers is how often gateways are to tell when the newest versions were named.
	namingAnswers = 3
	// namingLimit bounds one question: the way there and back over a narrow link took up to
	// 1.3 s one way. The next inventory is asked for only after it.
	namingLimit = 1500 * time.Millisecond
)

// namings learns from gateways when versions were named. It is not safe for concurrent
// use.
type namings struct {
	pool *peerconn.Pool
	log  *log.Logger
	// named is called with each naming.
	named func(versions.Naming)
	// newest are the versions that are asked about, and answers is how many told of all.
	newest  []inventory.Version
	answers int
}

// learn asks the gateway at addr, which has just told the newest versions, when they were
// named, until enough have answered. The first may itself have heard late, or have just
// started; it knows better once it has asked others.
func (n *namings) learn(ctx context.Context, addr string, newest []inventory.Version) {
	if !slices.Equal(n.newest, newest) {
		n.newest, n.answers = newest, 0
	}
	if n.answers >= namingAnswers {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, namingLimit)
	defer cancel()
	told, err := inventory.AskNamings(ctx, n.pool, addr)
	if err != nil {
		n.log.Debug("no namings", "peer", addr, "err", err)
		return
	}
	for _, t := range told {
		n.named(t)
	}
	if inventory.Cover(told, newest) {
		n.answers++
	}
}
