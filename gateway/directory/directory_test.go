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

	DescribeTable("returns gateways of the zone first",
		func(live []member.Entry, zone, region string, turn int, want ...string) {
			Expect(directory.Addresses(live, zone, region, turn)).To(Equal(want))
		},
		Entry("two gateways in the zone", []member.Entry{a1, a2, b1, c1}, "a", "east", 0, "a1", "a2"),
		Entry("one gateway in the zone, others in the region", []member.Entry{a1, b1, c1}, "a", "east", 1, "a1", "b1"),
		Entry("one gateway in the zone, rotation 0", []member.Entry{b1, c1, c2}, "b", "east", 0, "b1", "c1"),
		Entry("one gateway in the zone, rotation 1", []member.Entry{b1, c1, c2}, "b", "east", 1, "b1", "c2"),
		Entry("no gateway in the zone", []member.Entry{b1, c1, c2}, "d", "east", 0, "b1", "c1"),
		Entry("unknown zone and region", []member.Entry{c1}, "", "", 5, "c1"),
	)

	It("returns nothing if no gateway is alive", func() {
		Expect(directory.Addresses(nil, "a", "east", 0)).To(BeEmpty())
	})

	It("limits the number of addresses", func() {
		var many []member.Entry
		for range 100 {
			many = append(many, a1)
		}
		Expect(directory.Addresses(many, "a", "east", 0)).To(HaveLen(64))
	})
})
