package stage_test

import (
	"bytes"
	"context"
	"crypto/sha256"
	"errors"
	"fmt"
	"io"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	. "github.com/onsi/gomega"

	"github.com/silverdeck/silverdeck/sidecar/stage"
	"github.com/silverdeck/silverdeck/swarm"
	"github.com/silverdeck/silverdeck/weights"
)

const (
	chunks    = 12
	chunkSize = 4 << 10
	limit     = 8 * time.Second
)

// chunk returns the contents of chunk i of a version.
func chunk(version int64, i int) []byte {
	return bytes.Repeat([]byte(fmt.Sprintf("%03d%05d", version, i)), chunkSize/8)
}

// fakeVM implements an endpoint, an origin and a fleet with a single member.
type fakeVM struct {
	mu sync.Mutex

	// Endpoint state.
	runs        int64
	startMillis int64
	// ignoreLoads makes load orders have no effect.
	ignoreLoads bool
	// restarts are the start times of the restarts that gateways were notified of.
	restarts []int64
	queued   int
	sequence int64
	placed   map[int][]byte
	orders   []order
	refuse   int
	loadTime time.Duration
	// corruptNextPlace corrupts the next chunk that is staged.
	corruptNextPlace bool

	// Origin state.
	delay time.Duration
	// unavailable is a version whose chunks cannot be read. originDown makes all chunks
	// unreadable.
	unavailable  int64
	originDown   bool
	rate         float64
	corruptReads map[int]int
	reads        int
	// corruptManifests is the number of manifests to corrupt, manifests the number read.
	corruptManifests, manifests int

	unloaded int

	pauses   []time.Time
	notified []int64
	// running is the number of running requests.
	running  int
	capacity stage.Capacity
	// leaseGranted is set if lease requests are granted, leaseLater if they are refused but will
	// be granted later. leaseRequests holds the times of the requests.
	leaseGranted, leaseLater bool
	// lease, if set, is the answer to lease requests.
	lease         *stage.Lease
	leaseRequests []time.Time
}

// order is a load order as accepted by the endpoint.
type order struct {
	version int64
	at      time.Time
	queued  int
	// matches is set if all staged chunks were those of the version.
	matches bool
	// finish is set if running requests were to end first.
	finish bool
}

// newFakeVM returns a fakeVM whose endpoint runs the given version, 0 for none.
func newFakeVM(runs int64) *fakeVM {
	return &fakeVM{runs: runs, placed: map[int][]byte{}, corruptReads: map[int]int{}, loadTime: 300 * time.Millisecond, delay: 20 * time.Millisecond}
}

func (m *fakeVM) Report(context.Context) (*stage.Report, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	r := &stage.Report{StartMillis: m.startMillis, Sequence: m.sequence, Queued: m.queued, Running: m.running}
	if m.runs > 0 {
		r.Loaded = []stage.LoadedWeights{{Model: "m", Version: m.runs, Complete: true}}
	}
	return r, nil
}

func (m *fakeVM) Place(_ context.Context, _ string, i int, data []byte) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.corruptNextPlace {
		data = append([]byte("broken"), data[6:]...)
		m.corruptNextPlace = false
	}
	m.placed[i] = data
	return nil
}

func (m *fakeVM) Placed(_ context.Context, _ string, i int) ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.placed[i], nil
}

func (m *fakeVM) Load(_ context.Context, o stage.Order) error {
	m.mu.Lock()
	if m.refuse > 0 {
		m.refuse--
		m.mu.Unlock()
		return &stage.OrderError{Status: 409}
	}
	taken := order{version: o.Version, at: time.Now(), queued: m.queued, matches: true, finish: o.Finish}
	for i := range chunks {
		taken.matches = taken.matches && bytes.Equal(m.placed[i], chunk(o.Version, i))
	}
	m.orders = append(m.orders, taken)
	m.sequence++
	m.mu.Unlock()
	time.Sleep(m.loadTime)
	m.set(func() {
		if !m.ignoreLoads {
			m.runs = o.Version
		}
	})
	return nil
}

func (m *fakeVM) Unload(_ context.Context, o stage.Order) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.unloaded++
	m.sequence++
	m.runs = 0
	return nil
}

func (m *fakeVM) Manifest(_ context.Context, _ string, version int64) (*weights.Manifest, error) {
	var digests []weights.Digest
	for i := range chunks {
		digests = append(digests, sha256.Sum256(chunk(version, i)))
	}
	m.set(func() {
		m.manifests++
		if m.corruptManifests > 0 {
			m.corruptManifests--
			digests[4] = sha256.Sum256([]byte("spoilt"))
		}
	})
	return weights.NewSHA256Manifest(chunkSize, digests)
}

