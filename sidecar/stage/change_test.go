package stage_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	. "github.com/onsi/gomega"

	"github.com/silverdeck/silverdeck/leases"
	"github.com/silverdeck/silverdeck/sidecar/stage"
	"github.com/silverdeck/silverdeck/swarm"
)

// Properties of the fleet whose endpoints change weights under load.
const (
	fleetSize  = 58
	fleetSlots = 12
	// meanAnswer is the mean duration of a stream.
	meanAnswer = time.Second
)

// loadedFleet is a fleet of endpoints that run streams. Gateways hear of pauses at once and send a
// stream to the endpoint with the fewest.
type loadedFleet struct {
	mu sync.Mutex
	// size is the number of endpoints.
	size      int
	endpoints []*loadedEndpoint
	table     *leases.Table
	// requests holds the times of the lease requests by VM.
	requests map[string][]time.Time
	// alone is set if each VM is the only member that it knows.
	alone bool
	// drainsLate is set if no endpoint drains before a newer version is complete.
	drainsLate bool
	// unanswered makes lease requests fail.
	unanswered bool
	// scheduled is set if sidecars state what the endpoint runs.
	scheduled bool
	// newsAge is how old the state of the endpoints may be by which leases are granted.
	newsAge time.Duration
	news    *leases.Fleet
	newsAt  time.Time
	// secondTable, if set, grants the leases of every other endpoint.
	secondTable *leases.Table
	changeStats
}

// changeStats is what the change of a fleet's weights cost.
type changeStats struct {
	// cut is the number of streams that were running when their endpoint loaded and resumed
	// elsewhere, mostOut the most endpoints that were paused or loading at once, refused the
	// streams, or their rests, that found no slot.
	cut, mostOut, asked, refused int
	// loads is the number of load orders, first and last the times of the first and last one.
	loads       int
	first, last time.Time
}

// loadedEndpoint is an endpoint of a loadedFleet with its sidecar's view of the gateways.
type loadedEndpoint struct {
	*fakeVM
	fleet *loadedFleet
	name  string
	odd   bool
	// finishing is set while streams end before a load.
	finishing   bool
	pausedUntil time.Time
	// streams holds the ends of the streams that run.
	streams map[*time.Timer]time.Time
}

func (e *loadedEndpoint) Report(ctx context.Context) (*stage.Report, error) {
	r, err := e.fakeVM.Report(ctx)
	e.fleet.mu.Lock()
	defer e.fleet.mu.Unlock()
	r.Running, r.Busy = len(e.streams), e.finishing
	return r, err
}

func (e *loadedEndpoint) Load(ctx context.Context, o stage.Order) error {
	f := e.fleet
	f.mu.Lock()
	f.loads++
	f.last = time.Now()
	if f.first.IsZero() {
		f.first = f.last
	}
	if o.Finish {
		e.finishing = true
		f.mu.Unlock()
		go e.finish(ctx, o)
		return nil
	}
	f.cut += len(e.streams)
	for t, end := range e.streams {
		t.Stop()
		delete(e.streams, t)
		f.place(time.Until(end))
	}
	f.mu.Unlock()
	return e.fakeVM.Load(ctx, o)
}

// finish loads once all streams have ended.
func (e *loadedEndpoint) finish(ctx context.Context, o stage.Order) {
	for busy := true; busy; time.Sleep(20 * time.Millisecond) {
		e.fleet.mu.Lock()
		busy = len(e.streams) > 0
		e.fleet.mu.Unlock()
	}
	_ = e.fakeVM.Load(ctx, o)
	e.fleet.mu.Lock()
	defer e.fleet.mu.Unlock()
	e.finishing = false
}

func (e *loadedEndpoint) Members(ctx context.Context) ([]swarm.Member, error) {
	e.fleet.mu.Lock()
	defer e.fleet.mu.Unlock()
	if e.fleet.alone {
		return []swarm.Member{{VM: e.name, Addr: e.name, Zone: "a", Region: "east"}}, nil
	}
	return e.fakeVM.Members(ctx)
}

func (e *loadedEndpoint) Pause(_ context.Context, d time.Duration) {
	f := e.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	e.pausedUntil = time.Now().Add(d)
	out := 0
	for _, other := range f.endpoints {
		if other.paused() {
			out++
		}
	}
	f.mostOut = max(f.mostOut, out)
}

// paused must be called with the fleet's mu held.
func (e *loadedEndpoint) paused() bool {
	return e.finishing || time.Now().Before(e.pausedUntil)
}

func (e *loadedEndpoint) NotifyLoaded(context.Context, string, int64) {
	e.fleet.mu.Lock()
	defer e.fleet.mu.Unlock()
	e.pausedUntil = time.Time{}
	e.fleet.table.Release(e.name)
	if e.fleet.secondTable != nil {
		e.fleet.secondTable.Release(e.name)
	}
}

