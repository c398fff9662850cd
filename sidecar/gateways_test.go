package sidecar_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/silverdeck/silverdeck/sidecar"
)

// Guards against a gateway in its planned stop that receives no notices of loads. Its remaining
// streams would be cut, and it would know no endpoint at which to resume them.
func TestLeavingGatewaysReceiveNoticesForTheDurationOfAStop(t *testing.T) {
	g := NewWithT(t)
	const stop = 8 * time.Second
	now := time.Now()
	gateways := sidecar.NewGateways(stop)
	g.Expect(gateways.Recipients(now)).To(BeEmpty())
	gateways.SetLive([]string{"a", "b"}, now)
	gateways.SetLive([]string{"b", "c"}, now.Add(time.Second))
	g.Expect(gateways.Recipients(now.Add(time.Second))).To(ConsistOf("a", "b", "c"))
	g.Expect(gateways.Recipients(now.Add(time.Second + stop - 1))).To(ConsistOf("a", "b", "c"))
	g.Expect(gateways.Recipients(now.Add(time.Second + stop))).To(ConsistOf("b", "c"))
	gateways.SetLive([]string{"c"}, now.Add(10*time.Second))
	gateways.SetLive([]string{"b", "c"}, now.Add(11*time.Second))
	g.Expect(gateways.Recipients(now.Add(60*time.Second))).To(ConsistOf("b", "c"), "a gateway that returned is live")
}
