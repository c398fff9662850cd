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

// chunk returns chunk i of a version.
func chunk(version int64, i int) []byte {
	return bytes.Repeat([]byte(fmt.Sprintf("%03d%05d", version, i)), chunkSize/8)
}

// machine is an endpoint, an origin and a fleet of one.
type machine struct {
	mu sync.Mutex

	// The endpoint.
	runs int64
	born int64
	// forgets makes orders come to nothing.
	forgets bool
	// restarts are the times of starts that gateways were told of.
	restarts []int64
	queued   int
	sequence int64
	placed   map[int][]byte
	orders   []order
	refuse   int
	warm     time.Duration
	// rot spoils the next chunk that is placed.
	rot bool

	// The origin.
	delay time.Duration
	// lost is a version whose chunks can't be had; dead is set when none can.
	lost   int64
	dead   bool
	rate   float64
	spoilt map[int]int
	reads  int
	// lies is how many manifests are spoilt, manifests how many were read.
	lies, manifests int

	unloaded int

	pauses []time.Time
	told   []int64
	// running are requests in progress.
	running  int
	capacity stage.Capacity
	// leases is set when others carry its requests while it loads, leaseComes when they will;
	// leasesAsked is when it was asked whether they do.
	leases, leaseComes bool
	leasesAsked        []time.Time
}

// order is an order as the endpoint took it.
type order struct {
	version int64
	at      time.Time
	queued  int
	// whole is set when all that lay there was of the version.
	whole bool
}

// newMachine returns a machine whose endpoint runs a version, 0 for none.
func newMachine(runs int64) *machine {
	return &machine{runs: runs, placed: map[int][]byte{}, spoilt: map[int]int{}, warm: 300 * time.Millisecond, delay: 20 * time.Millisecond}
}

func (m *machine) Report(context.Context) (*stage.Report, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	r := &stage.Report{Born: m.born, Sequence: m.sequence, Queued: m.queued, Running: m.running}
	if m.runs > 0 {
		r.Held = []stage.Held{{Model: "m", Version: m.runs, Whole: true}}
	}
	return r, nil
}

func (m *machine) Place(_ context.Context, _ string, i int, data []byte) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.rot {
		data = append([]byte("rotten"), data[6:]...)
		m.rot = false
	}
	m.placed[i] = data
	return nil
}

func (m *machine) Placed(_ context.Context, _ string, i int) ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.placed[i], nil
}

func (m *machine) Load(_ context.Context, o stage.Order) error {
	m.mu.Lock()
	if m.refuse > 0 {
		m.refuse--
		m.mu.Unlock()
		return &stage.OrderError{Status: 409}
	}
	taken := order{version: o.Version, at: time.Now(), queued: m.queued, whole: true}
	for i := range chunks {
		taken.whole = taken.whole && bytes.Equal(m.placed[i], chunk(o.Version, i))
	}
	m.orders = append(m.orders, taken)
	m.sequence++
	m.mu.Unlock()
	time.Sleep(m.warm)
	m.set(func() {
		if !m.forgets {
			m.runs = o.Version
		}
	})
	return nil
}

func (m *machine) Unload(_ context.Context, o stage.Order) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.unloaded++
	m.sequence++
	m.runs = 0
	return nil
}

func (m *machine) Manifest(_ context.Context, _ string, version int64) (*weights.Manifest, error) {
	var digests []weights.Digest
	for i := range chunks {
		digests = append(digests, sha256.Sum256(chunk(version, i)))
	}
	m.set(func() {
		m.manifests++
		if m.lies > 0 {
			m.lies--
			digests[4] = sha256.Sum256([]byte("spoilt"))
		}
	})
	return weights.NewSHA256Manifest(chunkSize, digests)
}

