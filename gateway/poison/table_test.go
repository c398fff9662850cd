package poison_test

import (
	"errors"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/silverdeck/silverdeck/gateway/poison"
	"github.com/silverdeck/silverdeck/roster"
)

// gateway is a table with the causes of the changes that it reported.
type gateway struct {
	*poison.Table
	causes []poison.Cause
	// now is the time of assessments of parts.
	now time.Time
}

func newGateway() *gateway {
	g := &gateway{}
	g.Table = poison.NewTable(func(c poison.Change) { g.causes = append(g.causes, c.Cause) })
	return g
}

// start is the time at which each test begins.
var start = time.Unix(1000, 0)

func at(d time.Duration) time.Time { return start.Add(d) }

// crash records crashes of n endpoints that were processing a request.
func (g *gateway) crash(r *poison.Request, n int) poison.State {
	state := poison.Clear
	for i := range n {
		state = g.RecordCrash(r, incarnation(i), start)
	}
	return state
}

// RecordCrash records that an endpoint crashed while processing a request without shared parts, and
// returns the resulting state of the request.
func (g *gateway) RecordCrash(r *poison.Request, l roster.Incarnation, now time.Time) poison.State {
	g.Table.RecordCrash(&poison.Suspects{Request: r}, l, now)
	return g.State(r.Key())
}

// RecordAnswer records that an endpoint answered a request, right after now.
func (g *gateway) RecordAnswer(r *poison.Request, now time.Time) {
	g.Table.RecordAnswer(&poison.Suspects{Request: r}, now.Add(1), now)
}

// state returns the state that a gateway finds for a request. One that is suspected is on trial.
func (g *gateway) state(r *poison.Request) poison.State {
	state := g.Assess(&poison.Suspects{Request: r}, start).State
	if state == poison.OnTrial {
		return poison.Suspected
	}
	return state
}

func TestThreeCrashesQuarantineARequest(t *testing.T) {
	g, x := NewWithT(t), newGateway()
	g.Expect(x.state(request())).To(Equal(poison.Clear))
	g.Expect(x.crash(request(), 2)).To(Equal(poison.Suspected))
	g.Expect(x.RecordCrash(request(), incarnation(1), start)).To(Equal(poison.Suspected), "the same crash, detected on another connection")
	g.Expect(x.RecordCrash(request(), incarnation(2), start)).To(Equal(poison.Quarantined))
	g.Expect(x.state(request())).To(Equal(poison.Quarantined))
	same := request()
	same.Body = []byte("ydob")
	g.Expect(x.state(same)).To(Equal(poison.Clear), "another request with the same shape")
}

func TestACompleteAnswerClearsARequest(t *testing.T) {
	g, x := NewWithT(t), newGateway()
	x.crash(request(), 2)
	x.RecordAnswer(request(), start)
	g.Expect(x.state(request())).To(Equal(poison.Clear))
	g.Expect(x.crash(request(), 2)).To(Equal(poison.Suspected), "the count starts again")
	g.Expect(x.causes).To(ContainElement(poison.CauseAnswered))
}

func TestAnOperatorClearsARequest(t *testing.T) {
	g, x := NewWithT(t), newGateway()
	x.crash(request(), 3)
	g.Expect(x.Clear(request().Key().String(), start)).To(Succeed())
	g.Expect(x.state(request())).To(Equal(poison.Clear))
	var unknown *poison.UnknownKeyError
	g.Expect(errors.As(x.Clear(request().Key().String(), start), &unknown)).To(BeTrue())
	g.Expect(x.List(start)).To(BeEmpty())
}

func TestAnExpiredQuarantineReturnsWithTheNextCrash(t *testing.T) {
	g, x := NewWithT(t), newGateway()
	x.crash(request(), 3)
	left := poison.QuarantineTime(0)
	x.Gossip(false, at(left-time.Millisecond))
	g.Expect(x.state(request())).To(Equal(poison.Quarantined))
	x.Gossip(false, at(left))
	g.Expect(x.state(request())).To(Equal(poison.Clear))
	g.Expect(x.RecordCrash(request(), incarnation(9), at(left))).To(Equal(poison.Quarantined))
	x.Gossip(false, at(left+poison.QuarantineTime(1)-time.Millisecond))
	g.Expect(x.state(request())).To(Equal(poison.Quarantined))
}

