package admission_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/silverdeck/silverdeck/gateway/admission"
	"github.com/silverdeck/silverdeck/gateway/balance"
	"github.com/silverdeck/silverdeck/roster"
)

// BenchmarkAcquire admits and ends requests at a rate of 1,000 a second during a shortage.
func BenchmarkAcquire(b *testing.B) {
	for _, n := range []int{45, 440, 1900} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			list := &roster.List{Endpoints: map[string]*roster.Endpoint{}}
			for i := range n {
				id := fmt.Sprint(i)
				list.Endpoints[id] = &roster.Endpoint{ID: id, Service: "s", Addr: id, Slots: slots}
			}
			x := balance.New(balance.Config{OtherLoad: func(roster.Incarnation) int { return slots }, Random: func() float64 { return 0.5 }})
			x.Update(list)
			gate := admission.New(admission.Config{
				Supply: func(_ string, now time.Time) admission.Supply {
					var out admission.Supply
					for _, c := range x.Capacities(&balance.Query{Service: "s"}, now) {
						out.Room += c.Places
						out.Running += float64(c.InFlight)
					}
					return out
				},
				News:   func(string, time.Time) admission.News { return admission.News{} },
				Random: func() float64 { return 0.5 },
			})
			r := request("a", 0)
			now := epoch
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(time.Millisecond)
				grant, err := gate.TryAcquire(r, now)
				if err == nil {
					grant.Release("e", now)
				}
			}
		})
	}
}

// BenchmarkShortages tells what a gateway with the most accounts tells others.
func BenchmarkShortages(b *testing.B) {
	gate := admission.New(admission.Config{
		Supply: func(string, time.Time) admission.Supply { return admission.Supply{Room: 100, Running: 96} },
		News:   func(string, time.Time) admission.News { return admission.News{} },
		Random: func() float64 { return 0.5 },
	})
	now := epoch
	for i := range 4096 {
		now = now.Add(time.Millisecond)
		if grant, err := gate.TryAcquire(request(fmt.Sprint(i), 0), now); err == nil {
			grant.Release("", now)
		}
	}
	if len(gate.Shortages(now)) != 1 {
		b.Fatal("no shortage")
	}
	b.ReportAllocs()
	for b.Loop() {
		gate.Shortages(now)
	}
}