func (e *loadedEndpoint) RequestLoadLease(_ context.Context, q stage.LeaseRequest) stage.Lease {
	f := e.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.unanswered {
		return stage.Lease{RetryAfter: 500 * time.Millisecond}
	}
	f.requests[e.name] = append(f.requests[e.name], time.Now())
	candidates := f.candidates()
	reply := stage.Lease{RetryAfter: leases.RetryAfter(f.size), AvailableLater: leases.CanGrantLater(candidates, e.name)}
	if !f.scheduled {
		reply.Granted = f.table.Acquire("s", e.name, candidates, q.For, time.Now())
		return reply
	}
	c := leases.Change{VM: e.name, Held: q.Held, Remaining: q.Remaining, Drain: q.Drain, NewerIn: q.NewerIn, Running: q.Running, DrainsAhead: q.DrainsAhead && !f.drainsLate}
	table := f.table
	if f.secondTable != nil && e.odd {
		table = f.secondTable
	}
	g := table.Schedule("s", c, candidates, q.For, time.Now())
	reply.Granted, reply.Drain, reply.Scheduled, reply.RetryAfter, reply.Spare = g.Given, g.Drain, true, g.RetryAfter, g.Spare
	reply.Turn = g.Turn
	return reply
}

// candidates returns the state of the endpoints as the grantor knows it. The caller must hold f.mu.
func (f *loadedFleet) candidates() *leases.Fleet {
	if f.news != nil && time.Since(f.newsAt) < f.newsAge {
		return f.news
	}
	f.news, f.newsAt = &leases.Fleet{}, time.Now()
	for _, e := range f.endpoints {
		f.news.Endpoints = append(f.news.Endpoints, leases.Endpoint{
			VM: e.name, Slots: fleetSlots, InFlight: len(e.streams),
			Unavailable: e.paused(), Paused: e.paused(), Version: e.servingVersion(),
		})
	}
	return f.news
}

// place starts a stream at the endpoint with the fewest. The caller must hold f.mu.
func (f *loadedFleet) place(d time.Duration) {
	var best *loadedEndpoint
	for _, e := range f.endpoints {
		if !e.paused() && e.servingVersion() > 0 && len(e.streams) < fleetSlots && (best == nil || len(e.streams) < len(best.streams)) {
			best = e
		}
	}
	if best == nil {
		f.refused++
		return
	}
	var t *time.Timer
	t = time.AfterFunc(d, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		delete(best.streams, t)
	})
	best.streams[t] = time.Now().Add(d)
}

// runLoad sends streams of exponential duration at load times the fleet's capacity.
func (f *loadedFleet) runLoad(ctx context.Context, load float64) {
	random := rand.New(rand.NewPCG(1, 2))
	rate := load * float64(f.size*fleetSlots) / meanAnswer.Seconds()
	for ctx.Err() == nil {
		time.Sleep(time.Duration(random.ExpFloat64() / rate * float64(time.Second)))
		f.mu.Lock()
		f.asked++
		f.place(time.Duration(random.ExpFloat64() * float64(meanAnswer)))
		f.mu.Unlock()
	}
}

// changeFleet lets f play with a fleet at a load, and returns the cost of its changes of weights.
func changeFleet(t *testing.T, load float64, scheduled bool, play func(b *testEnv, f *loadedFleet, stagers []*stage.Stager)) changeStats {
	f := &loadedFleet{size: fleetSize, table: leases.NewTable(), scheduled: scheduled}
	f.change(t, load, play)
	return f.changeStats
}

// change lets play change the weights of the fleet at a load.
func (f *loadedFleet) change(t *testing.T, load float64, play func(b *testEnv, f *loadedFleet, stagers []*stage.Stager)) {
	f.requests = map[string][]time.Time{}
	runVirtual(t, func(b *testEnv) {
		var stagers []*stage.Stager
		for i := range f.size {
			vm := newFakeVM(1)
			vm.capacity = stage.Capacity{Slots: fleetSlots, AnswerTime: meanAnswer}
			e := &loadedEndpoint{fakeVM: vm, fleet: f, name: fmt.Sprintf("vm%d", i), odd: i%2 == 1, streams: map[*time.Timer]time.Time{}}
			f.endpoints = append(f.endpoints, e)
			s := stage.New(stage.Config{Self: swarm.Member{VM: e.name, Addr: e.name, Zone: "a", Region: "east"}, Endpoint: e, Origin: e, Fleet: e, Peers: noPeers{}, VersionLimit: limit, Log: log.New(io.Discard)})
			stagers = append(stagers, s)
			go s.Run(b.ctx)
		}
		go f.runLoad(b.ctx, load)
		time.Sleep(3 * meanAnswer)
		f.mu.Lock()
		f.changeStats = changeStats{}
		f.mu.Unlock()
		play(b, f, stagers)
	})
}

