package policy_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/silverdeck/silverdeck/gateway/policy"
	"github.com/silverdeck/silverdeck/routes"
	"github.com/silverdeck/silverdeck/verdict"
)

const ms = time.Millisecond

var _ = DescribeTable("a failed attempt",
	func(f policy.Failure, want policy.Retry) {
		Expect(policy.DecideRetry(f)).To(Equal(want))
	},
	Entry("that ran nowhere goes elsewhere within the budget",
		policy.Failure{Code: verdict.CodeOverloaded, Verdict: verdict.NotRun, Left: time.Second}, policy.BudgetedRetry),
	Entry("that reached nothing costs no budget",
		policy.Failure{Code: verdict.CodeUnreachable, Verdict: verdict.NotRun, Left: time.Second}, policy.FreeRetry),
	Entry("that may have run ends an unsafe request",
		policy.Failure{Code: verdict.CodeCut, Verdict: verdict.MayHaveRun, Left: time.Second}, policy.NotRepeatable),
	Entry("that ran ends an unsafe request",
		policy.Failure{Code: verdict.CodeCut, Verdict: verdict.Ran, Left: time.Second}, policy.NotRepeatable),
	Entry("that may have run is repeated where the route allows it",
		policy.Failure{Code: verdict.CodeCut, Verdict: verdict.MayHaveRun, Repeatable: true, Left: time.Second}, policy.BudgetedRetry),
	Entry("for want of capacity is the last",
		policy.Failure{Code: policy.CodeFull, Verdict: verdict.NotRun, Repeatable: true, Left: time.Second}, policy.AllFull),
	Entry("of a caller that is gone is the last",
		policy.Failure{Code: verdict.CodeUnreachable, Verdict: verdict.NotRun, Canceled: true, Left: time.Second}, policy.NoTime),
	Entry("with just enough time left goes elsewhere",
		policy.Failure{Code: verdict.CodeUnreachable, Verdict: verdict.NotRun, Left: 20 * ms}, policy.FreeRetry),
	Entry("with less time left is the last",
		policy.Failure{Code: verdict.CodeUnreachable, Verdict: verdict.NotRun, Left: 20*ms - 1}, policy.NoTime),
)

var _ = DescribeTable("an answer that has begun goes on where it was before",
	func(attempts int, last verdict.Code, want bool) {
		Expect(policy.Returns(attempts, 2, last)).To(Equal(want))
	},
	Entry("after the route's attempts", 2, verdict.CodeCut, true),
	Entry("up to twice as many", 3, verdict.CodeOverloaded, true),
	Entry("and no more", 4, verdict.CodeCut, false),
	Entry("not where no such endpoint may have it", 3, verdict.CodeNoEndpoint, false),
)

var _ = DescribeTable("an error answer is replaced by another attempt",
	func(a policy.ErrorAnswer, want bool) {
		Expect(policy.ReplaceErrorAnswer(a)).To(Equal(want))
	},
	Entry("where the route allows it", policy.ErrorAnswer{Repeatable: true, Attempts: 1, MaxAttempts: 2, Left: time.Second}, true),
	Entry("not for an unsafe request", policy.ErrorAnswer{Attempts: 1, MaxAttempts: 2, Left: time.Second}, false),
	Entry("not after the last attempt", policy.ErrorAnswer{Repeatable: true, Attempts: 2, MaxAttempts: 2, Left: time.Second}, false),
	Entry("not with too little time", policy.ErrorAnswer{Repeatable: true, Attempts: 1, MaxAttempts: 2, Left: 20 * ms}, false),
)

var _ = DescribeTable("a caller that found no capacity comes back",
	func(draw float64, want time.Duration) {
		Expect(policy.ShortageRetry(draw)).To(BeNumerically("~", want, time.Microsecond))
	},
	Entry("after a fifth of two seconds at the earliest", 0.0, 400*ms),
	Entry("between", 0.5, 1200*ms),
	Entry("after two seconds at the latest", 0.999999999, 2*time.Second),
)

var _ = DescribeTable("a caller is late",
	func(spent time.Duration, want bool) {
		Expect(policy.Late(spent, 400*ms)).To(Equal(want))
	},
	Entry("once its target has passed", 400*ms, true),
	Entry("not before", 400*ms-1, false),
)

