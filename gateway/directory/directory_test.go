package directory_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/silverdeck/silverdeck/gateway/directory"
	"github.com/silverdeck/silverdeck/gateway/residency"
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
			Expect(directory.Addresses(live, directory.Client{Zone: zone, Region: region}, turn)).To(Equal(want))
		},
		Entry("two gateways in the zone", []member.Entry{a1, a2, b1, c1}, "a", "east", 0, "a1", "a2"),
		Entry("one gateway in the zone, others in the region", []member.Entry{a1, b1, c1}, "a", "east", 1, "a1", "b1"),
		Entry("one gateway in the zone, rotation 0", []member.Entry{b1, c1, c2}, "b", "east", 0, "b1", "c1"),
		Entry("one gateway in the zone, rotation 1", []member.Entry{b1, c1, c2}, "b", "east", 1, "b1", "c2"),
		Entry("no gateway in the zone", []member.Entry{b1, c1, c2}, "d", "east", 0, "b1", "c1"),
		Entry("unknown zone and region", []member.Entry{c1}, "", "", 5, "c1"),
	)

	DescribeTable("returns gateways of other regions only where requests may go there",
		func(live []member.Entry, regions []string, want ...string) {
			c := directory.Client{Zone: "a", Region: "east", Permitted: residency.Intersect(regions)}
			Expect(directory.Addresses(live, c, 0)).To(Equal(want))
		},
		Entry("the client's own region", []member.Entry{a1, b1, c1}, []string{"north"}, "a1", "b1"),
		Entry("a region that is allowed", []member.Entry{a1, c1}, []string{"west"}, "a1", "c1"),
		Entry("a region that is not", []member.Entry{a1, c1}, []string{"north"}, "a1"),
		Entry("any region without a restriction", []member.Entry{a1, c1}, nil, "a1", "c1"),
	)

	DescribeTable("returns gateways of regions that some of the routes allow where no other is alive",
		func(live []member.Entry, routes [][]string, want ...string) {
			c := directory.Client{Zone: "a", Region: "east", Permitted: residency.Intersect(routes...), Possible: residency.Union(routes...)}
			Expect(directory.Addresses(live, c, 0)).To(HaveExactElements(want))
		},
		Entry("the zone is lost", []member.Entry{c1, c2}, [][]string{{"east"}, {"west"}}, "c1", "c2"),
		Entry("another route allows all regions", []member.Entry{c1}, [][]string{{"east"}, nil}, "c1"),
		Entry("the region has another zone", []member.Entry{b1, c1}, [][]string{{"east"}, {"west"}}, "b1"),
		Entry("the zone has one gateway", []member.Entry{a1, c1}, [][]string{{"east"}, {"west"}}, "a1"),
	)

	It("returns nothing rather than gateways that must not get the requests", func() {
		north := []string{"north"}
		c := directory.Client{Zone: "a", Region: "east", Permitted: residency.Intersect(north), Possible: residency.Union(north)}
		Expect(directory.Addresses([]member.Entry{c1, c2}, c, 0)).To(BeEmpty())
	})

	It("returns nothing if no gateway is alive", func() {
		Expect(directory.Addresses(nil, directory.Client{Zone: "a", Region: "east"}, 0)).To(BeEmpty())
	})

	It("limits the number of addresses", func() {
		var many []member.Entry
		for range 100 {
			many = append(many, a1)
		}
		Expect(directory.Addresses(many, directory.Client{Zone: "a", Region: "east"}, 0)).To(HaveLen(64))
	})
})