// nameVersion names a version and returns the time from which older weights must not be used.
func nameVersion(stagers []*stage.Stager, version int64) time.Time {
	for _, s := range stagers {
		s.SetTarget("m", version, false)
	}
	return time.Now().Add(limit)
}

// expectAllRun checks that all endpoints run a version, or accept no streams until they do.
func (f *loadedFleet) expectAllRun(b *testEnv, version int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, e := range f.endpoints {
		b.Expect(e.finishing || e.servingVersion() == version).To(BeTrue(), e.name)
	}
}

// Guards against endpoints of a fleet without spare capacity that are all refused leases until the
// latest time and then load at once without a drain.
func TestAFleetUnderLoadChangesEvenlyWithinTheLimit(t *testing.T) {
	for _, load := range []float64{0.8, 1.2} {
		t.Run(fmt.Sprint(load), func(t *testing.T) {
			play := func(b *testEnv, f *loadedFleet, stagers []*stage.Stager) {
				end := nameVersion(stagers, 2)
				time.Sleep(limit)
				f.expectAllRun(b, 2)
				b.Expect(f.loads).To(Equal(fleetSize))
				b.Expect(f.last).To(BeTemporally("<", end.Add(-500*time.Millisecond)))
			}
			before := changeFleet(t, load, false, play)
			after := changeFleet(t, load, true, play)
			t.Logf("before %+v", before)
			t.Logf("after  %+v", after)
			g := NewWithT(t)
			g.Expect(after.mostOut).To(BeNumerically("<=", fleetSize/2), "out at once")
			g.Expect(after.cut+after.refused).To(BeNumerically("<", before.cut+before.refused), "streams cut or refused")
			if load < 1 {
				g.Expect(after.refused).To(BeNumerically("<=", after.asked/100), "refused although all fit")
			}
		})
	}
}

// Guards against an endpoint that loads two versions in quick succession, and cuts streams twice.
func TestAFleetChangesOnceToTheNewerOfTwoVersions(t *testing.T) {
	play := func(b *testEnv, f *loadedFleet, stagers []*stage.Stager) {
		nameVersion(stagers, 2)
		time.Sleep(time.Second)
		for _, e := range f.endpoints {
			e.set(func() { e.delay = 250 * time.Millisecond })
		}
		time.Sleep(limit/4 - time.Second)
		nameVersion(stagers, 3)
		time.Sleep(limit)
		f.expectAllRun(b, 3)
	}
	before, after := changeFleet(t, 0.8, false, play), changeFleet(t, 0.8, true, play)
	t.Logf("before %+v", before)
	t.Logf("after  %+v", after)
	g := NewWithT(t)
	g.Expect(after.loads).To(BeNumerically("<=", fleetSize*11/10))
	g.Expect(after.cut+after.refused).To(BeNumerically("<", before.cut+before.refused), "streams cut or refused")
}

// Guards against a burst of loads when the gateway that grants leases ends.
func TestAGrantorThatEndsDoesNotMakeAllChangeAtOnce(t *testing.T) {
	for name, away := range map[string]time.Duration{"replaced": time.Second, "not replaced": limit} {
		t.Run(name, func(t *testing.T) {
			after := changeFleet(t, 0.8, true, func(b *testEnv, f *loadedFleet, stagers []*stage.Stager) {
				nameVersion(stagers, 2)
				time.Sleep(limit / 2)
				f.mu.Lock()
				f.unanswered = true
				f.table = leases.NewTable()
				f.mu.Unlock()
				time.Sleep(away)
				f.mu.Lock()
				f.unanswered = false
				f.mu.Unlock()
				time.Sleep(limit/2 - min(away, limit/2))
				f.expectAllRun(b, 2)
			})
			t.Logf("%+v", after)
			NewWithT(t).Expect(after.mostOut).To(BeNumerically("<=", fleetSize/2))
		})
	}
}

// Guards against more endpoints that are out than the rule allows while the news of them is late or
// two gateways both grant leases.
func TestLateNewsAndTwoGrantorsHardlyChangeThePace(t *testing.T) {
	for name, disturb := range map[string]func(f *loadedFleet){
		"late news":    func(f *loadedFleet) { f.newsAge = 300 * time.Millisecond },
		"two grantors": func(f *loadedFleet) { f.secondTable = leases.NewTable() },
	} {
		t.Run(name, func(t *testing.T) {
			after := changeFleet(t, 0.8, true, func(b *testEnv, f *loadedFleet, stagers []*stage.Stager) {
				f.mu.Lock()
				disturb(f)
				f.mu.Unlock()
				nameVersion(stagers, 2)
				time.Sleep(limit)
				f.expectAllRun(b, 2)
			})
			t.Logf("%+v", after)
			NewWithT(t).Expect(after.mostOut).To(BeNumerically("<=", fleetSize/2))
		})
	}
}
