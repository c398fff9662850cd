package gateway

import (
	"maps"
	"time"

	"github.com/silverdeck/silverdeck/gateway/affinity"
)

// weights holds the weights of the gateways of this gateway's zone; see affinity.Weight. Only the
// Heartbeater's goroutine uses it.
type weights struct {
	own affinity.OwnWeight
	// byName holds the weights that differ from 0, changes counts its changes.
	byName  map[string]int
	changes uint64
}

// updateWeights determines this gateway's weight and applies those that others told. While no relay
// tells them, the last ones stay.
func (g *Gateway) updateWeights(now time.Time) {
	w := &g.weights
	before := w.own.Weight()
	if own, mean, known := g.table.MeanDemand(); known && w.own.Update(own, mean, now) {
		g.log.Info("weight changed", "weight", w.own.Weight(), "before", before, "own", own, "mean", mean)
	}
	known, ok := g.table.Weights()
	if !ok || maps.Equal(known, w.byName) {
		return
	}
	w.byName = known
	w.changes++
}