func (m *machine) Chunk(ctx context.Context, _ string, version int64, i int) ([]byte, error) {
	m.mu.Lock()
	m.reads++
	spoilt := m.spoilt[i] > 0
	if spoilt {
		m.spoilt[i]--
	}
	delay, lost := m.delay, m.lost == version || m.dead
	m.mu.Unlock()
	if lost {
		return nil, errNobody
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

func (m *machine) Rate(context.Context) float64 { return m.rate }

func (m *machine) Members(context.Context) ([]swarm.Member, error) {
	return []swarm.Member{self}, nil
}

func (m *machine) Pause(context.Context, time.Duration) {
	m.set(func() { m.pauses = append(m.pauses, time.Now()) })
}

func (m *machine) Started(_ context.Context, born int64, again bool) {
	if again {
		m.set(func() { m.restarts = append(m.restarts, born) })
	}
}

func (m *machine) LeaseLoad(context.Context, string, time.Duration) stage.Lease {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.leasesAsked = append(m.leasesAsked, time.Now())
	return stage.Lease{Given: m.leases, Comes: m.leaseComes, Again: 100 * time.Millisecond}
}

func (m *machine) Capacity() stage.Capacity { return m.capacity }

func (m *machine) Loaded(_ context.Context, _ string, version int64) {
	m.set(func() { m.told = append(m.told, version) })
}

func (m *machine) set(f func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	f()
}

// seen is what a test looks at.
type seen struct {
	orders []order
	pauses int
	told   []int64
	reads  int
	// unloaded is how many orders to unload were taken, manifests how many were read.
	unloaded, manifests int
}

func (m *machine) seen() seen {
	m.mu.Lock()
	defer m.mu.Unlock()
	return seen{orders: slices.Clone(m.orders), pauses: len(m.pauses), told: slices.Clone(m.told), reads: m.reads, unloaded: m.unloaded, manifests: m.manifests}
}

// begins returns the version on which a request that arrives now begins, or 0.
func (m *machine) begins() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.runs
}

// versions returns the versions of the orders that were taken.
func (m *machine) versions() []int64 {
	var out []int64
	for _, o := range m.seen().orders {
		out = append(out, o.version)
	}
	return out
}

var self = swarm.Member{VM: "one", Addr: "one:1", Zone: "a", Region: "east"}

// alone is a transport to nobody.
type alone struct{}

var errNobody = errors.New("nobody")

func (alone) Have(ctx context.Context, _ swarm.Member, _ weights.Digest, _ int) ([]int, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

func (alone) Chunk(context.Context, swarm.Member, weights.Digest, int) ([]byte, error) {
	return nil, errNobody
}

// stagers starts stagers in a bubble of virtual time.
type stagers struct {
	*WithT
	ctx context.Context
}

// start runs a stager of this VM. What cfg leaves out is the same for all tests.
func (b *stagers) start(cfg stage.Config) *stage.Stager {
	cfg.Self, cfg.Limit, cfg.Log = self, limit, log.New(io.Discard)
	s := stage.New(cfg)
	go s.Run(b.ctx)
	return s
}

// bubble runs f on virtual time, and then lets all end that it started.
func bubble(t *testing.T, f func(b *stagers)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		f(&stagers{WithT: NewWithT(t), ctx: ctx})
		cancel()
		synctest.Wait()
		time.Sleep(time.Minute)
	})
}

// play runs f with a stager beside an endpoint that runs a version.
func play(t *testing.T, runs int64, f func(g *WithT, m *machine, s *stage.Stager)) {
	m := newMachine(runs)
	bubble(t, func(b *stagers) {
		f(b.WithT, m, b.start(stage.Config{Endpoint: m, Origin: m, Fleet: m, Peers: alone{}}))
	})
	for _, o := range m.seen().orders {
		NewWithT(t).Expect(o.whole).To(BeTrue(), "order for version %d on what was not that version", o.version)
	}
}

func TestAnEmptyEndpointLoadsAtOnce(t *testing.T) {
	play(t, 0, func(g *WithT, m *machine, s *stage.Stager) {
		s.Want("m", 1, true)
		time.Sleep(1500 * time.Millisecond)
		g.Expect(m.versions()).To(Equal([]int64{1}))
		g.Expect(m.seen().reads).To(Equal(chunks))
		g.Expect(m.seen().told).To(Equal([]int64{1}))
		g.Expect(m.seen().pauses).To(BeZero(), "nothing is sent to an empty endpoint")
	})
}

