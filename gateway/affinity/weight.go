package affinity

import "math"

const (
	// weightStep is the factor from one weight to the next.
	weightStep = 1.5
	// maxWeight is the highest weight, and the lowest with the opposite sign.
	maxWeight = 3
	// minMeanDemand is the mean demand of a zone's gateways, in slots, below which all weigh the
	// same. Their requests seldom run at the same time then.
	minMeanDemand = 1.0
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

// rateOf returns the rate of requests, relative to the mean, that a weight stands for.
func rateOf(weight int) float64 {
	return math.Pow(weightStep, float64(max(min(weight, maxWeight), -maxWeight)))
}