func (m *fakeVM) Chunk(ctx context.Context, _ string, version int64, i int) ([]byte, error) {
	m.mu.Lock()
	m.reads++
	spoilt := m.corruptReads[i] > 0
	if spoilt {
		m.corruptReads[i]--
	}
	delay, lost := m.delay, m.unavailable == version || m.originDown
	m.mu.Unlock()
	if lost {
		return nil, errUnavailable
	}
	select {
	case <-time.After(delay):
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	if spoilt {
		return []byte("nonsense"), nil
	}
	return chunk(version, i), nil
}

func (m *fakeVM) Rate(context.Context) float64 { return m.rate }

func (m *fakeVM) Members(context.Context) ([]swarm.Member, error) {
	return []swarm.Member{self}, nil
}

func (m *fakeVM) Pause(context.Context, time.Duration) {
	m.set(func() { m.pauses = append(m.pauses, time.Now()) })
}

func (m *fakeVM) NotifyStarted(_ context.Context, startMillis int64, restarted bool) {
	if restarted {
		m.set(func() { m.restarts = append(m.restarts, startMillis) })
	}
}

func (m *fakeVM) RequestLoadLease(context.Context, stage.LeaseRequest) stage.Lease {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.leaseRequests = append(m.leaseRequests, time.Now())
	if m.lease != nil {
		return *m.lease
	}
	return stage.Lease{Granted: m.leaseGranted, AvailableLater: m.leaseLater, RetryAfter: 100 * time.Millisecond}
}

func (m *fakeVM) Capacity() stage.Capacity { return m.capacity }

func (m *fakeVM) NotifyLoaded(_ context.Context, _ string, version int64) {
	m.set(func() { m.notified = append(m.notified, version) })
}

func (m *fakeVM) set(f func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	f()
}

// observed is a snapshot of the state that tests check.
type observed struct {
	orders []order
	pauses int
	told   []int64
	reads  int
	// unloaded is the number of accepted unload orders, manifests the number of manifests read.
	unloaded, manifests int
}

func (m *fakeVM) snapshot() observed {
	m.mu.Lock()
	defer m.mu.Unlock()
	return observed{orders: slices.Clone(m.orders), pauses: len(m.pauses), told: slices.Clone(m.notified), reads: m.reads, unloaded: m.unloaded, manifests: m.manifests}
}

// servingVersion returns the version on which a request that arrives now begins, or 0.
func (m *fakeVM) servingVersion() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.runs
}

// loadOrders returns the versions of the accepted load orders.
func (m *fakeVM) loadOrders() []int64 {
	var out []int64
	for _, o := range m.snapshot().orders {
		out = append(out, o.version)
	}
	return out
}

var self = swarm.Member{VM: "one", Addr: "one:1", Zone: "a", Region: "east"}

// noPeers is a transport without reachable peers.
type noPeers struct{}

var errUnavailable = errors.New("nobody")

func (noPeers) Have(ctx context.Context, _ swarm.Member, _ weights.Digest, _ int) ([]int, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

func (noPeers) Chunk(context.Context, swarm.Member, swarm.ChunkRequest) ([]byte, error) {
	return nil, errUnavailable
}

// testEnv runs stagers in virtual time.
type testEnv struct {
	*WithT
	ctx context.Context
}

// start runs a stager of this VM. Fields of cfg that are the same in all tests are filled in.
func (b *testEnv) start(cfg stage.Config) *stage.Stager {
	cfg.Self, cfg.VersionLimit, cfg.Log = self, limit, log.New(io.Discard)
	s := stage.New(cfg)
	go s.Run(b.ctx)
	return s
}

// runVirtual runs f in virtual time and then waits for the goroutines that it started.
func runVirtual(t *testing.T, f func(b *testEnv)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		f(&testEnv{WithT: NewWithT(t), ctx: ctx})
		cancel()
		synctest.Wait()
		time.Sleep(time.Minute)
	})
}

// runStager runs f with a stager whose endpoint runs the given version.
func runStager(t *testing.T, runs int64, f func(g *WithT, m *fakeVM, s *stage.Stager)) {
	m := newFakeVM(runs)
	runVirtual(t, func(b *testEnv) {
		f(b.WithT, m, b.start(stage.Config{Endpoint: m, Origin: m, Fleet: m, Peers: noPeers{}}))
	})
	for _, o := range m.snapshot().orders {
		NewWithT(t).Expect(o.matches).To(BeTrue(), "load order for version %d with other chunks staged", o.version)
	}
}

