package balance_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/silverdeck/silverdeck/gateway/advisory"
	"github.com/silverdeck/silverdeck/gateway/balance"
	"github.com/silverdeck/silverdeck/roster"
)

var _ = Describe("The time until an endpoint serves requests in all slots", func() {
	q := balance.Query{Service: "s"}
	ready := func(b *balance.Balancer, q balance.Query, ms int) (time.Duration, int) {
		c := b.Capacities(&q, at(ms))[0]
		return c.ReadyIn, c.Coming
	}

	It("is that of its pause, or of the cold time after it", func() {
		l := coldEndpoint(1200)
		l.Endpoints["e0"].Slots = 4
		b := coldBalancer(l)
		in, slots := ready(b, q, 200)
		Expect(in).To(Equal(time.Second))
		Expect(slots).To(Equal(4))
		b.ApplyAnnouncement(balance.Announcement{Addr: "e0:1", Born: 5, PausedUntil: at(700)})
		in, _ = ready(b, q, 200)
		Expect(in).To(Equal(time.Second))
		b.ApplyAnnouncement(balance.Announcement{Addr: "e0:1", Born: 5, PausedUntil: at(1700)})
		in, _ = ready(b, q, 200)
		Expect(in).To(Equal(1500 * time.Millisecond))
		in, slots = ready(b, q, 1700)
		Expect(in).To(BeZero(), "it serves")
		Expect(slots).To(BeZero())
	})
	It("is known while it loads the weights that it lacks", func() {
		l := oneEndpoint(5, 1)
		l.Endpoints["e0"].Weights = []roster.Weights{{Model: "m", Version: 1}}
		b := balancer(l)
		newer := balance.Query{Service: "s", Model: "m", MinVersion: 2}
		in, _ := ready(b, newer, 0)
		Expect(in).To(BeZero(), "nobody knows when it will load them")
		b.ApplyAnnouncement(balance.Announcement{Addr: "e0:1", Born: 5, PausedUntil: at(600)})
		in, _ = ready(b, newer, 0)
		Expect(in).To(Equal(600 * time.Millisecond))
	})
	It("is unknown if something else keeps it from serving", func() {
		b := withHeld(coldBalancer(coldEndpoint(60_000)), "e0")
		respondAt(b, q, advisory.PerSecond(2), at(1000), at(1010))
		in, _ := ready(b, q, 1010)
		Expect(in).To(BeZero(), "its own limit")
		b = coldBalancer(coldEndpoint(60_000))
		b.SetEvacuated(map[string]bool{"a": true}, at(0))
		in, _ = ready(b, q, 10)
		Expect(in).To(BeZero(), "an evacuation")
	})
})