func TestNewWeightsAreLoadedWithinTheLimitAfterAPause(t *testing.T) {
	play(t, 1, func(g *WithT, m *machine, s *stage.Stager) {
		named := time.Now()
		s.Want("m", 2, false)
		time.Sleep(limit)
		g.Expect(m.versions()).To(Equal([]int64{2}))
		g.Expect(m.seen().orders[0].at.Sub(named)).To(BeNumerically(">", limit/3), "not all at once")
		g.Expect(m.seen().orders[0].at.Sub(named)).To(BeNumerically("<", limit*9/10))
		g.Expect(m.seen().pauses).To(Equal(1))
		g.Expect(m.seen().told).To(Equal([]int64{2}))
	})
}

func TestALoadWaitsUntilNothingIsQueuedButNotForLong(t *testing.T) {
	play(t, 1, func(g *WithT, m *machine, s *stage.Stager) {
		m.set(func() { m.queued = 2 })
		s.Want("m", 2, false)
		for m.seen().pauses == 0 {
			time.Sleep(10 * time.Millisecond)
		}
		time.Sleep(200 * time.Millisecond)
		g.Expect(m.versions()).To(BeEmpty())
		m.set(func() { m.queued = 0 })
		time.Sleep(50 * time.Millisecond)
		g.Expect(m.versions()).To(Equal([]int64{2}))
	})
	play(t, 1, func(g *WithT, m *machine, s *stage.Stager) {
		m.set(func() { m.queued = 2 })
		s.Want("m", 2, false)
		time.Sleep(limit)
		g.Expect(m.versions()).To(Equal([]int64{2}))
	})
}

func TestAnEndpointDrainsBeforeALoad(t *testing.T) {
	const answerTime = 400 * time.Millisecond
	// drains returns how long after the pause the order came, where all requests end
	// after runs.
	drains := func(g *WithT, m *machine, s *stage.Stager, usual, runs time.Duration) time.Duration {
		m.set(func() { m.running, m.capacity = 12, stage.Capacity{Slots: 16, AnswerTime: usual} })
		s.Want("m", 2, false)
		for m.seen().pauses == 0 {
			time.Sleep(10 * time.Millisecond)
		}
		time.AfterFunc(runs, func() { m.set(func() { m.running = 0 }) })
		time.Sleep(limit)
		g.Expect(m.versions()).To(Equal([]int64{2}))
		return m.seen().orders[0].at.Sub(m.pauses[0])
	}
	play(t, 1, func(g *WithT, m *machine, s *stage.Stager) {
		g.Expect(drains(g, m, s, answerTime, 300*time.Millisecond)).To(BeNumerically("~", 350*time.Millisecond, 50*time.Millisecond), "until it is empty")
	})
	play(t, 1, func(g *WithT, m *machine, s *stage.Stager) {
		g.Expect(drains(g, m, s, answerTime, limit)).To(BeNumerically("~", 550*time.Millisecond, 50*time.Millisecond), "what runs longer is cut")
	})
	play(t, 1, func(g *WithT, m *machine, s *stage.Stager) {
		g.Expect(drains(g, m, s, 0, limit)).To(BeNumerically("<", 100*time.Millisecond), "nothing is known of its answers")
	})
}

func TestWhatIsSpoiltOnTheWayOrAtTheEndpointIsNotLoaded(t *testing.T) {
	play(t, 0, func(g *WithT, m *machine, s *stage.Stager) {
		m.set(func() { m.spoilt[3], m.spoilt[5], m.rot = 1, 2, true })
		s.Want("m", 1, true)
		time.Sleep(limit)
		g.Expect(m.versions()).To(Equal([]int64{1}))
	})
}

func TestWhatRotsBetweenPlacingAndTheOrderIsMended(t *testing.T) {
	play(t, 1, func(g *WithT, m *machine, s *stage.Stager) {
		s.Want("m", 2, false)
		for m.seen().pauses == 0 {
			time.Sleep(time.Millisecond)
			m.set(func() {
				if len(m.placed) == chunks && !bytes.Equal(m.placed[7], []byte("rot")) && m.placed[7] != nil && m.reads == chunks {
					m.placed[7], m.reads = []byte("rot"), 0
				}
			})
		}
		time.Sleep(limit)
		g.Expect(m.versions()).To(ContainElement(int64(2)))
	})
}