func TestSuspicionExpires(t *testing.T) {
	g, x := NewWithT(t), newGateway()
	x.crash(request(), 2)
	x.Gossip(false, at(10*time.Minute-time.Millisecond))
	g.Expect(x.state(request())).To(Equal(poison.Suspected))
	x.Gossip(false, at(10*time.Minute))
	g.Expect(x.state(request())).To(Equal(poison.Clear))
}

func TestCrashesSeenByDifferentGatewaysAddUp(t *testing.T) {
	g, x, y := NewWithT(t), newGateway(), newGateway()
	x.crash(request(), 2)
	y.RecordCrash(request(), incarnation(2), start)
	g.Expect(y.Merge(x.Gossip(false, start), start)).To(BeTrue())
	g.Expect(y.state(request())).To(Equal(poison.Quarantined))
	g.Expect(y.Merge(x.Gossip(false, start), start)).To(BeFalse(), "already known")
	g.Expect(x.Merge(y.Gossip(false, start), start)).To(BeTrue())
	g.Expect(x.state(request())).To(Equal(poison.Quarantined))
}

func TestGossipRepeatsChangesForASecondAndQuarantinesForever(t *testing.T) {
	g, x := NewWithT(t), newGateway()
	x.crash(request(), 1)
	g.Expect(x.Gossip(false, at(time.Second-1))).To(HaveLen(1))
	g.Expect(x.Gossip(false, at(time.Second))).To(BeEmpty())
	x.crash(request(), 3)
	told := 0
	for i := range 50 { // the heartbeats of ten seconds, a minute later
		told += len(x.Gossip(false, at(time.Minute+time.Duration(i)*200*time.Millisecond)))
	}
	g.Expect(told).To(Equal(10))
}

func TestOnlyRelaysForwardGossip(t *testing.T) {
	g, x, y := NewWithT(t), newGateway(), newGateway()
	x.crash(request(), 1)
	y.Merge(x.Gossip(false, start), start)
	g.Expect(y.Gossip(false, start)).To(BeEmpty())
	g.Expect(y.Gossip(true, start)).To(HaveLen(1))
}

func TestGossipAnswersRecordsOfEarlierGenerations(t *testing.T) {
	g, x, y := NewWithT(t), newGateway(), newGateway()
	x.crash(request(), 3)
	y.Merge(x.Gossip(false, start), start)
	g.Expect(x.Clear(request().Key().String(), start)).To(Succeed())
	later := at(time.Minute) // y was partitioned meanwhile
	g.Expect(x.Gossip(false, later)).To(BeEmpty())
	x.Merge(y.Gossip(false, later), later)
	y.Merge(x.Gossip(false, later), later)
	g.Expect(y.state(request())).To(Equal(poison.Clear))
}

func TestTableIsBoundedAndKeepsQuarantinedRequests(t *testing.T) {
	g, x := NewWithT(t), newGateway()
	x.crash(request(), 3)
	for i := range 6000 {
		r := request()
		r.Body = fmt.Append(nil, i)
		x.RecordCrash(r, incarnation(i), at(time.Duration(i)))
	}
	g.Expect(x.state(request())).To(Equal(poison.Quarantined))
	g.Expect(x.List(start)).To(HaveLen(4096))
	g.Expect(len(x.Gossip(true, at(time.Millisecond)))).To(Equal(128))
	g.Expect(len(poison.Pack(x.Gossip(true, at(time.Millisecond))))).To(BeNumerically("<", 8<<10))
}

func BenchmarkAssess(b *testing.B) {
	for name, n := range map[string]int{"empty table": 0, "other requests": 100} {
		b.Run(name, func(b *testing.B) {
			x := newGateway()
			for i := range n {
				r := request()
				r.URI = fmt.Sprint(i)
				x.RecordCrash(r, incarnation(i), start)
			}
			r := request()
			for b.Loop() {
				x.Assess(&poison.Suspects{Request: r}, start)
			}
		})
	}
}

