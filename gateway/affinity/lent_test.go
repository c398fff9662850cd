package affinity_test

import (
	"fmt"
	"slices"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/silverdeck/silverdeck/gateway/affinity"
	"github.com/silverdeck/silverdeck/gateway/zoneflow"
	"github.com/silverdeck/silverdeck/roster"
)

func TestLentCount(t *testing.T) {
	for share, want := range map[float64]int{0: 0, 0.01: 1, 0.05: 2, 0.25: 10, 0.5: 30, 0.6: 45, 0.7: 60, 1: 60} {
		NewWithT(t).Expect(affinity.LentCount(share, 10)).To(Equal(want), fmt.Sprint(share))
	}
}

// sharesOf returns the shares of the demand for the service of endpointsInZones.
func sharesOf(shares ...zoneflow.Share) map[string][]zoneflow.Share {
	return map[string][]zoneflow.Share{"s": shares}
}

// Endpoints that few gateways of another zone share with those of their own zone would be
// overloaded while others idle.
func TestEndpointsAreLentEvenly(t *testing.T) {
	list := endpointsInZones(13, "a", "b", "c")
	live := append(append(gateways(23, "a"), gateways(16, "b")...), gateways(15, "c")...)
	for _, x := range []struct {
		b, c         float64
		wantB, wantC int
	}{{0.1, 0, 8, 0}, {0.1, 0.1, 9, 9}, {0.3, 0.09, 35, 10}, {0.5, 0.5, 69, 69}} {
		g := NewWithT(t)
		byZone, by := map[string]int{}, map[string]int{}
		for _, e := range slices.Clone(live) {
			lent := affinity.Lent(list, live, e.Name, sharesOf(zoneflow.Share{To: "b", Share: x.b}, zoneflow.Share{To: "c", Share: x.c}))
			if e.Zone != "a" {
				continue
			}
			n := affinity.LentCount(x.b+x.c, 23)
			g.Expect(len(lent)).To(And(BeNumerically(">=", n/23), BeNumerically("<=", n/23+1)))
			for id := range lent {
				byZone[list.Endpoints[id].Zone]++
				by[id]++
			}
		}
		g.Expect(byZone["b"]).To(Equal(x.wantB), "%+v", x)
		g.Expect(byZone["c"]).To(Equal(x.wantC), "%+v", x)
		for id, n := range by {
			zone := list.Endpoints[id].Zone
			g.Expect(n).To(BeNumerically("~", float64(byZone[zone])/13, 1.5), id)
		}
	}
}

// Guards against a gateway that is lent the same endpoint several times, and so prefers few, where the
// numbers of gateways and endpoints have a common divisor.
func TestAGatewayIsLentDifferentEndpoints(t *testing.T) {
	list, live := endpointsInZones(4, "b"), gateways(2, "a")
	for _, e := range slices.Clone(live) {
		lent := affinity.Lent(list, live, e.Name, sharesOf(zoneflow.Share{To: "b", Share: 1}))
		NewWithT(t).Expect(lent).To(HaveLen(4))
	}
}

// The first gateways by name are relays as well, and would all get the small flows.
func TestSmallFlowsOfServicesAreLeftToDifferentGateways(t *testing.T) {
	g := NewWithT(t)
	const services = 46
	list, shares := &roster.List{Endpoints: map[string]*roster.Endpoint{}}, map[string][]zoneflow.Share{}
	for i := range services {
		service := fmt.Sprint("s", i)
		list.Endpoints["e-"+service] = &roster.Endpoint{ID: "e-" + service, Service: service, Zone: "b"}
		shares[service] = []zoneflow.Share{{To: "b", Share: 0.01}}
	}
	live, sum, most := gateways(23, "a"), 0, 0
	for _, e := range live {
		n := len(affinity.Lent(list, live, e.Name, shares))
		sum, most = sum+n, max(most, n)
	}
	g.Expect(sum).To(Equal(services * affinity.LentCount(0.01, 23)))
	g.Expect(most).To(BeNumerically("<=", services/4))
}

func TestNothingIsLentWithoutNeed(t *testing.T) {
	g := NewWithT(t)
	list, live := endpointsInZones(3, "a", "b"), gateways(2, "a")
	g.Expect(affinity.Lent(list, live, "a00", nil)).To(BeEmpty())
	g.Expect(affinity.Lent(nil, live, "a00", sharesOf(zoneflow.Share{To: "b", Share: 0.2}))).To(BeEmpty())
	g.Expect(affinity.Lent(list, live, "x", sharesOf(zoneflow.Share{To: "b", Share: 0.2}))).To(BeEmpty())
	g.Expect(affinity.Lent(list, live, "a00", sharesOf(zoneflow.Share{To: "none", Share: 0.2}))).To(BeEmpty())
}
