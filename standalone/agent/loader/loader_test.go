package loader_test

import (
	"bytes"
	"context"
	"encoding/json"
	"io"

	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	. "github.com/onsi/gomega"

	"github.com/silverdeck/silverdeck/origin"
	"github.com/silverdeck/silverdeck/standalone/agent/loader"
	"github.com/silverdeck/silverdeck/standalone/engine"
	"github.com/silverdeck/silverdeck/standalone/peer"
	"github.com/silverdeck/silverdeck/swarm"
	"github.com/silverdeck/silverdeck/weights"
)

const chunkSize = 4096

// fakeEngine takes orders in memory.
type fakeEngine struct {
	mu     sync.Mutex
	epoch  int64
	checks bool
	orders []engine.Order
	fail   error
	loaded map[string]engine.Loaded
	// gate, if set, is received from before an order is carried out, and
	// entered is sent to before that.
	gate, entered chan struct{}
}

func (f *fakeEngine) Order(_ context.Context, o engine.Order) error {
	if f.gate != nil {
		f.entered <- struct{}{}
		<-f.gate
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.checks && o.Epoch < f.epoch {
		return &engine.StaleError{Epoch: f.epoch}
	}
	if f.fail != nil {
		return f.fail
	}
	f.epoch = max(f.epoch, o.Epoch)
	f.orders = append(f.orders, o)
	if f.loaded == nil {
		f.loaded = map[string]engine.Loaded{}
	}
	f.loaded[o.Model] = engine.Loaded{Model: o.Model, Adapter: o.Adapter, Weights: o.Weights, Digest: o.Digest}
	return nil
}

// restart loses everything.
func (f *fakeEngine) restart() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.epoch = 0
	f.loaded = nil
}

func (f *fakeEngine) State(context.Context) (engine.State, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := engine.State{}
	if f.checks {
		s.Epoch = f.epoch
	}
	for _, l := range f.loaded {
		s.Loaded = append(s.Loaded, l)
	}
	return s, nil
}

func (f *fakeEngine) taken() []engine.Order {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]engine.Order(nil), f.orders...)
}

// fakeOrigin has one version at one path, which tests can replace.
type fakeOrigin struct {
	mu       sync.Mutex
	data     []byte
	etag     string
	reads    int
	manifest []byte
}

func newFakeOrigin(data []byte) (*fakeOrigin, *weights.Manifest) {
	m, err := weights.NewManifest(bytes.NewReader(data), chunkSize)
	if err != nil {
		panic(err)
	}
	b, _ := json.Marshal(m)
	return &fakeOrigin{data: data, etag: m.Whole.Short(), manifest: b}, m
}

func (f *fakeOrigin) Manifest(context.Context, string) ([]byte, error) {
	return f.manifest, nil
}

func (f *fakeOrigin) ReadRange(_ context.Context, path, etag string, off, n int64) ([]byte, string, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reads++
	if etag != "" && etag != f.etag {
		return nil, "", &origin.ChangedError{Path: path}
	}
	return bytes.Clone(f.data[off : off+n]), f.etag, nil
}

func (f *fakeOrigin) replace(data []byte) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.data, f.etag = data, "changed"
}

// noPeers is a VM without others.
type noPeers struct{}

func (noPeers) Have(ctx context.Context, _ swarm.Member, _ weights.Digest, _ int) ([]int, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

func (noPeers) Chunk(context.Context, swarm.Member, swarm.ChunkRequest) ([]byte, error) {
	return nil, &swarm.RefusalError{Refusal: swarm.RefusalAbsent}
}

func (noPeers) Manifest(context.Context, string, weights.Digest) (*weights.Manifest, error) {
	return nil, &weights.ManifestError{Reason: "absent"}
}

var self = swarm.Member{VM: "runner-1", Addr: "10.0.0.1:1", Zone: "a", Region: "east"}

func assignment(m *weights.Manifest, epoch int64) peer.Assignment {
	return peer.Assignment{
		Rollout: "r", Model: "reader", Weights: "v1", Path: "models/reader/v1",
		Root: m.Root(), Epoch: epoch, Activate: true, Members: []swarm.Member{self},
	}
}

func newLoader(self swarm.Member, hold int64, e engine.Engine, o origin.Source) *loader.Loader {
	return loader.New(loader.Config{
		Self:      self,
		HoldBytes: hold,
		Fence:     loader.NewFence(e),
		Peers:     noPeers{},
		Origin:    o,
		Homes:     func() []string { return nil },
		News:      func() {},
		Log:       log.New(io.Discard),
	})
}

// holds returns whether the weights that root names are held complete.
func holds(l *loader.Loader, root weights.Digest) bool {
	s := l.Holdings().Set(root)
	return s != nil && s.Complete()
}

// inBubble runs f on virtual time with a loader before e.
func inBubble(t *testing.T, e engine.Engine, o origin.Source, hold int64, f func(g Gomega, l *loader.Loader)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		l := newLoader(self, hold, e, o)
		done := make(chan struct{})
		go func() {
			l.Run(ctx)
			close(done)
		}()
		f(NewWithT(t), l)
		cancel()
		<-done
		synctest.Wait()
	})
}

