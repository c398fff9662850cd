package gateway

import (
	"github.com/silverdeck/silverdeck/mirror"
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