func TestWhatLiesAtTheEndpointIsNotFetchedAgain(t *testing.T) {
	play(t, 0, func(g *WithT, m *machine, s *stage.Stager) {
		m.set(func() {
			for i := range chunks {
				m.placed[i] = chunk(1, i)
			}
		})
		s.Want("m", 1, true)
		time.Sleep(time.Second)
		g.Expect(m.versions()).To(Equal([]int64{1}))
		g.Expect(m.seen().reads).To(BeZero())
	})
}

func TestAManifestThatNoChunkMatchesIsReadAnew(t *testing.T) {
	play(t, 0, func(g *WithT, m *machine, s *stage.Stager) {
		m.set(func() { m.lies = 1 })
		s.Want("m", 1, true)
		time.Sleep(20 * time.Second)
		g.Expect(m.versions()).To(Equal([]int64{1}))
	})
}

func TestANewerVersionTakesOverWhenLittleOfTheOlderIsThere(t *testing.T) {
	play(t, 1, func(g *WithT, m *machine, s *stage.Stager) {
		m.set(func() { m.delay = time.Second })
		s.Want("m", 2, false)
		time.Sleep(1200 * time.Millisecond)
		s.Want("m", 3, false)
		time.Sleep(3 * limit)
		g.Expect(m.versions()).To(Equal([]int64{3}))
	})
}

func TestAnOlderVersionThatIsMostlyThereIsLoadedFirst(t *testing.T) {
	play(t, 1, func(g *WithT, m *machine, s *stage.Stager) {
		m.set(func() { m.delay = 500 * time.Millisecond })
		s.Want("m", 2, false)
		time.Sleep(2700 * time.Millisecond)
		s.Want("m", 3, false)
		time.Sleep(time.Second)
		m.set(func() { m.delay = 3 * time.Second })
		time.Sleep(4 * limit)
		g.Expect(m.versions()).To(Equal([]int64{2, 3}))
	})
}

func TestAnOlderVersionIsGoneOnWithWhileTheNewestCanNotBeHad(t *testing.T) {
	play(t, 1, func(g *WithT, m *machine, s *stage.Stager) {
		m.set(func() { m.delay, m.lost = 700*time.Millisecond, 3 })
		s.Want("m", 2, false)
		time.Sleep(1500 * time.Millisecond)
		s.Want("m", 3, false)
		time.Sleep(limit - 1500*time.Millisecond)
		g.Expect(m.versions()).To(Equal([]int64{2}), "within the older one's limit")
		m.set(func() { m.lost = 0 })
		time.Sleep(2 * limit)
		g.Expect(m.versions()).To(Equal([]int64{2, 3}))
	})
}

func TestAnOlderVersionIsNotLoadedOnceTheNewestMustBeInForce(t *testing.T) {
	play(t, 1, func(g *WithT, m *machine, s *stage.Stager) {
		m.set(func() { m.delay, m.lost = 2*time.Second, 3 })
		s.Want("m", 2, false)
		time.Sleep(2100 * time.Millisecond)
		s.Want("m", 3, false)
		time.Sleep(3 * limit)
		g.Expect(m.versions()).To(BeEmpty())
		m.set(func() { m.delay, m.lost = 20*time.Millisecond, 0 })
		time.Sleep(limit)
		g.Expect(m.versions()).To(Equal([]int64{3}))
	})
}

func TestAnEndpointThatWasRestartedLoadsAgain(t *testing.T) {
	play(t, 0, func(g *WithT, m *machine, s *stage.Stager) {
		s.Want("m", 1, true)
		time.Sleep(2 * time.Second)
		m.set(func() { m.runs, m.sequence = 0, 0 })
		time.Sleep(2 * time.Second)
		g.Expect(m.versions()).To(Equal([]int64{1, 1}))
		g.Expect(m.seen().reads).To(Equal(chunks))
	})
}

func TestAnOrderThatWasRefusedIsGivenAgain(t *testing.T) {
	play(t, 0, func(g *WithT, m *machine, s *stage.Stager) {
		m.set(func() { m.refuse = 2 })
		s.Want("m", 1, true)
		time.Sleep(3 * time.Second)
		g.Expect(m.versions()).To(Equal([]int64{1}))
	})
}
