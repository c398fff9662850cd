package stage_test

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/silverdeck/silverdeck/sidecar/stage"
	"github.com/silverdeck/silverdeck/swarm"
	"github.com/silverdeck/silverdeck/weights"
)

// Guards against abandoning a version before all its chunks have been read from the origin.
// Version 3 was named two seconds after version 2, most of which had been read from the
// origin, but little had reached each VM. All VMs switched to version 3, and the origin
// failed half a second later: some chunks of version 2 had never been read, so that no VM
// could complete either version.
func TestFirstCopiesOfAVersionThatIsReplacedAreBroughtInWhileTheOriginLives(t *testing.T) {
	m := newFakeVM(1)
	m.rate = chunks * chunkSize / (chunks * m.delay).Seconds()
	m.unavailable = 3
	runVirtual(t, func(b *testEnv) {
		s := b.start(stage.Config{Endpoint: m, Origin: m, Fleet: m, Peers: noPeers{}})
		s.SetTarget("m", 2, false)
		for m.snapshot().reads < chunks/2 {
			time.Sleep(5 * time.Millisecond)
		}
		s.SetTarget("m", 3, false)
		time.Sleep(600 * time.Millisecond)
		m.set(func() { m.originDown = true })
		time.Sleep(limit - time.Second)
		b.Expect(m.loadOrders()).To(Equal([]int64{2}))
	})
}

// Guards against abandoning a version for one whose manifest is unavailable. The origin
// failed when most of version 2 had been read from it, and version 3 was named after that.
// All VMs switched to version 3 although nobody could get its manifest, and resumed version 2
// only after more than a second without progress. It was loaded that much later, close to the
// expiry of version 1.
func TestAVersionIsNotLeftForOneWhoseManifestCannotBeHad(t *testing.T) {
	runVirtual(t, func(b *testEnv) {
		n := &fakePeers{fakeVM: newFakeVM(1)}
		origin := originWithoutV3{manifestOnlyOrigin{n.fakeVM}}
		s := b.start(stage.Config{Endpoint: n.fakeVM, Origin: origin, Fleet: n, Peers: slowPeers{n}, Manifests: manifestClientWithoutV3{n}})
		s.SetTarget("m", 2, false)
		time.Sleep(600 * time.Millisecond)
		b.Expect(s.Holdings().Set(rootOf(2)).Len()).To(BeNumerically("<", chunks*7/10))
		s.SetTarget("m", 3, false)
		time.Sleep(time.Second)
		b.Expect(s.Holdings().Set(rootOf(2)).Complete()).To(BeTrue())
	})
}

// slowPeers are fakePeers of which one serves all chunks, in 100 ms each.
type slowPeers struct{ *fakePeers }

func (n slowPeers) Chunk(ctx context.Context, m swarm.Member, req swarm.ChunkRequest) ([]byte, error) {
	root, i := req.Root, req.Chunk
	if m.VM == "dead" || root != rootOf(2) {
		return nil, errUnavailable
	}
	time.Sleep(100 * time.Millisecond)
	return chunk(2, i), ctx.Err()
}

// originWithoutV3 is an origin without chunks and without the manifest of version 3.
type originWithoutV3 struct{ manifestOnlyOrigin }

func (o originWithoutV3) Manifest(ctx context.Context, model string, version int64) (*weights.Manifest, error) {
	if version == 3 {
		return nil, errUnavailable
	}
	return o.fakeVM.Manifest(ctx, model, version)
}

// manifestClientWithoutV3 is a ManifestClient to VMs without the manifest of version 3.
type manifestClientWithoutV3 struct{ *fakePeers }

func (a manifestClientWithoutV3) Manifest(ctx context.Context, m swarm.Member, q stage.VersionRequest) (*weights.Manifest, error) {
	if q.Version == 3 {
		return nil, errUnavailable
	}
	return a.fakePeers.Manifest(ctx, m, q)
}

func TestOlderFirst(t *testing.T) {
	const ms = time.Millisecond
	// A copy takes 2.56 s, and 350 ms pass until most members have its last chunk.
	base := stage.Pending{Chunks: 64, OlderUnknown: 16, Unknown: 64, ChunkTime: 40 * ms, Spread: 350 * ms,
		RunningLeft: 8 * time.Second, OlderLeft: 10 * time.Second}
	for _, c := range []struct {
		name   string
		change func(p *stage.Pending)
		want   bool
	}{
		{"most of the older one was read, nothing is urgent", func(*stage.Pending) {}, true},
		{"half of it was read or is under way", func(p *stage.Pending) { p.OlderUnknown = 34 }, true},
		{"less than half was read", func(p *stage.Pending) { p.OlderUnknown = 35 }, false},
		{"the newest would come too late", func(p *stage.Pending) { p.OlderUnknown, p.RunningLeft, p.OlderLeft = 40, 3*time.Second, 5*time.Second }, true},
		{"the newest comes just in time", func(p *stage.Pending) { p.OlderUnknown, p.RunningLeft, p.OlderLeft = 40, 3410*ms, 5410*ms }, false},
		{"the older one could not be loaded in time", func(p *stage.Pending) { p.RunningLeft, p.OlderLeft = 0, 2489*ms }, false},
		{"the older one could just be loaded", func(p *stage.Pending) { p.RunningLeft, p.OlderLeft = 0, 2490*ms }, true},
		{"the older one is complete among members", func(p *stage.Pending) { p.OlderUnknown = 0 }, true},
		{"the older one has expired", func(p *stage.Pending) { p.OlderLeft = 0 }, false},
		{"both take equally long and little of the older one is there", func(p *stage.Pending) { p.OlderUnknown, p.RunningLeft = 64, 0; p.OlderLeft = 4500 * ms }, false},
	} {
		p := base
		c.change(&p)
		NewWithT(t).Expect(stage.OlderFirst(p)).To(Equal(c.want), c.name)
	}
}

func TestSpreadTime(t *testing.T) {
	g := NewWithT(t)
	g.Expect(stage.SpreadTime(1, 40*time.Millisecond)).To(BeZero())
	g.Expect(stage.SpreadTime(64, 40*time.Millisecond)).To(Equal(360 * time.Millisecond))
	g.Expect(stage.SpreadTime(64, 0)).To(BeZero())
}
