package leases_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/silverdeck/silverdeck/leases"
)

// Guards against sidecars of the release before, which do not state what the endpoint runs, and are
// refused or granted leases by a rule that they do not know.
func TestServiceAnswersRequestsOfBothForms(t *testing.T) {
	g := NewWithT(t)
	var decided []leases.Grant
	s := leases.NewService(leases.NewTable(), func(string, string) *leases.Fleet { return fullFleet() },
		func(_ leases.LoadRequest, d leases.Grant) { decided = append(decided, d) })

	var reply leases.LoadReply
	g.Expect(s.Begin(leases.LoadRequest{Service: "s", Model: "m", VM: "a", For: time.Second}, &reply)).To(Succeed())
	g.Expect(reply).To(Equal(leases.LoadReply{Again: 100 * time.Millisecond}), "no spare capacity")
	g.Expect(decided).To(BeEmpty())

	reply = leases.LoadReply{}
	q := leases.LoadRequest{Service: "s", Model: "m", VM: "a", For: time.Second, Held: 1, Remaining: change.Remaining, Drain: drain}
	g.Expect(s.Begin(q, &reply)).To(Succeed())
	g.Expect(reply).To(Equal(leases.LoadReply{Given: true, Scheduled: true, Drain: drain, Again: 100 * time.Millisecond}))
	g.Expect(decided).To(HaveLen(1))
	g.Expect(decided[0].Given).To(BeTrue())
}

// Guards against leases of several gateways just after a start, when sidecars know only some of these.
func TestAGatewayThatDoesNotOwnTheLeasesRefusesThem(t *testing.T) {
	g := NewWithT(t)
	owns := false
	s := leases.NewService(leases.NewTable(), func(string, string) *leases.Fleet { return fullFleet() },
		func(leases.LoadRequest, leases.Grant) {}, leases.WithOwnership(func(string) bool { return owns }))
	for _, q := range []leases.LoadRequest{
		{Service: "s", Model: "m", VM: "a", For: time.Second, Held: 1, Remaining: change.Remaining, Drain: drain},
		{Service: "s", Model: "m", VM: "a", For: time.Second},
	} {
		var reply leases.LoadReply
		g.Expect(s.Begin(q, &reply)).To(Succeed())
		g.Expect(reply).To(Equal(leases.LoadReply{Scheduled: q.Held != 0, Again: 100 * time.Millisecond}), "asked again soon")
	}
	owns = true
	var reply leases.LoadReply
	g.Expect(s.Begin(leases.LoadRequest{Service: "s", Model: "m", VM: "a", For: time.Second, Held: 1, Remaining: change.Remaining, Drain: drain}, &reply)).To(Succeed())
	g.Expect(reply.Given).To(BeTrue())
}

func TestMayGrant(t *testing.T) {
	g := NewWithT(t)
	const contact = 3 * time.Second
	g.Expect(leases.MayGrant(true, 0, contact)).To(BeTrue())
	g.Expect(leases.MayGrant(false, contact-1, contact)).To(BeFalse())
	g.Expect(leases.MayGrant(false, contact, contact)).To(BeTrue(), "one that grants is better than none")
}
