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

// fleet runs several gateways with the same endpoints, on virtual time.
type fleet struct {
	g         *WithT
	endpoints map[string]*endpoint

	mu       sync.Mutex
	gateways []*harness
	// dead holds the gateways that have ended.
	dead map[*harness]bool
	// starts is how often an endpoint has started again.
	starts map[string]int
	// trials are the leases on suspected requests and parts.
	trials *poison.Trials
}

// random returns a source of random numbers with the given seed.
func (w *harness) random(seed uint64) func() float64 {
	r := rand.New(rand.NewPCG(seed, 0))
	return func() float64 {
		w.reportedMu.Lock()
		defer w.reportedMu.Unlock()
		return r.Float64()
	}
}

// alive returns the gateways that have not ended.
func (f *fleet) alive() []*harness {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []*harness
	for _, w := range f.gateways {
		if !f.dead[w] {
			out = append(out, w)
		}
	}
	return out
}

// kill ends a gateway. It sends nothing more, and the others notice after member.AliveTime.
func (f *fleet) kill(w *harness) {
	f.mu.Lock()
	f.dead[w] = true
	f.mu.Unlock()
	time.AfterFunc(member.AliveTime, f.assignEndpoints)
}

// holder returns the gateway that holds an endpoint.
func (f *fleet) holder(id string) *harness {
	live := f.alive()
	for _, w := range live {
		if affinity.Held(f.list(), entries(live), w.self.Name)[id] {
			return w
		}
	}
	return nil
}

func entries(gateways []*harness) []member.Entry {
	var out []member.Entry
	for _, w := range gateways {
		out = append(out, w.self)
	}
	return out
}

// runFleet runs f with n gateways and one endpoint for each script.
func runFleet(t *testing.T, n int, f func(f *fleet), scripts ...[]handler) {
	synctest.Test(t, func(t *testing.T) {
		fl := &fleet{g: NewWithT(t), endpoints: map[string]*endpoint{}, dead: map[*harness]bool{}, starts: map[string]int{}, trials: poison.NewTrials()}
		for i, s := range scripts {
			fl.endpoints[fmt.Sprintf("e%d", i)] = &endpoint{script: s}
		}
		ctx, cancel := context.WithCancel(context.Background())
		for range n {
			fl.add(ctx)
		}
		defer func() { // also if f fails the test
			cancel()
			time.Sleep(maxHandlerTime)
			synctest.Wait()
			for _, w := range fl.gateways {
				w.client.Prune(nil, time.Now())
			}
		}()
		f(fl)
	})
}

// add starts another gateway.
func (f *fleet) add(ctx context.Context) {
	w := &harness{g: f.g, endpoints: f.endpoints, down: map[string]bool{}, metrics: proxy.NewMetrics(metrics.NewRegistry())}
	w.balancer = balance.New(balance.Config{
		Zone:          "a",
		OtherLoad:     func(l roster.Incarnation) int { return f.othersAt(w, l) },
		Random:        w.random(uint64(len(f.alive()))),
		OnTokenWanted: func(l roster.Incarnation) { go f.askToken(w, l) },
	})
	w.askToken = func(_ context.Context, l roster.Incarnation) (time.Duration, bool) { return f.askToken(w, l) }
	w.balancer.Update(f.list())
	w.client = upstream.NewClient(upstream.WithDialer(w))
	w.budget = proxy.NewBudget(0.2, 100, 10*time.Second, func() int { return 1 })
	w.poison, w.trials = poison.NewTable(func(poison.Change) {}), f.trials
	w.askTrial = func(k poison.Key, parts []poison.Key, d time.Duration) (func(), bool) {
		return f.askTrial(w, k, parts, d)
	}
	w.proxy = w.newTestProxy()
	w.proxy.SetConfig(configuration())
	go w.simulateTraffic(ctx)
	f.mu.Lock()
	w.self = member.Entry{Name: fmt.Sprintf("g%d", len(f.gateways)), Zone: "a", Heeds: true}
	f.gateways = append(f.gateways, w)
	f.mu.Unlock()
	f.assignEndpoints()
}

// assignEndpoints assigns the endpoints to the gateways that are alive.
func (f *fleet) assignEndpoints() {
	live := f.alive()
	for _, w := range live {
		w.balancer.SetHeld(affinity.Held(f.list(), entries(live), w.self.Name), time.Now())
	}
}

// list returns the endpoints as recorded in the store.
func (f *fleet) list() *roster.List {
	f.mu.Lock()
	defer f.mu.Unlock()
	list := &roster.List{Revision: 1, Endpoints: map[string]*roster.Endpoint{}}
	for addr := range f.endpoints {
		id := addr
		if n := f.starts[addr]; n > 0 {
			id = fmt.Sprintf("%s-%d", addr, n)
			list.Revision += int64(n)
		}
		list.Endpoints[id] = &roster.Endpoint{ID: id, Service: "s", Addr: addr, Zone: "a", Slots: 16,
			Weights: []roster.Weights{{Model: "m", Version: 1}}}
	}
	return list
}

// othersAt returns the number of requests that all gateways except w have at an endpoint.
func (f *fleet) othersAt(w *harness, l roster.Incarnation) int {
	n := 0
	for _, other := range f.alive() {
		if other != w {
			n += other.loadAtHeartbeat(l)
		}
	}
	return n
}

