package routes_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/silverdeck/silverdeck/routes"
)

var _ = Describe("Route", func() {
	DescribeTable("draws a target by weight",
		func(draw float64, want string) {
			r := routes.Route{Targets: []routes.Target{{Service: "p", Weight: 90}, {Service: "q", Weight: 10}}}
			Expect(r.Target(draw)).To(Equal(want))
		},
		Entry("low", 0.0, "p"),
		Entry("just below", 0.899, "p"),
		Entry("just above", 0.901, "q"),
		Entry("high", 0.999, "q"),
	)

	It("has no target when none is configured, or when all weights are zero", func() {
		Expect((&routes.Route{}).Target(0.5)).To(BeEmpty())
		r := routes.Route{Targets: []routes.Target{{Service: "p"}, {Service: "q"}}}
		Expect(r.Target(0.5)).To(Equal("q"))
	})

	DescribeTable("says what may be repeated",
		func(r routes.Route, want bool) {
			Expect(r.Repeatable()).To(Equal(want))
		},
		Entry("safe", routes.Route{Kind: routes.Safe}, true),
		Entry("unsafe", routes.Route{Kind: routes.Unsafe}, false),
		Entry("a stream", routes.Route{Kind: routes.Stream}, false),
		Entry("a stream that may go on elsewhere", routes.Route{Kind: routes.Stream, Resume: true}, true),
	)
})
