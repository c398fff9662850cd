package member_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/silverdeck/silverdeck/member"
)

func (n *node) setWeight(w int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.weight = w
}

// expectWeights expects that each of nodes knows the weights of all of its zone.
func expectWeights(f *fleet, nodes []*node) {
	byZone := map[string]map[string]int{}
	for _, n := range nodes {
		if byZone[n.entry.Zone] == nil {
			byZone[n.entry.Zone] = map[string]int{}
		}
		if n.weight != 0 {
			byZone[n.entry.Zone][n.entry.Name] = n.weight
		}
	}
	for _, n := range nodes {
		weights, known := n.table.Weights()
		f.Expect(known).To(BeTrue(), n.entry.Name)
		f.Expect(weights).To(Equal(byZone[n.entry.Zone]), n.entry.Name)
	}
}

func TestWeightsAreKnownInTheirZone(t *testing.T) {
	for _, size := range []int{6, 40} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			runFleet(t, size, func(f *fleet, nodes []*node) {
				expectWeights(f, nodes)
				for i, n := range nodes {
					n.setWeight(i%5 - 2)
				}
				time.Sleep(1500 * time.Millisecond)
				expectWeights(f, nodes)
				nodes[size-1].setWeight(3)
				time.Sleep(3 * member.Interval)
				expectWeights(f, nodes)
			})
		})
	}
}

// Endpoints are assigned anew with each change, and so by weights of gateways that went as well.
func TestWeightsAreKnownAfterTheRelaysAreLost(t *testing.T) {
	runFleet(t, 40, func(f *fleet, nodes []*node) {
		for i, n := range nodes {
			n.setWeight(i%5 - 2)
		}
		time.Sleep(1500 * time.Millisecond)
		for i := range 2 * zones {
			f.kill(i)
		}
		time.Sleep(4 * time.Second)
		expectWeights(f, nodes[2*zones:])
	})
}

func TestMeanDemandIsOfTheZone(t *testing.T) {
	for _, size := range []int{6, 39} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			runFleet(t, size, func(f *fleet, nodes []*node) {
				for i, n := range nodes {
					d, _ := member.NewDemand("s", member.SlotsByRank{}, float64(1+i%zones))
					n.mu.Lock()
					n.demand = []member.Demand{d, d}
					n.mu.Unlock()
				}
				nodes[0].mu.Lock()
				nodes[0].demand = nil
				nodes[0].mu.Unlock()
				time.Sleep(1500 * time.Millisecond)
				inZone := float64((size + zones - 1) / zones) // gateways of the first zone
				for i, n := range nodes {
					wantOwn := float64(2 * (1 + i%zones))
					want := wantOwn
					if i%zones == 0 {
						want *= (inZone - 1) / inZone
					}
					if i == 0 {
						wantOwn = 0
					}
					own, mean, known := n.table.MeanDemand()
					f.Expect(known).To(BeTrue())
					f.Expect(own).To(Equal(wantOwn), n.entry.Name)
					f.Expect(mean).To(BeNumerically("~", want, 1e-9), n.entry.Name)
				}
			})
		})
	}
}
