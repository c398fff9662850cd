package balance_test

import (
	"strconv"
	"testing"
	"time"

	"github.com/silverdeck/silverdeck/gateway/balance"
	"github.com/silverdeck/silverdeck/gateway/work"
)

// BenchmarkPick measures one selection, with the number of endpoints in current deployments
// and with the number expected in two years.
func BenchmarkPick(b *testing.B) {
	for _, n := range []int{45, 1900} {
		b.Run(strconv.Itoa(n), func(b *testing.B) {
			lb := balancer(endpoints(n))
			lb.SetServices(map[string]work.Service{"s": {Engine: engine, GapTarget: 300 * time.Millisecond}})
			q := &balance.Query{Service: "s", Model: "m", MaxLoad: 1.25, Work: stream(100, 6*time.Second)}
			b.ReportAllocs()
			for b.Loop() {
				l, err := lb.Pick(q, now)
				if err != nil {
					b.Fatal(err)
				}
				l.Done(balance.Served, now)
			}
		})
	}
}

// BenchmarkPaceNotice measures the notice of a slow endpoint's sidecar, and BenchmarkExpirePaces what
// paces cost with each heartbeat.
func BenchmarkPaceNotice(b *testing.B) {
	lb := withEngine(balancer(endpoints(1900)))
	for b.Loop() {
		tell(lb, 2.5, now)
	}
}

func BenchmarkExpirePaces(b *testing.B) {
	lb := withEngine(balancer(endpoints(1900)))
	tell(lb, 2.5, now)
	for b.Loop() {
		lb.ExpirePaces(now)
	}
}

// BenchmarkRoomByZone measures what flows cost with each heartbeat.
func BenchmarkRoomByZone(b *testing.B) {
	lb := balancer(endpoints(1900))
	queries := []balance.Query{{Service: "s", Model: "m"}}
	b.ReportAllocs()
	for b.Loop() {
		lb.RoomByZone("s", queries, now)
	}
}
