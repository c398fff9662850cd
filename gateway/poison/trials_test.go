package poison_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/silverdeck/silverdeck/gateway/poison"
)

func TestOneCopyIsTriedAtATime(t *testing.T) {
	g, x := NewWithT(t), poison.NewTrials()
	k, other := request().Key(), (&poison.Request{}).Key()
	g.Expect(x.Begin(k, "a", time.Second, start)).To(BeTrue())
	g.Expect(x.Begin(k, "b", time.Second, start)).To(BeFalse())
	g.Expect(x.Begin(other, "b", time.Second, start)).To(BeTrue())
	x.End(k, "b")
	g.Expect(x.Begin(k, "b", time.Second, start)).To(BeFalse(), "b does not hold the lease")
	x.End(k, "a")
	g.Expect(x.Begin(k, "b", time.Second, start)).To(BeTrue())
}

func TestTheTrialOfACrashedGatewayExpires(t *testing.T) {
	g, x := NewWithT(t), poison.NewTrials()
	k := request().Key()
	x.Begin(k, "a", time.Second, start)
	g.Expect(x.Begin(k, "b", time.Second, at(time.Second-1))).To(BeFalse())
	g.Expect(x.Begin(k, "b", time.Hour, at(time.Second))).To(BeTrue())
	g.Expect(x.Begin(k, "c", time.Second, at(11*time.Second))).To(BeTrue(), "the duration of a trial is bounded")
}

func TestTrialsAreBounded(t *testing.T) {
	g, x := NewWithT(t), poison.NewTrials()
	for i := range 5000 {
		k := (&poison.Request{URI: fmt.Sprint(i)}).Key()
		g.Expect(x.Begin(k, "a", time.Second, start)).To(BeTrue())
	}
}

func TestOwnersAreBalancedAndChangeLittle(t *testing.T) {
	g := NewWithT(t)
	var names []string
	for i := range 10 {
		names = append(names, fmt.Sprint("g", i))
	}
	const keys = 1000
	owned, moved := map[string]int{}, 0
	for i := range keys {
		k := (&poison.Request{URI: fmt.Sprint(i)}).Key()
		owner := poison.Owner(k, names)
		owned[owner]++
		if owner != "g0" && poison.Owner(k, names[1:]) != owner {
			moved++
		}
	}
	g.Expect(moved).To(BeZero(), "only requests of the gateway that left change their owner")
	for _, name := range names {
		g.Expect(owned[name]).To(BeNumerically("~", keys/len(names), keys/len(names)/2), name)
	}
}

func TestServiceGrantsLeasesAndMergesRecords(t *testing.T) {
	g, x := NewWithT(t), newGateway()
	s := poison.NewService(x.Table, poison.NewTrials())
	k := request().Key()
	asker := newGateway()
	asker.crash(request(), 1)
	var reply poison.BeginReply
	g.Expect(s.Begin(poison.BeginRequest{Key: k, Holder: "a", For: time.Second, Records: poison.Pack([]poison.Record{asker.Record(k)})}, &reply)).To(Succeed())
	g.Expect(reply.Given).To(BeTrue())
	g.Expect(x.state(request())).To(Equal(poison.Suspected))
	asker.crash(request(), 3)
	g.Expect(s.End(poison.EndRequest{Key: k, Holder: "a", Records: poison.Pack([]poison.Record{asker.Record(k)})}, &poison.EndReply{})).To(Succeed())
	reply = poison.BeginReply{}
	g.Expect(s.Begin(poison.BeginRequest{Key: k, Holder: "b", For: time.Second}, &reply)).To(Succeed())
	g.Expect(reply.Given).To(BeFalse(), "it is quarantined")
	g.Expect(poison.Unpack(reply.Records)[0].State()).To(Equal(poison.Quarantined))
}
