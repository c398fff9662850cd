package policy_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/silverdeck/silverdeck/gateway/policy"
)

var _ = DescribeTable("what the head of a response shows about its endpoint",
	func(a policy.ResponseHead, backoff time.Duration, want policy.Conclusion) {
		Expect(policy.ConcludeFromHead(a, backoff)).To(Equal(want))
	},
	Entry("a success", policy.ResponseHead{Status: 200, Signed: true}, 0*ms, policy.NoConclusion),
	Entry("an error", policy.ResponseHead{Status: 500}, 0*ms, policy.NoConclusion),
	Entry("a success without a signature", policy.ResponseHead{Status: 200}, 0*ms, policy.Faulty),
	Entry("a refusal", refusal(503), 0*ms, policy.Busy),
	Entry("a refusal for the rate", refusal(429), 0*ms, policy.Busy),
	Entry("a refusal that asks for a back-off", refusal(503), 40*ms, policy.NoConclusion),
	Entry("a refusal that proves nothing", refusal(503, func(a *policy.ResponseHead) { a.Identified = false }), 0*ms, policy.Faulty),
	Entry("a status that implies that the request was not run", policy.ResponseHead{Status: 503}, 0*ms, policy.Faulty),
	Entry("a 421 that names no endpoint", refusal(421), 0*ms, policy.Unprepared),
	Entry("a 421 that names no endpoint, nor that the request was not run", refusal(421, func(a *policy.ResponseHead) { a.NotRun = false }), 0*ms, policy.Unprepared),
	Entry("a 421 that names the endpoint", refusal(421, func(a *policy.ResponseHead) { a.AnsweredBy = "e" }), 0*ms, policy.Unprepared),
	Entry("a 421 that names another endpoint", refusal(421, func(a *policy.ResponseHead) { a.AnsweredBy = "f" }), 0*ms, policy.AddressTaken),
	Entry("a 421 to another request", refusal(421, func(a *policy.ResponseHead) { a.Foreign, a.AnsweredBy = true, "f" }), 0*ms, policy.NoConclusion),
	Entry("a 421 that contradicts itself", refusal(421, func(a *policy.ResponseHead) { a.Signed, a.AnsweredBy = true, "f" }), 0*ms, policy.Faulty),
	Entry("a refusal that echoes a status line", refusal(503, func(a *policy.ResponseHead) { a.Fault = policy.FaultQuoted }), 0*ms, policy.NoConclusion),
)
