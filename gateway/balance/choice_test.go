package balance_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/silverdeck/silverdeck/gateway/balance"
)

var _ = DescribeTable("the cost of an endpoint, in requests per slot",
	func(c balance.Candidate, want float64) {
		Expect(balance.Cost(&c)).To(BeNumerically("~", want, 1e-9))
	},
	Entry("is its load if the gateway prefers it", balance.Candidate{Load: 0.5, Preferred: true}, 0.5),
	Entry("with pending prefill", balance.Candidate{Preferred: true, Prefill: 250 * time.Millisecond}, 1.0),
	Entry("in another zone", balance.Candidate{Preferred: true, OtherZone: true}, 0.10),
	Entry("preferred by another gateway", balance.Candidate{}, 0.80),
	Entry("with jitter", balance.Candidate{Preferred: true, Random: 0.5}, 0.015),
)

var _ = DescribeTable("the load at which an endpoint is full",
	func(limit float64, preferred, prefersAny bool, want float64) {
		Expect(balance.MaxLoad(limit, 0.8, preferred, prefersAny)).To(Equal(want))
	},
	Entry("is the request's limit if the gateway prefers it", 1.25, true, true, 1.25),
	Entry("is lower if another gateway prefers it", 1.25, false, true, 0.8),
	Entry("is the request's limit if that is lower still", 0.5, false, true, 0.5),
	Entry("is the request's limit if the gateway prefers none", 1.25, false, false, 1.25),
	Entry("is unlimited if the request has no limit", 0.0, false, true, 0.0),
)

var _ = DescribeTable("a slot that was just vacated",
	func(running int, maxLoad float64, want string) {
		b := balancer(endpoints(2))
		for range running {
			pick(b, balance.Query{Service: "s", Include: []string{"e1"}}, now)
		}
		Expect(pick(b, balance.Query{Service: "s", Vacated: "e1", MaxLoad: maxLoad}, now).Record.ID).To(Equal(want))
	},
	Entry("is taken whatever else is free", 1, 1.25, "e1"),
	Entry("and if the request needs a free slot", 1, 0.4, "e1"),
	Entry("unless there is none", 2, 0.4, "e0"),
	Entry("or the endpoint is full for the request", 3, 1.25, "e0"),
)

var _ = DescribeTable("the load limit for endpoints that other gateways prefer",
	func(usable, preferred int, want float64) {
		Expect(balance.SharedLoad(usable, preferred)).To(Equal(want))
	},
	Entry("is low if the gateway can use all that it prefers", 3, 3, 0.65),
	Entry("is higher if it cannot use one of them", 2, 3, 0.8),
	Entry("or any of them", 0, 3, 0.8),
)

var _ = DescribeTable("the duration of an ejection",
	func(before int, want time.Duration) {
		Expect(balance.EjectionTime(before)).To(Equal(want))
	},
	Entry("initially", 0, 500*time.Millisecond),
	Entry("doubles", 1, time.Second),
	Entry("doubles again", 2, 2*time.Second),
	Entry("up to four seconds", 3, 4*time.Second),
	Entry("and no further", 40, 4*time.Second),
)