func TestLoaderLoadsAsSoonAsWeightsAreComplete(t *testing.T) {
	o, m := newFakeOrigin(bytes.Repeat([]byte("weights "), 4096))
	e := &fakeEngine{checks: true}
	inBubble(t, e, o, 1<<20, func(g Gomega, l *loader.Loader) {
		began := time.Now()
		l.Apply(peer.Directive{Revision: 1, Assignments: []peer.Assignment{assignment(m, 1)}})
		for len(e.taken()) == 0 && time.Since(began) < time.Minute {
			time.Sleep(10 * time.Millisecond)
		}
		g.Expect(e.taken()).To(HaveLen(1))
		g.Expect(time.Since(began)).To(BeNumerically("<", time.Second), "on virtual time")
	})
}

func TestLoaderNeverLoadsAVersionThatChangedMidCopy(t *testing.T) {
	o, m := newFakeOrigin(bytes.Repeat([]byte("weights "), 4096))
	e := &fakeEngine{checks: true}
	slow := &slowOrigin{fakeOrigin: o}
	inBubble(t, e, slow, 1<<20, func(g Gomega, l *loader.Loader) {
		l.Apply(peer.Directive{Revision: 1, Assignments: []peer.Assignment{assignment(m, 1)}})
		time.Sleep(3 * readTime)
		o.replace(bytes.Repeat([]byte("another "), 4096))
		time.Sleep(time.Minute)
		g.Expect(e.taken()).To(BeEmpty())
		g.Expect(holds(l, m.Root())).To(BeFalse())
		_, _, progress := l.Status()
		g.Expect(progress[0].Stats.Blocked).To(ContainSubstring("no longer has this version"))
	})
}

func TestLoaderTellsWhyALoadFailedAndTriesAgain(t *testing.T) {
	o, m := newFakeOrigin(bytes.Repeat([]byte("weights "), 4096))
	e := &fakeEngine{checks: true, fail: &engine.OrderError{Status: 500, Text: "out of memory"}}
	inBubble(t, e, o, 1<<20, func(g Gomega, l *loader.Loader) {
		l.Apply(peer.Directive{Revision: 1, Assignments: []peer.Assignment{assignment(m, 1)}})
		time.Sleep(time.Second)
		_, _, progress := l.Status()
		g.Expect(progress[0].Failed).To(ContainSubstring("out of memory"))
		e.mu.Lock()
		e.fail = nil
		e.mu.Unlock()
		time.Sleep(time.Minute)
		g.Expect(e.taken()).To(HaveLen(1))
		_, loaded, progress := l.Status()
		g.Expect(progress[0].Failed).To(BeEmpty())
		g.Expect(loaded).To(HaveLen(1))
	})
}

func TestLoaderWaitsForItsBatch(t *testing.T) {
	o, m := newFakeOrigin(bytes.Repeat([]byte("weights "), 4096))
	e := &fakeEngine{checks: true}
	inBubble(t, e, o, 1<<20, func(g Gomega, l *loader.Loader) {
		a := assignment(m, 1)
		a.Activate = false
		l.Apply(peer.Directive{Revision: 1, Assignments: []peer.Assignment{a}})
		time.Sleep(time.Minute)
		g.Expect(e.taken()).To(BeEmpty())
		g.Expect(holds(l, m.Root())).To(BeTrue(), "the weights travel all the same")
		a.Activate = true
		l.Apply(peer.Directive{Revision: 1, Assignments: []peer.Assignment{a}})
		time.Sleep(time.Second)
		g.Expect(e.taken()).To(HaveLen(1))
	})
}

