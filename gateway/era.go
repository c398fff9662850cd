package gateway

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/silverdeck/silverdeck/member"
	"github.com/silverdeck/silverdeck/mirror"
	"github.com/silverdeck/silverdeck/wait"
)

// onStoreEra is called when a call shows that the store has begun another era, that is, returned from a
// copy. Copies that are kept up to date from the store are listed anew, whatever the call was for.
// The others follow the copies of other gateways.
func (g *Gateway) onStoreEra(era int64) {
	g.log.Warn("store has begun another era", "era", era)
	for kind, m := range g.mirrors {
		if g.syncer.SyncsFromStore(kind) {
			m.NoteNewer(mirror.Position{Era: era})
		}
	}
}

// rewriteSpread is the time over which gateways write again what the store may have lost, so that
// hundreds of them do not write at the same moment.
const rewriteSpread = 3 * time.Second

// noteCopyEra requests that this gateway's records are written again if a copy is of a later era than
// all before it.
func (g *Gateway) noteCopyEra(era int64) {
	for {
		latest := g.era.Load()
		if era <= latest {
			return
		}
		if !g.era.CompareAndSwap(latest, era) {
			continue
		}
		if latest != 0 {
			g.requestRewrite()
		}
		return
	}
}

// requestRewrite wakes runRewrites.
func (g *Gateway) requestRewrite() {
	select {
	case g.rewriteRequested <- struct{}{}:
	default: // a request is already pending
	}
}

// runRewrites writes this gateway's records again whenever the store has returned from a copy, until
// ctx ends.
func (g *Gateway) runRewrites(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.rewriteRequested:
		}
		if !wait.For(ctx, time.Duration(rand.Float64()*float64(rewriteSpread))) {
			return
		}
		g.contacts.Store(&member.Contacts{}) // written at the next check, by the gateway that does so
		for _, k := range g.poison.Quarantined() {
			if g.ownerOf(k).Name == g.self.Name {
				go g.storeQuarantine(k)
			}
		}
		g.register(ctx)
	}
}