// loadAtHeartbeat returns the number of requests that the gateway had at an endpoint at its last
// heartbeat.
func (w *harness) loadAtHeartbeat(l roster.Incarnation) int {
	w.reportedMu.Lock()
	defer w.reportedMu.Unlock()
	return w.reportedLoad[l]
}

// heartbeat is the heartbeat interval.
const heartbeat = 200 * time.Millisecond

// sendHeartbeats exchanges loads and advisories between the gateways until ctx ends.
func (f *fleet) sendHeartbeats(ctx context.Context) {
	for wait.For(ctx, heartbeat) {
		for _, w := range f.alive() {
			inFlight := w.balancer.InFlight()
			w.reportedMu.Lock()
			w.reportedLoad = inFlight
			w.reportedMu.Unlock()
			f.shareAdvisories(w)
			f.sharePoison(w)
		}
	}
}

// sharePoison sends the records of crashes that are due at w to the other gateways.
func (f *fleet) sharePoison(w *harness) {
	now := time.Now()
	records := w.poison.Gossip(false, now)
	for _, other := range f.alive() {
		if other != w {
			other.poison.Merge(records, now)
		}
	}
}

// askTrial asks the first gateway, a few milliseconds away, for the lease on a trial. As in a running
// fleet, both exchange their records of the parts, also when the lease is released.
func (f *fleet) askTrial(w *harness, k poison.Key, parts []poison.Key, d time.Duration) (release func(), granted bool) {
	owner := f.alive()[0]
	holder := fmt.Sprintf("%p", new(int))
	time.Sleep(4 * time.Millisecond)
	owner.poison.Merge(w.poison.Records(parts), time.Now())
	granted = f.trials.Begin(k, holder, d, time.Now())
	w.poison.Merge(owner.poison.Records(parts), time.Now())
	return func() {
		owner.poison.Merge(w.poison.Records(parts), time.Now())
		f.trials.End(k, holder)
	}, granted
}

// crash ends the process of an endpoint and starts it again under another ID after restartTime.
func (f *fleet) crash(addr string) {
	for _, w := range f.alive() {
		w.setDown(addr, true)
	}
	f.endpoints[addr].closeAll()
	time.AfterFunc(restartTime, func() {
		f.mu.Lock()
		f.starts[addr]++
		f.mu.Unlock()
		for _, w := range f.alive() {
			w.setDown(addr, false)
			w.balancer.Update(f.list())
		}
		f.assignEndpoints()
	})
}

// shareAdvisories sends the advisories that endpoints gave to w to the other gateways.
func (f *fleet) shareAdvisories(w *harness) {
	now := time.Now()
	advisories := w.balancer.Advisories(false, now)
	for _, other := range f.alive() {
		if other != w {
			other.balancer.MergeAdvisories(advisories, now)
		}
	}
}

// generateLoad sends requests for path to each gateway at the given interval for d.
func (f *fleet) generateLoad(path string, every, d time.Duration) {
	f.generateLoadAt(f.alive(), path, every, d)
}

// without returns the gateways that have not ended, except one.
func (f *fleet) without(one *harness) []*harness {
	return slices.DeleteFunc(f.alive(), func(w *harness) bool { return w == one })
}

// generateLoadAt does the same with some gateways, and returns how many requests succeeded.
func (f *fleet) generateLoadAt(live []*harness, path string, every, d time.Duration) int {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	defer cancel()
	go f.sendHeartbeats(ctx)
	var mu sync.Mutex
	served := 0
	var senders sync.WaitGroup
	for _, w := range live {
		time.Sleep(every / time.Duration(len(live)))
		senders.Go(func() {
			for n := 0; wait.For(ctx, every) && !f.isDead(w); n++ {
				senders.Go(func() {
					a := w.send("POST", path, "", "Id", fmt.Sprintf("%s-%d", w.self.Name, n))
					mu.Lock()
					defer mu.Unlock()
					if a.Code == 200 {
						served++
					}
				})
			}
		})
	}
	senders.Wait()
	return served
}

// askToken asks the holder of an endpoint, a few milliseconds away, for permission to send a
// request there.
func (f *fleet) askToken(w *harness, l roster.Incarnation) (opensIn time.Duration, granted bool) {
	holder := f.holder(l.ID)
	if holder == nil || holder == w {
		return 0, false
	}
	requestedAt := time.Now()
	time.Sleep(4 * time.Millisecond)
	now := time.Now()
	granted, opensIn = holder.balancer.Grant(w.self.Name, l, w.balancer.ColdFor(l, requestedAt), now)
	w.balancer.ApplyTokenReply(l, balance.TokenReply{Granted: granted, OpensIn: opensIn, RequestedAt: requestedAt}, now)
	return opensIn, granted
}

// isDead reports whether a gateway has ended.
func (f *fleet) isDead(w *harness) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.dead[w]
}

// maxArrivals returns the largest number of requests that reached an endpoint within d, starting
// after the given time.
func (e *endpoint) maxArrivals(d time.Duration, after time.Time) int {
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

// arrivalsAfter returns the number of requests that reached an endpoint after the given time.
func (e *endpoint) arrivalsAfter(after time.Time) int {
	n := 0
	for _, at := range e.arrivals() {
		if at.After(after) {
			n++
		}
	}
	return n
}

// byGateway returns the number of requests that reached an endpoint from each gateway.
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
