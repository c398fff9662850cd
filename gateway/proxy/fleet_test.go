package proxy_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"

	"github.com/silverdeck/silverdeck/gateway/affinity"
	"github.com/silverdeck/silverdeck/gateway/balance"
	"github.com/silverdeck/silverdeck/gateway/poison"
	"github.com/silverdeck/silverdeck/gateway/proxy"
	"github.com/silverdeck/silverdeck/gateway/upstream"
	"github.com/silverdeck/silverdeck/member"
	"github.com/silverdeck/silverdeck/roster"
	"github.com/silverdeck/silverdeck/wait"
)

// fleet is several gateways before the same endpoints, on virtual time.
type fleet struct {
	g         *WithT
	endpoints map[string]*endpoint

	mu       sync.Mutex
	gateways []*world
	// dead are gateways that have ended.
	dead map[*world]bool
}

// random returns what draws numbers from a seed.
func (w *world) random(seed uint64) func() float64 {
	r := rand.New(rand.NewPCG(seed, 0))
	return func() float64 {
		w.beatMu.Lock()
		defer w.beatMu.Unlock()
		return r.Float64()
	}
}

// alive returns the gateways that have not ended.
func (f *fleet) alive() []*world {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []*world
	for _, w := range f.gateways {
		if !f.dead[w] {
			out = append(out, w)
		}
	}
	return out
}

// kill ends a gateway: it sends nothing more, and others know of it after a while.
func (f *fleet) kill(w *world) {
	f.mu.Lock()
	f.dead[w] = true
	f.mu.Unlock()
	time.AfterFunc(member.AliveTime, f.hold)
}

// holder returns the gateway that holds an endpoint.
func (f *fleet) holder(id string) *world {
	live := f.alive()
	for _, w := range live {
		if affinity.Held(f.list(), entries(live), w.self.Name)[id] {
			return w
		}
	}
	return nil
}

func entries(gateways []*world) []member.Entry {
	var out []member.Entry
	for _, w := range gateways {
		out = append(out, w.self)
	}
	return out
}

// playFleet runs f with n gateways before endpoints that answer by scripts.
func playFleet(t *testing.T, n int, f func(f *fleet), scripts ...[]step) {
	synctest.Test(t, func(t *testing.T) {
		fl := &fleet{g: NewWithT(t), endpoints: map[string]*endpoint{}, dead: map[*world]bool{}}
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
func (f *fleet) add(ctx context.Context) {
	w := &world{g: f.g, endpoints: f.endpoints, down: map[string]bool{}, metrics: proxy.NewMetrics(metrics.NewRegistry())}
	w.balancer = balance.New(balance.Config{
		Zone:         "a",
		OtherLoad:    func(l roster.Life) int { return f.othersAt(w, l) },
		Random:       w.random(uint64(len(f.alive()))),
		OnStaleLimit: func(l roster.Life) { go f.askToken(w, l) },
	})
	w.askToken = func(_ context.Context, l roster.Life) bool { return f.askToken(w, l) }
	w.balancer.Update(f.list())
	w.client = upstream.NewClient(upstream.WithDialer(w))
	w.budget = proxy.NewBudget(0.2, 100, 10*time.Second, func() int { return 1 })
	w.poison, w.trials = poison.NewTable(func(poison.Change) {}), poison.NewTrials()
	w.proxy = w.newProxy()
	w.proxy.Use(configuration())
	go w.touch(ctx)
	f.mu.Lock()
	w.self = member.Entry{Name: fmt.Sprintf("g%d", len(f.gateways)), Zone: "a", Heeds: true}
	f.gateways = append(f.gateways, w)
	f.mu.Unlock()
	f.hold()
}

// hold deals the endpoints out to the gateways that are alive.
func (f *fleet) hold() {
	live := f.alive()
	for _, w := range live {
		w.balancer.SetHeld(affinity.Held(f.list(), entries(live), w.self.Name), time.Now())
	}
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
	for _, other := range f.alive() {
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

// beats lets gateways tell each other what they have in progress and what endpoints said,
// until ctx ends.
func (f *fleet) beats(ctx context.Context) {
	for wait.For(ctx, heartbeat) {
		for _, w := range f.alive() {
			inFlight := w.balancer.InFlight()
			w.beatMu.Lock()
			w.beat = inFlight
			w.beatMu.Unlock()
			f.tell(w)
		}
	}
}

// tell lets other gateways learn what endpoints said to one.
func (f *fleet) tell(w *world) {
	now := time.Now()
	told := w.balancer.Advisories(false, now)
	for _, other := range f.alive() {
		if other != w {
			other.balancer.MergeAdvisories(told, now)
		}
	}
}

// ask lets each gateway have a request of a path every so often for d.
func (f *fleet) ask(path string, every, d time.Duration) {
	f.askOf(f.alive(), path, every, d)
}

// without returns the gateways that have not ended but one.
func (f *fleet) without(one *world) []*world {
	return slices.DeleteFunc(f.alive(), func(w *world) bool { return w == one })
}

// askOf does so with some gateways, and returns how many were answered with success.
func (f *fleet) askOf(live []*world, path string, every, d time.Duration) int {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	defer cancel()
	go f.beats(ctx)
	var mu sync.Mutex
	served := 0
	var asking sync.WaitGroup
	for _, w := range live {
		time.Sleep(every / time.Duration(len(live)))
		asking.Go(func() {
			for n := 0; wait.For(ctx, every) && !f.ended(w); n++ {
				asking.Go(func() {
					a := w.ask("POST", path, "", "Id", fmt.Sprintf("%s-%d", w.self.Name, n))
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

// askToken asks the holder of an endpoint, some milliseconds away, for a request there.
func (f *fleet) askToken(w *world, l roster.Life) bool {
	holder := f.holder(l.ID)
	if holder == nil || holder == w {
		return false
	}
	time.Sleep(4 * time.Millisecond)
	now := time.Now()
	granted, opensIn := holder.balancer.Grant(w.self.Name, l, now)
	w.balancer.ApplyTokenReply(l, granted, opensIn, now)
	return granted && opensIn == 0
}

// ended returns whether a gateway has ended.
func (f *fleet) ended(w *world) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.dead[w]
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

// byGateway returns how many requests of each gateway reached an endpoint.
func (e *endpoint) byGateway() map[string]int {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := map[string]int{}
	for _, r := range e.requests {
		gateway, _, _ := strings.Cut(r.Header.Get("Id"), "-")
		out[gateway]++
	}
	return out
}
