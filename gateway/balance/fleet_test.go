package balance_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/silverdeck/silverdeck/gateway/affinity"
	"github.com/silverdeck/silverdeck/gateway/balance"
	"github.com/silverdeck/silverdeck/member"
	"github.com/silverdeck/silverdeck/roster"
)

// What a played fleet does, all as on deployments that were seen.
const (
	// slots is how many requests an endpoint runs at once; more wait there.
	slots = 8
	// meanRun is how long a request runs in the mean, of which prefill is reading.
	meanRun = 600 * time.Millisecond
	prefill = 60 * time.Millisecond
	// heartbeatEvery is how often gateways tell their loads, heartbeatDelay how old they
	// are when they arrive.
	heartbeatEvery = 200 * time.Millisecond
	heartbeatDelay = 100 * time.Millisecond
	// playFor is for how long requests arrive.
	playFor = 10 * time.Second
	// maxWaiting is how many requests wait at an endpoint before it turns others away.
	maxWaiting = slots
	// lateAfter is for how long a request may wait for a slot.
	lateAfter = 200 * time.Millisecond
)

// shape is a fleet and its load. Numbers of gateways and endpoints are those of one zone.
type shape struct {
	zones, gateways, endpoints int
	// load is the requests that run, for each slot of all endpoints.
	load float64
	// first is how many times as many requests arrive in the first zone as in others.
	first float64
	// holding is the share of the endpoints that hold the weights, by lot; load is that of
	// these.
	holding float64
}

// event is something that happens in a play.
type event struct {
	at time.Duration
	do func()
}

// events are those to come, the next one first, for container/heap.
type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at < e[j].at }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// server is an endpoint: it runs slots requests and keeps others waiting.
type server struct {
	running int
	waiting []func()
}

// fleet is gateways that send requests to endpoints, on virtual time.
type fleet struct {
	now       time.Duration
	events    events
	rand      *rand.Rand
	gateways  []*balance.Balancer
	servers   map[string]*server
	told      []map[roster.Life]int
	toldByAll map[roster.Life]int
	holding   int

	asked, refused, late int
	// turnedAway are the requests that an endpoint did not take.
	turnedAway int
}

// play lets requests arrive at a fleet and returns it when all have ended.
func play(s shape, seed uint64) *fleet {
	f := &fleet{rand: rand.New(rand.NewPCG(seed, 1)), servers: map[string]*server{}, toldByAll: map[roster.Life]int{}}
	list := &roster.List{Endpoints: map[string]*roster.Endpoint{}}
	var live []member.Entry
	for z := range s.zones {
		zone := fmt.Sprintf("z%d", z)
		for i := range s.endpoints {
			id := fmt.Sprintf("%s-e%02d", zone, i)
			list.Endpoints[id] = &roster.Endpoint{ID: id, Service: "s", Addr: id, Zone: zone, Slots: slots}
			if f.rand.Float64() < s.holding {
				list.Endpoints[id].Weights = []roster.Weights{{Model: "m", Version: 1}}
				f.holding++
			}
			f.servers[id] = &server{}
		}
		for i := range s.gateways {
			live = append(live, member.Entry{Name: fmt.Sprintf("%s-g%02d", zone, i), Zone: zone})
		}
	}
	for g, self := range slices.Clone(live) {
		b := balance.New(balance.Config{
			Zone:      self.Zone,
			OtherLoad: func(l roster.Life) int { return f.toldByAll[l] - f.told[g][l] },
			Random:    f.rand.Float64,
		})
		b.Update(list)
		b.Prefer(affinity.Preferred(list, live, self.Name))
		f.gateways = append(f.gateways, b)
		f.told = append(f.told, nil)
	}
	f.arrive(s, f.weights(s))
	f.tell()
	for len(f.events) > 0 {
		next := heap.Pop(&f.events).(event)
		f.now = next.at
		next.do()
	}
	return f
}

// weights returns the part of the requests that comes to each gateway, summed up. Clients
// are no fewer than gateways, but not the same number for each.
func (f *fleet) weights(s shape) []float64 {
	var out []float64
	sum := 0.0
	for g := range f.gateways {
		w := 0.5 + f.rand.Float64()
		if g < s.gateways {
			w *= s.first
		}
		sum += w
		out = append(out, sum)
	}
	return out
}

func (f *fleet) after(d time.Duration, do func()) {
	heap.Push(&f.events, event{f.now + d, do})
}

// arrive lets one request come to one of the gateways, and then the next.
func (f *fleet) arrive(s shape, weights []float64) {
	draw := f.rand.Float64() * weights[len(weights)-1]
	g, _ := slices.BinarySearch(weights, draw)
	f.request(f.gateways[g])
	between := float64(meanRun) / (s.load * float64(f.holding*slots))
	if f.now < playFor {
		f.after(time.Duration(f.rand.ExpFloat64()*between), func() { f.arrive(s, weights) })
	}
}

// tell lets all gateways tell their loads, and then again.
func (f *fleet) tell() {
	loads := make([]map[roster.Life]int, len(f.gateways))
	sum := map[roster.Life]int{}
	for g, b := range f.gateways {
		loads[g] = b.InFlight()
		for l, n := range loads[g] {
			sum[l] += n
		}
	}
	f.after(heartbeatDelay, func() { f.told, f.toldByAll = loads, sum })
	if f.now < playFor {
		f.after(heartbeatEvery, f.tell)
	}
}