func TestEmptyEndpointLoadsImmediately(t *testing.T) {
	runStager(t, 0, func(g *WithT, m *fakeVM, s *stage.Stager) {
		s.SetTarget("m", 1, true)
		time.Sleep(1500 * time.Millisecond)
		g.Expect(m.loadOrders()).To(Equal([]int64{1}))
		g.Expect(m.snapshot().reads).To(Equal(chunks))
		g.Expect(m.snapshot().told).To(Equal([]int64{1}))
		g.Expect(m.snapshot().pauses).To(BeZero(), "no pause without loaded weights")
	})
}

func TestLoadsNewWeightsWithinLimitAfterPause(t *testing.T) {
	runStager(t, 1, func(g *WithT, m *fakeVM, s *stage.Stager) {
		named := time.Now()
		s.SetTarget("m", 2, false)
		time.Sleep(limit)
		g.Expect(m.loadOrders()).To(Equal([]int64{2}))
		g.Expect(m.snapshot().orders[0].at.Sub(named)).To(BeNumerically(">", limit/3), "not immediately")
		g.Expect(m.snapshot().orders[0].at.Sub(named)).To(BeNumerically("<", limit*9/10))
		g.Expect(m.snapshot().pauses).To(Equal(1))
		g.Expect(m.snapshot().told).To(Equal([]int64{2}))
	})
}

func TestALoadWaitsUntilNothingIsQueuedButNotForLong(t *testing.T) {
	runStager(t, 1, func(g *WithT, m *fakeVM, s *stage.Stager) {
		m.set(func() { m.queued = 2 })
		s.SetTarget("m", 2, false)
		for m.snapshot().pauses == 0 {
			time.Sleep(10 * time.Millisecond)
		}
		time.Sleep(200 * time.Millisecond)
		g.Expect(m.loadOrders()).To(BeEmpty())
		m.set(func() { m.queued = 0 })
		time.Sleep(50 * time.Millisecond)
		g.Expect(m.loadOrders()).To(Equal([]int64{2}))
	})
	runStager(t, 1, func(g *WithT, m *fakeVM, s *stage.Stager) {
		m.set(func() { m.queued = 2 })
		s.SetTarget("m", 2, false)
		time.Sleep(limit)
		g.Expect(m.loadOrders()).To(Equal([]int64{2}))
	})
}

func TestEndpointDrainsBeforeLoad(t *testing.T) {
	const answerTime = 400 * time.Millisecond
	// drains returns the time from the pause to the load order, with requests that end after the
	// given time.
	drains := func(g *WithT, m *fakeVM, s *stage.Stager, usual, runs time.Duration) time.Duration {
		m.set(func() { m.running, m.capacity = 12, stage.Capacity{Slots: 16, AnswerTime: usual} })
		s.SetTarget("m", 2, false)
		for m.snapshot().pauses == 0 {
			time.Sleep(10 * time.Millisecond)
		}
		time.AfterFunc(runs, func() { m.set(func() { m.running = 0 }) })
		time.Sleep(limit)
		g.Expect(m.loadOrders()).To(Equal([]int64{2}))
		return m.snapshot().orders[0].at.Sub(m.pauses[0])
	}
	runStager(t, 1, func(g *WithT, m *fakeVM, s *stage.Stager) {
		g.Expect(drains(g, m, s, answerTime, 300*time.Millisecond)).To(BeNumerically("~", 350*time.Millisecond, 50*time.Millisecond), "until no request runs")
	})
	runStager(t, 1, func(g *WithT, m *fakeVM, s *stage.Stager) {
		g.Expect(drains(g, m, s, answerTime, limit)).To(BeNumerically("~", 550*time.Millisecond, 50*time.Millisecond), "longer requests are interrupted")
	})
	runStager(t, 1, func(g *WithT, m *fakeVM, s *stage.Stager) {
		g.Expect(drains(g, m, s, 0, limit)).To(BeNumerically("<", 100*time.Millisecond), "response time unknown")
	})
}

func TestCorruptChunksAreNotLoaded(t *testing.T) {
	runStager(t, 0, func(g *WithT, m *fakeVM, s *stage.Stager) {
		m.set(func() { m.corruptReads[3], m.corruptReads[5], m.corruptNextPlace = 1, 2, true })
		s.SetTarget("m", 1, true)
		time.Sleep(limit)
		g.Expect(m.loadOrders()).To(Equal([]int64{1}))
	})
}

func TestChunksCorruptedAfterStagingAreReplaced(t *testing.T) {
	runStager(t, 1, func(g *WithT, m *fakeVM, s *stage.Stager) {
		s.SetTarget("m", 2, false)
		for m.snapshot().pauses == 0 {
			time.Sleep(time.Millisecond)
			m.set(func() {
				if len(m.placed) == chunks && !bytes.Equal(m.placed[7], []byte("bad")) && m.placed[7] != nil && m.reads == chunks {
					m.placed[7], m.reads = []byte("bad"), 0
				}
			})
		}
		time.Sleep(limit)
		g.Expect(m.loadOrders()).To(ContainElement(int64(2)))
	})
}

