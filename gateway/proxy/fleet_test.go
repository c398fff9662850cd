package proxy_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"

	"github.com/silverdeck/silverdeck/gateway/balance"
	"github.com/silverdeck/silverdeck/gateway/poison"
	"github.com/silverdeck/silverdeck/gateway/proxy"
	"github.com/silverdeck/silverdeck/gateway/upstream"
	"github.com/silverdeck/silverdeck/roster"
	"github.com/silverdeck/silverdeck/wait"
)

// fleet is several gateways before the same endpoints, on virtual time.
type fleet struct {
	g         *WithT
	gateways  []*world
	endpoints map[string]*endpoint
}

// playFleet runs f with n gateways before endpoints that answer by scripts.
func playFleet(t *testing.T, n int, f func(f *fleet), scripts ...[]step) {
	synctest.Test(t, func(t *testing.T) {
		fl := &fleet{g: NewWithT(t), endpoints: map[string]*endpoint{}}
		for i, s := range scripts {
			fl.endpoints[fmt.Sprintf("e%d", i)] = &endpoint{script: s}
		}
		ctx, cancel := context.WithCancel(context.Background())
		for range n {
			fl.add(ctx)
		}
		defer func() { // also where f ends the test
			cancel()
			time.Sleep(longestStep)
			synctest.Wait()
			for _, w := range fl.gateways {
				w.client.Keep(nil, time.Now())
			}
		}()
		f(fl)
	})
}

// add starts one more gateway.
func (f *fleet) add(ctx context.Context) *world {
	w := &world{g: f.g, endpoints: f.endpoints, down: map[string]bool{}, metrics: proxy.NewMetrics(metrics.NewRegistry())}
	w.balancer = balance.New(balance.Config{
		Zone:      "a",
		OtherLoad: func(l roster.Life) int { return f.othersAt(w, l) },
		Random:    func() float64 { return 0.5 },
	})
	w.balancer.Update(f.list())
	w.client = upstream.NewClient(upstream.WithDialer(w))
	w.budget = proxy.NewBudget(0.2, 100, 10*time.Second, func() int { return 1 })
	w.poison, w.trials = poison.NewTable(func(poison.Change) {}), poison.NewTrials()
	w.proxy = w.newProxy()
	w.proxy.Use(configuration())
	go w.touch(ctx)
	f.gateways = append(f.gateways, w)
	return w
}

// list returns the endpoints as the store has them.
func (f *fleet) list() *roster.List {
	list := &roster.List{Revision: 1, Endpoints: map[string]*roster.Endpoint{}}
	for id := range f.endpoints {
		list.Endpoints[id] = &roster.Endpoint{ID: id, Service: "s", Addr: id, Zone: "a", Slots: 16,
			Weights: []roster.Weights{{Model: "m", Version: 1}}}
	}
	return list
}

// othersAt returns how many requests all gateways but w have at an endpoint.
func (f *fleet) othersAt(w *world, l roster.Life) int {
	n := 0
	for _, other := range f.gateways {
		if other != w {
			n += other.sentTo(l)
		}
	}
	return n
}

// sentTo returns how many requests the gateway had at an endpoint at its last heartbeat.
func (w *world) sentTo(l roster.Life) int {
	w.beatMu.Lock()
	defer w.beatMu.Unlock()
	return w.beat[l]
}

// heartbeat is the time between two.
const heartbeat = 200 * time.Millisecond

// beats lets gateways tell each other what they have in progress, until ctx ends.
func (f *fleet) beats(ctx context.Context) {
	for wait.For(ctx, heartbeat) {
		for _, w := range f.gateways {
			inFlight := w.balancer.InFlight()
			w.beatMu.Lock()
			w.beat = inFlight
			w.beatMu.Unlock()
		}
	}
}

// ask lets each gateway have a request of a path every so often for d, and returns how many
// were answered with success.
func (f *fleet) ask(path string, every, d time.Duration) int {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	defer cancel()
	go f.beats(ctx)
	var mu sync.Mutex
	served := 0
	var asking sync.WaitGroup
	for i, w := range f.gateways {
		time.Sleep(every / time.Duration(len(f.gateways)))
		asking.Go(func() {
			for n := 0; wait.For(ctx, every); n++ {
				asking.Go(func() {
					a := w.ask("POST", path, "", "Id", fmt.Sprintf("%d-%d", i, n))
					mu.Lock()
					defer mu.Unlock()
					if a.Code == 200 {
						served++
					}
				})
			}
		})
	}
	asking.Wait()
	return served
}

// most returns the most requests that reached an endpoint in a span of d, of those that came
// after a time.
func (e *endpoint) most(d time.Duration, after time.Time) int {
	arrived := e.arrivals()
	most := 0
	for i, at := range arrived {
		n := 0
		for _, later := range arrived[i:] {
			if at.After(after) && later.Sub(at) <= d {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// since returns how many requests reached an endpoint after a time.
func (e *endpoint) since(after time.Time) int {
	n := 0
	for _, at := range e.arrivals() {
		if at.After(after) {
			n++
		}
	}
	return n
}
