package balance_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/silverdeck/silverdeck/gateway/balance"
	"github.com/silverdeck/silverdeck/roster"
)

var _ = DescribeTable("a service counts as stalled",
	func(idle, busy int, want bool) {
		Expect(balance.ServiceStalled(idle, busy)).To(Equal(want))
	},
	Entry("not if no endpoint is busy", 0, 0, false),
	Entry("not with two of two idle, which may have failed", 2, 2, false),
	Entry("with two of three idle", 2, 3, true),
	Entry("not with half idle", 2, 4, false),
	Entry("with more than half idle", 3, 4, true),
)

// Guards against hedges that wait at an endpoint as silent as the one they are a hedge
// against.
var _ = Describe("A request with MaxIdle", func() {
	const maxIdle = 600 * time.Millisecond
	var b *balance.Balancer
	var began, now time.Time

	// at returns a request in progress at an endpoint since began.
	at := func(id string) *balance.Lease {
		l, err := b.Pick(&balance.Query{Service: "s", Include: []string{id}}, began)
		Expect(err).NotTo(HaveOccurred())
		return l
	}
	pick := func(exclude ...string) (string, error) {
		l, err := b.Pick(&balance.Query{Service: "s", Exclude: exclude, MaxIdle: maxIdle, Healthy: true}, now)
		if err != nil {
			return "", err
		}
		defer l.Done(balance.Neutral, now)
		return l.Record.ID, nil
	}

	BeforeEach(func() {
		began = time.Now()
		now = began.Add(maxIdle + time.Millisecond)
		b = balance.New(balance.Config{Zone: "a", OtherLoad: func(roster.Incarnation) int { return 0 }, Random: func() float64 { return 0 }})
		list := &roster.List{Revision: 1, Endpoints: map[string]*roster.Endpoint{}}
		for _, id := range []string{"e0", "e1", "e2", "e3"} {
			list.Endpoints[id] = &roster.Endpoint{ID: id, Service: "s", Addr: id, Zone: "a", Slots: 4}
		}
		b.Update(list)
		b.NoteTraffic(now)
	})

	It("gets no idle endpoint", func() {
		at("e0")
		at("e1")
		Expect(pick("e0", "e2", "e3")).Error().To(HaveOccurred())
	})

	It("gets an endpoint that responds to other requests", func() {
		at("e0")
		at("e1").Received(now)
		Expect(pick("e0", "e2", "e3")).To(Equal("e1"))
	})

	It("gets an endpoint of unknown responsiveness, unless most are idle", func() {
		at("e0")
		at("e1")
		Expect(pick("e0")).To(BeElementOf("e2", "e3"))
		at("e2")
		Expect(pick("e0")).Error().To(HaveOccurred())
	})

	It("gets an endpoint whose requests just began, if another responds", func() {
		at("e0")
		at("e2").Received(now)
		began = now.Add(-maxIdle)
		at("e1")
		Expect(pick("e0", "e2", "e3")).To(Equal("e1"))
	})

	It("tries endpoints one at a time if none responds", func() {
		at("e0")
		began = now.Add(-maxIdle)
		probe := at("e1")
		Expect(pick("e0")).Error().To(HaveOccurred())
		probe.Received(now)
		Expect(pick("e0")).NotTo(BeEmpty())
	})

	It("gets any endpoint if nothing was received from any process", func() {
		now = now.Add(10 * time.Second)
		b.NoteTraffic(began)
		at("e0")
		at("e1")
		Expect(pick("e0", "e2", "e3")).To(Equal("e1"))
	})
})