func TestStagedChunksAreNotFetchedAgain(t *testing.T) {
	runStager(t, 0, func(g *WithT, m *fakeVM, s *stage.Stager) {
		m.set(func() {
			for i := range chunks {
				m.placed[i] = chunk(1, i)
			}
		})
		s.SetTarget("m", 1, true)
		time.Sleep(time.Second)
		g.Expect(m.loadOrders()).To(Equal([]int64{1}))
		g.Expect(m.snapshot().reads).To(BeZero())
	})
}

func TestMismatchedManifestIsReadAgain(t *testing.T) {
	runStager(t, 0, func(g *WithT, m *fakeVM, s *stage.Stager) {
		m.set(func() { m.corruptManifests = 1 })
		s.SetTarget("m", 1, true)
		time.Sleep(20 * time.Second)
		g.Expect(m.loadOrders()).To(Equal([]int64{1}))
	})
}

func TestNewerVersionReplacesIncompleteDownload(t *testing.T) {
	runStager(t, 1, func(g *WithT, m *fakeVM, s *stage.Stager) {
		m.set(func() { m.delay = time.Second })
		s.SetTarget("m", 2, false)
		time.Sleep(1200 * time.Millisecond)
		s.SetTarget("m", 3, false)
		time.Sleep(3 * limit)
		g.Expect(m.loadOrders()).To(Equal([]int64{3}))
	})
}

func TestMostlyCompleteOlderVersionIsLoadedFirst(t *testing.T) {
	runStager(t, 1, func(g *WithT, m *fakeVM, s *stage.Stager) {
		m.set(func() { m.delay = 500 * time.Millisecond })
		s.SetTarget("m", 2, false)
		time.Sleep(2700 * time.Millisecond)
		s.SetTarget("m", 3, false)
		time.Sleep(time.Second)
		m.set(func() { m.delay = 3 * time.Second })
		time.Sleep(4 * limit)
		g.Expect(m.loadOrders()).To(Equal([]int64{2, 3}))
	})
}

func TestOlderVersionResumesWhileNewestIsUnavailable(t *testing.T) {
	runStager(t, 1, func(g *WithT, m *fakeVM, s *stage.Stager) {
		m.set(func() { m.delay, m.unavailable = 700*time.Millisecond, 3 })
		s.SetTarget("m", 2, false)
		time.Sleep(1500 * time.Millisecond)
		s.SetTarget("m", 3, false)
		time.Sleep(limit - 1500*time.Millisecond)
		g.Expect(m.loadOrders()).To(Equal([]int64{2}), "before the older version expires")
		m.set(func() { m.unavailable = 0 })
		time.Sleep(2 * limit)
		g.Expect(m.loadOrders()).To(Equal([]int64{2, 3}))
	})
}

func TestExpiredOlderVersionIsNotLoaded(t *testing.T) {
	runStager(t, 1, func(g *WithT, m *fakeVM, s *stage.Stager) {
		m.set(func() { m.delay, m.unavailable = 2*time.Second, 3 })
		s.SetTarget("m", 2, false)
		time.Sleep(2100 * time.Millisecond)
		s.SetTarget("m", 3, false)
		time.Sleep(3 * limit)
		g.Expect(m.loadOrders()).To(BeEmpty())
		m.set(func() { m.delay, m.unavailable = 20*time.Millisecond, 0 })
		time.Sleep(limit)
		g.Expect(m.loadOrders()).To(Equal([]int64{3}))
	})
}

func TestRestartedEndpointLoadsAgain(t *testing.T) {
	runStager(t, 0, func(g *WithT, m *fakeVM, s *stage.Stager) {
		s.SetTarget("m", 1, true)
		time.Sleep(2 * time.Second)
		m.set(func() { m.runs, m.sequence = 0, 0 })
		time.Sleep(2 * time.Second)
		g.Expect(m.loadOrders()).To(Equal([]int64{1, 1}))
		g.Expect(m.snapshot().reads).To(Equal(chunks))
	})
}

func TestRejectedOrderIsRepeated(t *testing.T) {
	runStager(t, 0, func(g *WithT, m *fakeVM, s *stage.Stager) {
		m.set(func() { m.refuse = 2 })
		s.SetTarget("m", 1, true)
		time.Sleep(3 * time.Second)
		g.Expect(m.loadOrders()).To(Equal([]int64{1}))
	})
}
