package stage_test

import (
	"context"
	"crypto/sha256"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/silverdeck/silverdeck/sidecar/stage"
	"github.com/silverdeck/silverdeck/swarm"
	"github.com/silverdeck/silverdeck/weights"
)

// fakePeers are two other VMs. One terminated after announcing all chunks of version 3; the
// other has version 2 and serves a quarter of its chunks, later all of them.
type fakePeers struct {
	*fakeVM
	servesAll atomic.Bool
}

// rootOf returns the manifest root of a version.
func rootOf(version int64) weights.Digest {
	var digests []weights.Digest
	for i := range chunks {
		digests = append(digests, sha256.Sum256(chunk(version, i)))
	}
	m, err := weights.NewSHA256Manifest(chunkSize, digests)
	if err != nil {
		panic(err)
	}
	return m.Root()
}

func (*fakePeers) Members(context.Context) ([]swarm.Member, error) {
	dead := swarm.Member{VM: "dead", Addr: "dead:1", Zone: "a", Region: "east"}
	well := swarm.Member{VM: "well", Addr: "well:1", Zone: "a", Region: "east"}
	return []swarm.Member{self, dead, well}, nil
}

func (*fakePeers) Have(ctx context.Context, m swarm.Member, root weights.Digest, since int) ([]int, error) {
	if since == 0 && ((m.VM == "dead" && root == rootOf(3)) || (m.VM == "well" && root == rootOf(2))) {
		var all []int
		for i := range chunks {
			all = append(all, i)
		}
		return all, nil
	}
	<-ctx.Done()
	return nil, ctx.Err()
}

func (n *fakePeers) Chunk(ctx context.Context, m swarm.Member, req swarm.ChunkRequest) ([]byte, error) {
	root, i := req.Root, req.Chunk
	switch {
	case m.VM == "dead":
		<-ctx.Done()
		return nil, ctx.Err()
	case root != rootOf(2) || (i >= chunks/4 && !n.servesAll.Load()):
		return nil, errUnavailable
	}
	time.Sleep(20 * time.Millisecond)
	return chunk(2, i), nil
}

func (n *fakePeers) Manifest(ctx context.Context, _ swarm.Member, q stage.VersionRequest) (*weights.Manifest, error) {
	return n.fakeVM.Manifest(ctx, q.Model, q.Version)
}

// manifestOnlyOrigin is an origin that serves manifests but no chunks.
type manifestOnlyOrigin struct{ *fakeVM }

func (manifestOnlyOrigin) Chunk(context.Context, string, int64, int) ([]byte, error) {
	return nil, errUnavailable
}

// Guards against mistaking a peer that terminated for a narrow link of this VM. The older
// version, which another VM has completely, must still be fetched and loaded.
func TestTerminatedPeerDoesNotBlockOlderVersion(t *testing.T) {
	for _, rate := range []float64{0, 146e3} {
		runVirtual(t, func(b *testEnv) {
			n := &fakePeers{fakeVM: newFakeVM(1)}
			s := b.start(stage.Config{Endpoint: n.fakeVM, Origin: manifestOnlyOrigin{n.fakeVM}, Fleet: n, Peers: n, Manifests: n, LinkRate: rate})
			s.SetTarget("m", 2, false)
			time.Sleep(600 * time.Millisecond)
			n.servesAll.Store(true)
			s.SetTarget("m", 3, false)
			time.Sleep(limit)
			b.Expect(n.loadOrders()).To(ContainElement(int64(2)), "link rate %v", rate)
		})
	}
}
