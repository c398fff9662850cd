package routes_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/silverdeck/silverdeck/routes"
)

var _ = Describe("Route", func() {
	DescribeTable("selects a target by weight",
		func(draw float64, want string) {
			r := routes.Route{Targets: []routes.Target{{Service: "p", Weight: 90}, {Service: "q", Weight: 10}}}
			Expect(r.Target(draw)).To(Equal(want))
		},
		Entry("low", 0.0, "p"),
		Entry("just below", 0.899, "p"),
		Entry("just above", 0.901, "q"),
		Entry("high", 0.999, "q"),
	)

	It("returns no target if none is configured, and the last one if all weights are zero", func() {
		Expect((&routes.Route{}).Target(0.5)).To(BeEmpty())
		r := routes.Route{Targets: []routes.Target{{Service: "p"}, {Service: "q"}}}
		Expect(r.Target(0.5)).To(Equal("q"))
	})

	DescribeTable("reports whether requests may be repeated",
		func(r routes.Route, want bool) {
			Expect(r.Repeatable()).To(Equal(want))
		},
		Entry("safe", routes.Route{Kind: routes.Safe}, true),
		Entry("unsafe", routes.Route{Kind: routes.Unsafe}, false),
		Entry("a stream", routes.Route{Kind: routes.Stream}, false),
		Entry("a stream that may be resumed", routes.Route{Kind: routes.Stream, Resume: true}, true),
	)
})

// Guards against weight loads that do not wait for running requests when the configuration
// has no engine parameters.
var _ = Describe("AnswerTime", func() {
	streams := func(timeouts ...time.Duration) *routes.Config {
		var list []*routes.Route
		for _, d := range timeouts {
			list = append(list, &routes.Route{Kind: routes.Stream, Timeout: d, Targets: []routes.Target{{Service: "s", Weight: 1}}})
		}
		return routes.New(list, nil)
	}

	It("is derived from the engine parameters", func() {
		c := streams(6 * time.Second)
		c.Services["s"] = &routes.Service{Engine: &routes.Engine{StepTime: 10 * time.Millisecond, Stride: 5, MeanAnswerTokens: 100}}
		Expect(c.AnswerTime("s")).To(Equal(time.Second))
	})

	It("falls back to the longest timeout of the service's streams", func() {
		c := streams(2*time.Second, 6*time.Second, time.Second)
		c.Services["s"] = &routes.Service{Engine: &routes.Engine{Slots: 16}}
		Expect(c.AnswerTime("s")).To(Equal(6 * time.Second))
	})

	It("is 0 for a service without engines", func() {
		c := streams(6 * time.Second)
		c.Services["s"] = &routes.Service{}
		Expect(c.AnswerTime("s")).To(BeZero())
		Expect(c.AnswerTime("t")).To(BeZero())
	})
})
