package balance_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/silverdeck/silverdeck/gateway/balance"
	"github.com/silverdeck/silverdeck/roster"
)

// recorded returns a list of one endpoint with a record of the given state.
func recorded(leaving bool, sequence int64) *roster.List {
	list := oneEndpoint(5, 1)
	for id, e := range list.Endpoints {
		changed := *e
		changed.Leaving, changed.Sequence = leaving, sequence
		list.Endpoints[id] = &changed
	}
	return list
}

// A gateway that started after a late write of the store sent requests to an endpoint that the others knew to be leaving.
func TestAGatewayThatStartsLearnsWhichEndpointsLeave(t *testing.T) {
	for name, c := range map[string]struct {
		sequence int64
		eligible bool
	}{
		"told":               {9, false},
		"without a sequence": {0, true},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			told := balancer(recorded(true, c.sequence)).Advisories(true, at(0))
			started := balancer(recorded(false, c.sequence))
			started.MergeAdvisories(told, at(10))
			_, err := started.Pick(&balance.Query{Service: "s"}, at(20))
			g.Expect(err == nil).To(Equal(c.eligible))
		})
	}
}

// What the record says already must not be passed on by each gateway that hears it.
func TestALeavingEndpointThatIsRecordedIsNoNews(t *testing.T) {
	g := NewWithT(t)
	told := balancer(recorded(true, 9)).Advisories(true, at(0))
	g.Expect(told).To(HaveLen(1))
	g.Expect(balancer(recorded(true, 9)).MergeAdvisories(told, at(10))).To(BeEmpty())
}
