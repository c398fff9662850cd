package policy_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/silverdeck/silverdeck/gateway/policy"
)

var _ = DescribeTable("until when a body is read during a shutdown that ends after 3 s",
	func(start, deadline, want time.Duration) {
		began := time.Unix(1000, 0)
		got := policy.BodyDeadline(began.Add(start), began.Add(deadline), began, began.Add(3*time.Second))
		Expect(got.Sub(began)).To(Equal(want))
	},
	Entry("of a request that ends in time", time.Second, 3*time.Second, 3*time.Second),
	Entry("of one that began before", -time.Second, 2*time.Second, 3*time.Second),
	Entry("of one that may last longer", time.Second, 3*time.Second+1, 1050*time.Millisecond),
	Entry("of one that may last longer and began before", -time.Second, 4*time.Second, 50*time.Millisecond),
)
