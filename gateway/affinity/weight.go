package affinity

import (
	"math"
	"time"
)

const (
	// weightStep is the factor from one weight to the next.
	weightStep = 1.5
	// maxWeight is the highest weight, and the lowest with the opposite sign.
	maxWeight = 3
	// minMeanDemand is the mean demand of a zone's gateways, in slots, below which all weigh the
	// same. Their requests seldom run at the same time then.
	minMeanDemand = 1.0
	// weightInterval is the shortest time between two changes of a gateway's weight, and between its
	// start and the first one. Each change has all gateways of the zone assign endpoints anew.
	weightInterval = 5 * time.Second
	// weightSettleTime is how long a weight is off before it changes. The demand of a zone is
	// incomplete for a moment when its relays change.
	weightSettleTime = time.Second
)

// Weight returns the weight of a gateway, in steps, that receives the demand own, in slots, where the
// mean of its zone's gateways is mean. 0 stands for the mean. The previous weight stays while it is
// off by less than a step, so that demand that varies by chance changes no assignment. This answers
// callers that choose gateways unevenly.
func Weight(own, mean float64, previous int) int {
	if mean < minMeanDemand {
		return 0
	}
	exact := max(math.Log(own/mean)/math.Log(weightStep), -maxWeight)
	if math.Abs(exact-float64(previous)) < 1 {
		return previous
	}
	return int(math.Round(min(exact, maxWeight)))
}

// OwnWeight is a gateway's own weight, which it tells the others. The zero value is that of a gateway
// that starts.
type OwnWeight struct {
	weight int
	// nextAt is when the weight may change next, offSince since when another one follows from the
	// demand; zero if none does.
	nextAt, offSince time.Time
}

// Weight returns the weight.
func (w *OwnWeight) Weight() int {
	return w.weight
}

// Update applies the present demand, as for Weight, and returns whether the weight has changed.
func (w *OwnWeight) Update(own, mean float64, now time.Time) bool {
	if w.nextAt.IsZero() {
		w.nextAt = now.Add(weightInterval)
	}
	next := Weight(own, mean, w.weight)
	switch {
	case next == w.weight:
		w.offSince = time.Time{}
		return false
	case w.offSince.IsZero():
		w.offSince = now
	}
	if now.Before(w.nextAt) || now.Sub(w.offSince) < weightSettleTime {
		return false
	}
	*w = OwnWeight{weight: next, nextAt: now.Add(weightInterval)}
	return true
}

// rateOf returns the rate of requests, relative to the mean, that a weight stands for.
func rateOf(weight int) float64 {
	return math.Pow(weightStep, float64(max(min(weight, maxWeight), -maxWeight)))
}
