package sidecar_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/silverdeck/silverdeck/sidecar"
)

// Guards against a gateway in its planned stop that does not hear of loads: the streams that it
// has to bring to an end are cut, and it knows no endpoint where they could go on.
func TestAGatewayThatLeavesIsToldForAsLongAsItsStopTakes(t *testing.T) {
	g := NewWithT(t)
	const stop = 8 * time.Second
	now := time.Now()
	gateways := sidecar.NewGateways(stop)
	g.Expect(gateways.Told(now)).To(BeEmpty())
	gateways.Use([]string{"a", "b"}, now)
	gateways.Use([]string{"b", "c"}, now.Add(time.Second))
	g.Expect(gateways.Told(now.Add(time.Second))).To(ConsistOf("a", "b", "c"))
	g.Expect(gateways.Told(now.Add(time.Second + stop - 1))).To(ConsistOf("a", "b", "c"))
	g.Expect(gateways.Told(now.Add(time.Second + stop))).To(ConsistOf("b", "c"))
	gateways.Use([]string{"c"}, now.Add(10*time.Second))
	gateways.Use([]string{"b", "c"}, now.Add(11*time.Second))
	g.Expect(gateways.Told(now.Add(60*time.Second))).To(ConsistOf("b", "c"), "one that is back is live")
}
