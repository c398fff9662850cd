package directory_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/silverdeck/silverdeck/gateway/directory"
	"github.com/silverdeck/silverdeck/member"
)

func entry(name, zone, region string) member.Entry {
	return member.Entry{Name: name, Callers: name, Zone: zone, Region: region}
}

var _ = Describe("Addresses", func() {
	a1, a2 := entry("a1", "a", "east"), entry("a2", "a", "east")
	b1, c1, c2 := entry("b1", "b", "east"), entry("c1", "c", "west"), entry("c2", "c", "west")

	DescribeTable("names near entries first",
		func(live []member.Entry, zone, region string, turn int, want ...string) {
			Expect(directory.Addresses(live, zone, region, turn)).To(Equal(want))
		},
		Entry("two of the zone", []member.Entry{a1, a2, b1, c1}, "a", "east", 0, "a1", "a2"),
		Entry("one of the zone and one of the region", []member.Entry{a1, b1, c1}, "a", "east", 1, "a1", "b1"),
		Entry("one of the zone and one of all, by turns", []member.Entry{b1, c1, c2}, "b", "east", 0, "b1", "c1"),
		Entry("the other by turns", []member.Entry{b1, c1, c2}, "b", "east", 1, "b1", "c2"),
		Entry("none of the zone", []member.Entry{b1, c1, c2}, "d", "east", 0, "b1", "c1"),
		Entry("an unknown place", []member.Entry{c1}, "", "", 5, "c1"),
	)

	It("names nobody when nobody is alive", func() {
		Expect(directory.Addresses(nil, "a", "east", 0)).To(BeEmpty())
	})

	It("names no more than callers take", func() {
		var many []member.Entry
		for range 100 {
			many = append(many, a1)
		}
		Expect(directory.Addresses(many, "a", "east", 0)).To(HaveLen(64))
	})
})