// request is a stream that comes to gateway b.
func (f *fleet) request(b *balance.Balancer) {
	f.asked++
	came := f.now
	lease, err := b.Pick(&balance.Query{Service: "s", Model: "m", MinVersion: 1, MaxLoad: 1.25, Prefill: prefill}, at(0).Add(f.now))
	if err != nil {
		f.refused++
		return
	}
	x := f.servers[lease.Record.ID]
	run := func() {
		if f.now-came > lateAfter {
			f.late++
		}
		x.running++
		takes := prefill + time.Duration(f.rand.ExpFloat64()*float64(meanRun-prefill))
		f.after(prefill, lease.PrefillDone)
		f.after(takes, func() {
			lease.Done(balance.Served, at(0).Add(f.now))
			x.next()
		})
	}
	if x.running < slots {
		run()
		return
	}
	if len(x.waiting) >= maxWaiting {
		f.turnedAway++
		lease.Done(balance.Refused, at(0).Add(f.now))
		return
	}
	x.waiting = append(x.waiting, run)
}

// next takes a request off that has run, and begins one that waits.
func (x *server) next() {
	x.running--
	if len(x.waiting) == 0 {
		return
	}
	run := x.waiting[0]
	x.waiting = x.waiting[1:]
	run()
}

// A calm day with 149 gateways and 204 endpoints had one request of ten late, some by
// seconds, and the busiest endpoint had 1.4 times the mean, while other endpoints stood
// idle; with 9 gateways at the same load hardly any was. Each gateway preferred one or two
// endpoints. What was too much for these it sent to those that had the least load by what
// others had told 0.1 to 0.3 s before, and so did all others, to the same ones.
func TestTheFleetPlacesRequestsAsWellWhateverItsSize(t *testing.T) {
	for _, x := range []struct {
		shape
		// late and refused are the shares that may be.
		late, refused float64
	}{
		{shape{zones: 3, gateways: 3, endpoints: 4, load: 0.7, first: 1, holding: 1}, 0.02, 0.001},
		{shape{zones: 3, gateways: 3, endpoints: 4, load: 0.85, first: 1, holding: 1}, 0.08, 0.02},
		{shape{zones: 3, gateways: 13, endpoints: 15, load: 0.7, first: 1, holding: 1}, 0.02, 0.001},
		{shape{zones: 3, gateways: 13, endpoints: 15, load: 0.85, first: 1, holding: 1}, 0.08, 0.001},
		{shape{zones: 5, gateways: 19, endpoints: 24, load: 0.7, first: 1, holding: 1}, 0.02, 0.001},
		{shape{zones: 5, gateways: 19, endpoints: 24, load: 0.85, first: 1, holding: 1}, 0.08, 0.001},
		{shape{zones: 5, gateways: 19, endpoints: 24, load: 0.7, first: 1.5, holding: 1}, 0.04, 0.001},
		{shape{zones: 5, gateways: 19, endpoints: 24, load: 0.7, first: 1, holding: 0.2}, 0.06, 0.001},
		{shape{zones: 5, gateways: 19, endpoints: 24, load: 0.7, first: 1, holding: 0.5}, 0.06, 0.001},
		{shape{zones: 5, gateways: 30, endpoints: 24, load: 0.7, first: 1, holding: 1}, 0.03, 0.001},
		{shape{zones: 5, gateways: 30, endpoints: 24, load: 0.85, first: 1, holding: 1}, 0.10, 0.001},
	} {
		t.Run(fmt.Sprintf("%+v", x.shape), func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			f := play(x.shape, 1)
			late, refused := float64(f.late)/float64(f.asked), float64(f.refused)/float64(f.asked)
			t.Logf("%+v: of %d requests %.4f late, %.4f refused", x.shape, f.asked, late, refused)
			g.Expect(late).To(BeNumerically("<=", x.late))
			g.Expect(refused).To(BeNumerically("<=", x.refused))
		})
	}
}

// In a steady overload of 1.3 times what the endpoints finish, half of all streams were served
// in time and a third late; one request of twenty was turned away by an endpoint. What a
// gateway's own endpoints had no room for went to those of others, which looked free by loads
// 0.1 to 0.3 s old, and took the places there from callers who then were late. Three of four
// can be served in time.
func TestInOverloadTheFleetServesInTimeWhatItCan(t *testing.T) {
	for _, s := range []shape{
		{zones: 3, gateways: 13, endpoints: 15, load: 1.3, first: 1, holding: 1},
		{zones: 3, gateways: 13, endpoints: 15, load: 1.3, first: 1.3, holding: 1},
		{zones: 5, gateways: 19, endpoints: 24, load: 1.3, first: 1, holding: 1},
	} {
		t.Run(fmt.Sprintf("%+v", s), func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			f := play(s, 1)
			asked := float64(f.asked)
			inTime := (asked - float64(f.late+f.refused+f.turnedAway)) / asked
			t.Logf("of %d requests %.4f in time, %.4f late, %.4f refused, %.4f turned away", f.asked, inTime, float64(f.late)/asked, float64(f.refused)/asked, float64(f.turnedAway)/asked)
			g.Expect(inTime).To(BeNumerically(">=", 0.75))
			g.Expect(float64(f.turnedAway) / asked).To(BeNumerically("<=", 0.02))
		})
	}
}