func TestLoaderUndoesWithoutFetchingAgain(t *testing.T) {
	o, m := newFakeOrigin(bytes.Repeat([]byte("weights "), 4096))
	o2, m2 := newFakeOrigin(bytes.Repeat([]byte("another "), 4096))
	e := &fakeEngine{checks: true}
	both := twoVersions{"models/reader/v1": o, "models/reader/v2": o2}
	inBubble(t, e, both, 1<<20, func(g Gomega, l *loader.Loader) {
		first, second := assignment(m, 1), assignment(m2, 2)
		second.Path, second.Weights = "models/reader/v2", "v2"
		l.Apply(peer.Directive{Revision: 1, Assignments: []peer.Assignment{first}})
		time.Sleep(time.Second)
		l.Apply(peer.Directive{Revision: 2, Assignments: []peer.Assignment{second}})
		time.Sleep(time.Second)
		reads := o.reads
		first.Epoch = 3
		l.Apply(peer.Directive{Revision: 3, Assignments: []peer.Assignment{first}})
		time.Sleep(time.Second)
		g.Expect(o.reads).To(Equal(reads))
		g.Expect(e.taken()).To(HaveLen(3))
		g.Expect(e.taken()[2].Weights).To(Equal("v1"))
		_, loaded, _ := l.Status()
		g.Expect(loaded).To(HaveLen(1))
		g.Expect(loaded[0].Root).To(Equal(m.Root()))
	})
}

func TestLoaderIgnoresADirectiveOfAnOlderConfiguration(t *testing.T) {
	o, m := newFakeOrigin(bytes.Repeat([]byte("weights "), 4096))
	e := &fakeEngine{}
	inBubble(t, e, o, 1<<20, func(g Gomega, l *loader.Loader) {
		l.Apply(peer.Directive{Revision: 5})
		l.Apply(peer.Directive{Revision: 4, Assignments: []peer.Assignment{assignment(m, 4)}})
		time.Sleep(time.Minute)
		g.Expect(e.taken()).To(BeEmpty())
		revision, _, _ := l.Status()
		g.Expect(revision).To(Equal(int64(5)))
	})
}

func TestLoaderRefusesWeightsThatDoNotFit(t *testing.T) {
	o, m := newFakeOrigin(bytes.Repeat([]byte("weights "), 4096))
	inBubble(t, &fakeEngine{}, o, 1000, func(g Gomega, l *loader.Loader) {
		l.Apply(peer.Directive{Revision: 1, Assignments: []peer.Assignment{assignment(m, 1)}})
		time.Sleep(time.Second)
		_, _, progress := l.Status()
		g.Expect(progress[0].Failed).To(ContainSubstring("holdBytes allows 1000"))
	})
}

func TestLoaderLoadsAgainWhatTheEngineLost(t *testing.T) {
	o, m := newFakeOrigin(bytes.Repeat([]byte("weights "), 4096))
	e := &fakeEngine{checks: true}
	inBubble(t, e, o, 1<<20, func(g Gomega, l *loader.Loader) {
		l.Apply(peer.Directive{Revision: 1, Assignments: []peer.Assignment{assignment(m, 1)}})
		time.Sleep(time.Second)
		g.Expect(e.taken()).To(HaveLen(1))
		reads := o.reads
		e.restart()
		time.Sleep(5 * time.Second)
		g.Expect(e.taken()).To(HaveLen(2))
		g.Expect(o.reads).To(Equal(reads), "the weights were still held")
	})
}

// readTime is what a chunk takes from a slowOrigin.
const readTime = 100 * time.Millisecond

type slowOrigin struct {
	*fakeOrigin
}

func (s *slowOrigin) ReadRange(ctx context.Context, path, etag string, off, n int64) ([]byte, string, error) {
	time.Sleep(readTime)
	return s.fakeOrigin.ReadRange(ctx, path, etag, off, n)
}

// twoVersions is an origin of several paths.
type twoVersions map[string]*fakeOrigin

func (v twoVersions) Manifest(ctx context.Context, path string) ([]byte, error) {
	return v[path].Manifest(ctx, path)
}

func (v twoVersions) ReadRange(ctx context.Context, path, etag string, off, n int64) ([]byte, string, error) {
	return v[path].ReadRange(ctx, path, etag, off, n)
}