var _ = DescribeTable("the load at which an endpoint is full for a late caller",
	func(limit float64, ago time.Duration, want float64) {
		Expect(policy.LateMaxLoad(limit, ago)).To(Equal(want))
	},
	Entry("is lower while others are refused", 1.06, time.Duration(0), 0.85),
	Entry("until none was for a while", 1.06, 500*ms, 0.85),
	Entry("and that of others afterwards", 1.06, 500*ms+1, 1.06),
	Entry("is never higher than that of others", 0.5, time.Duration(0), 0.5),
)

var _ = DescribeTable("a caller is told to come back",
	func(wanted, left, want time.Duration) {
		Expect(policy.RetryAfter(wanted, left)).To(Equal(want))
	},
	Entry("as wanted", time.Second, 6*time.Second, time.Second),
	Entry("soon where nothing is wanted", time.Duration(0), 6*time.Second, 300*ms),
	Entry("after a third of its time at the latest", 2*time.Second, 3*time.Second, time.Second),
	Entry("not sooner than soon, however little time it has", 2*time.Second, 100*ms, 300*ms),
)

var _ = DescribeTable("an endpoint is full for a stream",
	func(engine *routes.Engine, target time.Duration, prompt int, want float64) {
		Expect(policy.MaxLoad(engine, target, prompt)).To(BeNumerically("~", want, 1e-9))
	},
	Entry("a quarter over its batch where the engine is not known", nil, 400*ms, 0, 1.25),
	Entry("likewise where its slots are not known", &routes.Engine{}, 400*ms, 0, 1.25),
	Entry("at its batch where one that waits would begin too late",
		&routes.Engine{Slots: 12, Step: 10 * ms, Stride: 1, UsualAnswer: 12 * 50}, 400*ms, 0, 1.0),
	Entry("at what fits into 0.6 of the target, whole requests only",
		&routes.Engine{Slots: 12, Step: 10 * ms, Stride: 1, UsualAnswer: 12 * 10}, 400*ms, 0, 1+2.0/12),
	Entry("never above a quarter over its batch",
		&routes.Engine{Slots: 12, Step: ms, Stride: 1, UsualAnswer: 12}, 400*ms, 0, 1.25),
)

var _ = DescribeTable("the priority at endpoints",
	func(u policy.Urgency, want int) {
		Expect(policy.Priority(u)).To(Equal(want))
	},
	Entry("of the first rank", policy.Urgency{}, 0),
	Entry("of a rank below none", policy.Urgency{Rank: -3}, 0),
	Entry("of a longer target comes after a shorter one", policy.Urgency{Rank: 1, LongestTarget: true}, 3),
	Entry("of a shorter target", policy.Urgency{Rank: 1}, 2),
	Entry("of the rest of an answer goes before its rank", policy.Urgency{Rank: 1, Resumed: true, LongestTarget: true}, 1),
	Entry("of the rest of an answer of the first rank", policy.Urgency{Resumed: true}, 0),
	Entry("is at most what endpoints know", policy.Urgency{Rank: 7, LongestTarget: true}, 9),
)

// stall is a stream whose endpoint and answer are both within their limits.
func stall(change func(*policy.Stall)) policy.Stall {
	s := policy.Stall{EndpointIdle: 400 * ms, EndpointIdleLimit: 400 * ms, StreamIdle: 900 * ms, StreamIdleLimit: 900 * ms}
	change(&s)
	return s
}

var _ = DescribeTable("a stream that waits",
	func(change func(*policy.Stall), want policy.Wait) {
		Expect(policy.WaitForStream(stall(change))).To(Equal(want))
	},
	Entry("goes on up to its limits", func(*policy.Stall) {}, policy.KeepWaiting{}),
	Entry("leaves an idle endpoint for any other",
		func(s *policy.Stall) { s.EndpointIdle++ }, policy.Hedge{}),
	Entry("leaves an endpoint that lost its answer for an idle one",
		func(s *policy.Stall) { s.StreamIdle++ }, policy.Hedge{MaxLoad: 0.8}),
	Entry("stays at its last endpoint", func(s *policy.Stall) { s.LastAttempt, s.EndpointIdle = true, time.Hour }, policy.KeepWaiting{}),
	Entry("leaves outdated weights before it began, also as the last",
		func(s *policy.Stall) { s.LastAttempt, s.Outdated = true, true }, policy.Leave{}),
	Entry("stays at outdated weights once it began", func(s *policy.Stall) { s.Begun, s.Outdated = true, true }, policy.KeepWaiting{}),
)

