package fleet_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/silverdeck/silverdeck/standalone/fleet"
	"github.com/silverdeck/silverdeck/standalone/peer"
)

var began = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

func report(vm string, incarnation, seq uint64) *peer.Report {
	return &peer.Report{VM: vm, Incarnation: incarnation, Seq: seq, State: peer.StateServing}
}

var _ = Describe("Table", func() {
	It("suspects who falls silent, and believes the next report", func() {
		t := fleet.NewTable()
		for i := range 5 {
			t.Heard(report(fmt.Sprint(i), 1, 1), began)
		}
		later := began.Add(2 * fleet.SuspectAfter)
		for i := 1; i < 5; i++ {
			t.Heard(report(fmt.Sprint(i), 1, 1), later)
		}
		n, panicked := t.Sweep(later)
		Expect(n).To(Equal(1))
		Expect(panicked).To(BeFalse())
		e, _ := t.Get("0")
		Expect(e.Suspect).To(BeTrue())
		t.Heard(report("0", 1, 1), later)
		e, _ = t.Get("0")
		Expect(e.Suspect).To(BeFalse())
	})

	It("distrusts itself when most fall silent at once", func() {
		t := fleet.NewTable()
		for i := range 6 {
			t.Heard(report(fmt.Sprint(i), 1, 1), began)
		}
		n, panicked := t.Sweep(began.Add(time.Minute))
		Expect(n).To(BeZero())
		Expect(panicked).To(BeTrue())
	})

	It("tells an agent of a higher life that it does not know of", func() {
		t := fleet.NewTable()
		t.Heard(report("a", 9, 3), began)
		Expect(t.Heard(report("a", 4, 1), began)).To(Equal(uint64(9)))
		e, _ := t.Get("a")
		Expect(e.Seq).To(Equal(uint64(3)))
	})

	It("takes only later states from other entries, in any order", func() {
		t := fleet.NewTable()
		a := peer.EndpointRecord{VM: "a", Incarnation: 1, Seq: 2}
		suspect := a
		suspect.Suspect = true
		newer := peer.EndpointRecord{VM: "a", Incarnation: 1, Seq: 3}
		Expect(t.Merge(a)).To(BeTrue())
		Expect(t.Merge(suspect)).To(BeTrue())
		Expect(t.Merge(a)).To(BeFalse())
		Expect(t.Merge(newer)).To(BeTrue())
		Expect(t.Merge(suspect)).To(BeFalse())
	})

	It("has one hash for one state", func() {
		a, b := fleet.NewTable(), fleet.NewTable()
		for i := range 20 {
			a.Heard(report(fmt.Sprint(i), 1, 1), began)
			b.Heard(report(fmt.Sprint(19-i), 1, 1), began)
		}
		x := a.Hash()
		y := b.Hash()
		Expect(x).To(Equal(y))
		b.Heard(report("3", 1, 2), began)
		y = b.Hash()
		Expect(x).NotTo(Equal(y))
	})
})

var _ = Describe("Homes", func() {
	It("moves few agents when an entry goes", func() {
		var entries []string
		for i := range 40 {
			entries = append(entries, fmt.Sprintf("10.0.0.%d:1", i))
		}
		moved := 0
		for i := range 200 {
			vm := fmt.Sprint(i)
			before := fleet.Homes(vm, entries)
			Expect(before).To(HaveLen(fleet.HomeCount))
			after := fleet.Homes(vm, entries[1:])
			for _, h := range after {
				if !contains(before, h) {
					moved++
				}
			}
		}
		Expect(moved).To(BeNumerically("<", 2*200*fleet.HomeCount/40))
	})
})

func contains(list []string, s string) bool {
	for _, x := range list {
		if x == s {
			return true
		}
	}
	return false
}
