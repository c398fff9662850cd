package gateway

import (
	"maps"
	"time"

	"github.com/silverdeck/silverdeck/gateway/affinity"
)

// weightInterval is the shortest time between two changes of a gateway's weight, and between its start
// and the first one: its demand is known by then, and others don't assign endpoints anew more often.
const weightInterval = 5 * time.Second

// weights holds the weights of the gateways of this gateway's zone; see affinity.Weight. Only the
// Heartbeater's goroutine uses it.
type weights struct {
	own int
	// nextAt is when own may change next.
	nextAt time.Time
	// byName holds the weights that differ from 0, changes counts its changes.
	byName  map[string]int
	changes uint64
}

// updateWeights determines this gateway's weight and applies those that others told. While no relay
// tells them, the last ones stay.
func (g *Gateway) updateWeights(now time.Time) {
	w := &g.weights
	g.updateOwnWeight(now)
	known, ok := g.table.Weights()
	if !ok || maps.Equal(known, w.byName) {
		return
	}
	w.byName = known
	w.changes++
}

func (g *Gateway) updateOwnWeight(now time.Time) {
	w := &g.weights
	if w.nextAt.IsZero() {
		w.nextAt = now.Add(weightInterval)
	}
	own, mean, known := g.table.MeanDemand()
	if !known || now.Before(w.nextAt) {
		return
	}
	next := affinity.Weight(own, mean, w.own)
	if next == w.own {
		return
	}
	g.log.Info("weight changed", "weight", next, "before", w.own, "own", own, "mean", mean)
	w.own, w.nextAt = next, now.Add(weightInterval)
}