var _ = DescribeTable("a plain request that waits",
	func(waited time.Duration, last bool, want policy.Wait) {
		Expect(policy.WaitForPlain(waited, 100*ms, last)).To(Equal(want))
	},
	Entry("goes on for twice its target", 200*ms, false, policy.KeepWaiting{}),
	Entry("asks another endpoint as well after that", 200*ms+1, false, policy.Hedge{}),
	Entry("stays at its last endpoint", time.Hour, true, policy.KeepWaiting{}),
)

var _ = DescribeTable("idle limits",
	func(limit func(time.Duration) time.Duration, target, want time.Duration) {
		Expect(limit(target)).To(Equal(want))
	},
	Entry("of an endpoint: twice the target", policy.EndpointIdleLimit, 300*ms, 600*ms),
	Entry("of an endpoint: the least", policy.EndpointIdleLimit, 100*ms, 400*ms),
	Entry("of a stream: three times the target", policy.StreamIdleLimit, 400*ms, 1200*ms),
	Entry("of a stream: the least", policy.StreamIdleLimit, 100*ms, 900*ms),
)

var _ = DescribeTable("the head of an answer",
	func(a policy.AnswerHead, wantVerdict verdict.Verdict, wantCode verdict.Code) {
		e := policy.JudgeAnswer(a)
		if wantCode == "" {
			Expect(e).To(BeNil())
			return
		}
		Expect(e.Verdict).To(Equal(wantVerdict))
		Expect(e.Code).To(Equal(wantCode))
	},
	Entry("is passed on", policy.AnswerHead{Status: 200, Signed: true}, verdict.Ran, verdict.Code("")),
	Entry("of another endpoint", policy.AnswerHead{Status: 421, Signed: true}, verdict.NotRun, policy.CodeMisdirected),
	Entry("that refuses", policy.AnswerHead{Status: 503, NotRun: true}, verdict.NotRun, verdict.CodeOverloaded),
	Entry("to another request", policy.AnswerHead{Status: 200, Signed: true, OtherRequest: true}, verdict.MayHaveRun, verdict.CodeCrossed),
	Entry("without a signature", policy.AnswerHead{Status: 200}, verdict.MayHaveRun, verdict.CodeCut),
	Entry("that is an error needs no signature", policy.AnswerHead{Status: 500}, verdict.Ran, verdict.Code("")),
	Entry("with a status that would promise too much", policy.AnswerHead{Status: 429}, verdict.MayHaveRun, verdict.CodeEngine),
	Entry("with a time-out's status", policy.AnswerHead{Status: 408}, verdict.MayHaveRun, verdict.CodeEngine),
	Entry("with an unavailable server's status", policy.AnswerHead{Status: 503}, verdict.MayHaveRun, verdict.CodeEngine),
)

var _ = DescribeTable("the status that a caller is told",
	func(v verdict.Verdict, code verdict.Code, want int) {
		Expect(policy.Status(verdict.NewError(v, code, "x"))).To(Equal(want))
	},
	Entry("no route", verdict.NotRun, verdict.CodeNotFound, 404),
	Entry("no key", verdict.NotRun, verdict.CodeUnauthorized, 401),
	Entry("bad request", verdict.NotRun, verdict.CodeBadRequest, 400),
	Entry("large body", verdict.NotRun, policy.CodeTooLarge, 413),
	Entry("not run", verdict.NotRun, policy.CodeFull, 503),
	Entry("too late", verdict.MayHaveRun, verdict.CodeDeadline, 504),
	Entry("too late, but certainly not run", verdict.NotRun, verdict.CodeDeadline, 503),
	Entry("may have run", verdict.MayHaveRun, verdict.CodeCut, 502),
	Entry("ran", verdict.Ran, verdict.CodeCut, 502),
)

var _ = DescribeTable("how recently an endpoint must have sent something to be asked in the place of an idle one",
	func(gapTarget, want time.Duration) {
		Expect(policy.AnsweringLimit(gapTarget)).To(Equal(want))
	},
	Entry("no target", time.Duration(0), 200*time.Millisecond),
	Entry("a usual target", 300*time.Millisecond, 300*time.Millisecond),
)
