package affinity_test

import (
	"testing"

	"github.com/silverdeck/silverdeck/gateway/affinity"
	"github.com/silverdeck/silverdeck/gateway/zoneflow"
)

// BenchmarkAssignment measures what a change of gateways, endpoints, or flows costs at the size
// expected in two years.
func BenchmarkAssignment(b *testing.B) {
	list := endpointsInZones(633, "a", "b", "c")
	live := append(append(gateways(114, "a"), gateways(113, "b")...), gateways(113, "c")...)
	for i := range live {
		live[i].Heeds = true
	}
	shares := sharesOf(zoneflow.Share{To: "b", Share: 0.2}, zoneflow.Share{To: "c", Share: 0.1})
	b.Run("Preferred", func(b *testing.B) {
		for b.Loop() {
			affinity.Preferred(list, live, nil, "a07")
		}
	})
	b.Run("Lent", func(b *testing.B) {
		for b.Loop() {
			affinity.Lent(list, live, "a07", shares)
		}
	})
	b.Run("Held", func(b *testing.B) {
		for b.Loop() {
			affinity.Held(list, live, "a07")
		}
	})
}
