package affinity_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/silverdeck/silverdeck/gateway/affinity"
)

func TestWeight(t *testing.T) {
	for _, x := range []struct {
		own, mean      float64
		previous, want int
	}{
		{10, 10, 0, 0}, {14, 10, 0, 0}, {16, 10, 0, 1}, {7, 10, 0, 0}, {6, 10, 0, -1},
		{11, 10, 1, 1}, {9, 10, 1, 0}, {21, 10, 1, 1}, {30, 10, 1, 3},
		{1000, 10, 0, 3}, {1000, 10, 3, 3}, {0, 10, 0, -3}, {0, 10, -3, -3},
		{0.9, 0.3, 0, 0}, {0.9, 0.3, 2, 0}, {0, 0, -2, 0},
	} {
		NewWithT(t).Expect(affinity.Weight(x.own, x.mean, x.previous)).To(Equal(x.want), "%+v", x)
	}
}

// Each change has all gateways of the zone assign endpoints anew.
func TestAGatewaysWeightChangesSeldom(t *testing.T) {
	g := NewWithT(t)
	at := func(ms int) time.Time { return time.Unix(1000, 0).Add(time.Duration(ms) * time.Millisecond) }
	var w affinity.OwnWeight
	// changes returns when the weight changes from one time to another, in milliseconds.
	changes := func(from, to int, own func(ms int) float64) []int {
		var out []int
		for ms := from; ms < to; ms += 200 {
			if w.Update(own(ms), 10, at(ms)) {
				out = append(out, ms)
			}
		}
		return out
	}
	steady := func(own float64) func(int) float64 { return func(int) float64 { return own } }

	g.Expect(changes(0, 10_000, steady(30))).To(Equal([]int{5000}), "not at its start")
	g.Expect(w.Weight()).To(Equal(3))
	g.Expect(changes(10_000, 20_000, steady(10))).To(Equal([]int{11_000}))
	g.Expect(w.Weight()).To(BeZero())
	g.Expect(changes(20_000, 40_000, func(ms int) float64 {
		if ms%2000 < 1000 {
			return 30 // while others' demand is unknown
		}
		return 10
	})).To(BeEmpty())
	g.Expect(changes(40_000, 60_000, func(ms int) float64 {
		if ms%10_000 < 5000 {
			return 30
		}
		return 10
	})).To(HaveLen(4))
}

// weighted returns n gateways that receive 1, 2, or 3 times as many requests, by turns, and their rates
// and weights.
func weighted(n int) (rates map[string]float64, weights map[string]int) {
	rates, weights = map[string]float64{}, map[string]int{}
	for i, e := range gateways(n, "a") {
		rates[e.Name] = float64(1 + i%3)
		weights[e.Name] = affinity.Weight(10*rates[e.Name], 20, 0)
	}
	return rates, weights
}

// An endpoint that is preferred by gateways with many requests would be busier than others.
func TestEndpointsAreAssignedByWhatGatewaysReceive(t *testing.T) {
	for _, x := range []struct{ gateways, endpoints int }{{24, 12}, {12, 15}, {30, 24}, {6, 24}, {114, 211}} {
		t.Run(fmt.Sprintf("%+v", x), func(t *testing.T) {
			g := NewWithT(t)
			rates, weights := weighted(x.gateways)
			list, live := endpointsInZones(x.endpoints, "a"), gateways(x.gateways, "a")
			count, rate := map[string]int{}, map[string]float64{}
			for _, e := range slices.Clone(live) {
				mine := affinity.Preferred(list, live, weights, e.Name)
				g.Expect(len(mine)).To(BeNumerically(">=", 2))
				for id := range mine {
					count[id]++
					rate[id] += rates[e.Name] / float64(len(mine))
				}
			}
			least, most, highest := 1000, 0, 0.0
			for id := range list.Endpoints {
				least, most, highest = min(least, count[id]), max(most, count[id]), max(highest, rate[id])
			}
			g.Expect(least).To(BeNumerically(">", 0))
			g.Expect(most - least).To(BeNumerically("<=", 2))
			g.Expect(highest*float64(x.endpoints)/float64(2*x.gateways)).To(BeNumerically("<=", 1.5), "of the mean")
		})
	}
}

// What a gateway receives changes more often than the lists.
func TestOneWeightChangesFewPreferences(t *testing.T) {
	g := NewWithT(t)
	list, live := endpointsInZones(12, "a"), gateways(23, "a")
	_, weights := weighted(23)
	before := preferencesBy(list, live, weights)
	weights["a04"]++
	g.Expect(share(preferencesBy(list, live, weights), before)).To(BeNumerically(">=", 0.75))
}
