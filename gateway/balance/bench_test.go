package balance_test

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/silverdeck/silverdeck/gateway/balance"
	"github.com/silverdeck/silverdeck/gateway/work"
	"github.com/silverdeck/silverdeck/roster"
)

// BenchmarkPick measures one selection, with the number of endpoints in current deployments
// and with the number expected in two years.
func BenchmarkPick(b *testing.B) {
	for _, n := range []int{45, 440, 1900} {
		b.Run(strconv.Itoa(n), func(b *testing.B) {
			lb := balancer(endpoints(n))
			lb.SetServices(map[string]work.Service{"s": {Engine: engine, GapTarget: 300 * time.Millisecond}})
			q := &balance.Query{Service: "s", Model: "m", MaxLoad: 1.25, Work: stream(100, 6*time.Second)}
			benchmarkPick(b, lb, q)
		})
	}
}

// BenchmarkPickInZones does so in three zones, at a load at which a third of the endpoints that other
// gateways prefer are not full, for a new request, for a hedge, and where all of these are full.
func BenchmarkPickInZones(b *testing.B) {
	for _, n := range []int{45, 440, 1900} {
		for _, x := range []struct {
			name    string
			maxIdle time.Duration
			least   int
		}{{"new", 0, 6}, {"hedge", time.Second, 6}, {"full", 0, 8}} {
			b.Run(fmt.Sprintf("%d/%s", n, x.name), func(b *testing.B) {
				list, preferred, loads := endpoints(n), map[string]bool{}, map[string]int{}
				draw := rand.New(rand.NewPCG(1, 1))
				for i := range n {
					e := list.Endpoints[fmt.Sprintf("e%d", i)]
					e.Zone, e.Slots = []string{"a", "b", "c"}[i%3], 12
					loads[e.ID] = x.least + draw.IntN(12-x.least)
					preferred[e.ID] = i < 15 && i%3 == 0
				}
				lb := balance.New(balance.Config{Zone: "a", Random: draw.Float64,
					OtherLoad: func(of roster.Incarnation) int { return loads[of.ID] }})
				lb.Update(list)
				lb.SetPreferred(preferred)
				withEngine(lb)
				q := &balance.Query{Service: "s", Model: "m", MaxLoad: 1.25, MaxIdle: x.maxIdle, Work: stream(100, 6*time.Second)}
				benchmarkPick(b, lb, q)
			})
		}
	}
}

func benchmarkPick(b *testing.B, lb *balance.Balancer, q *balance.Query) {
	b.ReportAllocs()
	for b.Loop() {
		l, err := lb.Pick(q, now)
		if err != nil {
			b.Fatal(err)
		}
		l.Done(balance.Served, now)
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