// Two gateways detect one crash each at the same moment. A gateway must continue to send its own
// change after it has received the other's, because a third gateway may have lost the datagram.
func TestReceivedGossipDoesNotStopOwnGossip(t *testing.T) {
	g, x, y := NewWithT(t), newGateway(), newGateway()
	x.RecordCrash(request(), incarnation(1), start)
	y.RecordCrash(request(), incarnation(2), start)
	x.Merge(y.Gossip(false, start), start)
	g.Expect(x.Gossip(false, at(900*time.Millisecond))).To(HaveLen(1))
}

// another returns a request that crashes no endpoint.
func another() *poison.Request {
	r := request()
	r.URI = "/another"
	return r
}

// An innocent request that is retried after each crash may meet further copies of the poison
// request at the next endpoints, and must not be quarantined with it.
func TestSharedCrashesAreAttributedToThePoisonRequest(t *testing.T) {
	for name, c := range map[string]struct {
		// blamed and beside are the endpoints that crashed while processing the poison request
		// and the other one.
		blamed, beside []int
		want           poison.State
	}{
		"three of four": {[]int{0, 1, 2, 3}, []int{1, 2, 3}, poison.Clear},
		"two of three":  {[]int{0, 1, 2}, []int{0, 2}, poison.Clear},
		"the same three, so the cause is unknown": {[]int{0, 1, 2}, []int{0, 1, 2}, poison.Quarantined},
		"two shared and one unrelated crash":      {[]int{0, 1, 2, 3}, []int{1, 2, 4}, poison.Suspected},
		"three unrelated crashes":                 {[]int{0, 1, 2, 3}, []int{4, 5, 6}, poison.Quarantined},
		"the other is not quarantined":            {[]int{0, 1}, []int{0}, poison.Suspected},
	} {
		t.Run(name, func(t *testing.T) {
			g, x, y := NewWithT(t), newGateway(), newGateway()
			for _, i := range c.beside {
				y.RecordCrash(another(), incarnation(i), start)
			}
			for _, i := range c.blamed {
				x.RecordCrash(request(), incarnation(i), start)
			}
			blamed := x.state(request())
			for ms := 0; ms < 2000; ms += 200 {
				now := at(time.Duration(ms) * time.Millisecond)
				x.Merge(y.Gossip(false, now), now)
				y.Merge(x.Gossip(false, now), now)
			}
			for _, all := range []*gateway{x, y} {
				g.Expect(all.state(another())).To(Equal(c.want))
				g.Expect(all.state(request())).To(Equal(blamed))
			}
		})
	}
}

// A crash that is reported a moment later may be shared by both requests, in which case neither
// explains the other.
func TestCrashesAreNotAttributedBeforeTheySettle(t *testing.T) {
	g, x := NewWithT(t), newGateway()
	x.crash(another(), 3)
	x.crash(request(), 2)
	x.Gossip(false, at(200*time.Millisecond))
	g.Expect(x.state(request())).To(Equal(poison.Suspected), "not yet")
	x.RecordCrash(request(), incarnation(2), at(200*time.Millisecond))
	x.Gossip(false, at(time.Second))
	g.Expect(x.state(request())).To(Equal(poison.Quarantined))
	g.Expect(x.state(another())).To(Equal(poison.Quarantined))
}

// An unrelated crash a moment later must not reach the threshold together with crashes that
// another request explains.
func TestExplainedCrashesAreNotAddedToLaterOnes(t *testing.T) {
	g, x := NewWithT(t), newGateway()
	x.crash(request(), 4)
	x.crash(another(), 2)
	g.Expect(x.RecordCrash(another(), incarnation(9), at(300*time.Millisecond))).To(Equal(poison.Suspected))
	g.Expect(x.Record(another().Key()).Crashes).To(HaveLen(1))
}
