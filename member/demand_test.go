package member_test

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/silverdeck/silverdeck/member"
)

// setDemand makes a gateway tell a demand for service s, by rank.
func (n *node) setDemand(slots member.SlotsByRank) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.demand = nil
	if d, ok := member.NewDemand("s", slots, 0.5); ok {
		n.demand = []member.Demand{d}
	}
}

func TestDemandIsKnownByAllOnce(t *testing.T) {
	for _, size := range []int{6, 40} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			runFleet(t, size, func(f *fleet, nodes []*node) {
				for i, n := range nodes {
					n.setDemand(member.SlotsByRank{0.25, 0, float64(i % zones)})
				}
				time.Sleep(1500 * time.Millisecond)
				inZone, all := map[string]float64{}, 0.0
				for i, n := range nodes {
					inZone[n.entry.Zone] += 0.25 + float64(i%zones)
					all += float64(i % zones)
				}
				for i, n := range nodes {
					d := n.table.Demand("s", time.Now())
					f.Expect(d.Slots[0]).To(BeNumerically("~", 0.25*float64(size-1), 1e-6), "own demand is excluded")
					f.Expect(d.Slots[2]).To(BeNumerically("~", all-float64(i%zones), 1e-6))
					f.Expect(d.Mean).To(BeNumerically("~", 0.5*float64(size-1), 1e-6))
					f.Expect([]int{d.Covers, d.Gateways, d.Known}).To(Equal([]int{size - 1, size - 1, size - 1}))
					f.Expect(d.Age).To(BeNumerically("<", time.Second))
					f.Expect(n.table.ZoneDemand("s")).To(HaveLen(len(inZone)))
					for zone, want := range inZone {
						f.Expect(n.table.ZoneDemand("s")[zone]).To(BeNumerically("~", want, 1e-6), zone)
					}
					f.Expect(n.table.ZoneDemand("other")).To(BeNil())
				}
			})
		})
	}
}

func TestDemandOfWhoIsLostIsForgotten(t *testing.T) {
	runFleet(t, 40, func(f *fleet, nodes []*node) {
		for _, n := range nodes {
			n.setDemand(member.SlotsByRank{1})
		}
		time.Sleep(1500 * time.Millisecond)
		for i := range 10 {
			f.kill(i)
		}
		time.Sleep(4 * time.Second)
		for _, n := range nodes[10:] {
			d := n.table.Demand("s", time.Now())
			f.Expect(d.Slots.Total()).To(BeNumerically("~", 29, 1e-6), n.entry.Name)
			f.Expect(d.Gateways).To(Equal(29))
			f.Expect(d.Known).To(Equal(39))
		}
	})
}

func TestDemandTakesFewBytes(t *testing.T) {
	g := NewWithT(t)
	_, ok := member.NewDemand("service-name", member.SlotsByRank{0.004}, 0.004)
	g.Expect(ok).To(BeFalse(), "none is sent")
	d, ok := member.NewDemand("service-name", member.SlotsByRank{1.234, 0, 12.5}, 14)
	g.Expect(ok).To(BeTrue())
	data, err := json.Marshal(d)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(data)).To(Equal(`{"service":"service-name","ranks":[123,0,1250],"mean":1400}`))
}
