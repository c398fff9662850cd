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

// neighbours are two other VMs. One died after it had told that it holds version 3, the
// other has version 2 and gives a part of it, later all.
type neighbours struct {
	*machine
	givesAll atomic.Bool
}

// rootOf returns the root of a version.
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

func (*neighbours) Members(context.Context) ([]swarm.Member, error) {
	dead := swarm.Member{VM: "dead", Addr: "dead:1", Zone: "a", Region: "east"}
	well := swarm.Member{VM: "well", Addr: "well:1", Zone: "a", Region: "east"}
	return []swarm.Member{self, dead, well}, nil
}

func (*neighbours) Have(ctx context.Context, m swarm.Member, root weights.Digest, since int) ([]int, error) {
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

func (n *neighbours) Chunk(ctx context.Context, m swarm.Member, root weights.Digest, i int) ([]byte, error) {
	switch {
	case m.VM == "dead":
		<-ctx.Done()
		return nil, ctx.Err()
	case root != rootOf(2) || (i >= chunks/4 && !n.givesAll.Load()):
		return nil, errNobody
	}
	time.Sleep(20 * time.Millisecond)
	return chunk(2, i), nil
}

func (n *neighbours) Manifest(ctx context.Context, _ swarm.Member, q stage.VersionRequest) (*weights.Manifest, error) {
	return n.machine.Manifest(ctx, q.Model, q.Version)
}

// noChunks is an origin that gives manifests only.
type noChunks struct{ *machine }

func (noChunks) Chunk(context.Context, string, int64, int) ([]byte, error) { return nil, errNobody }

// A neighbour that died is no narrow link of this VM's own: the older version, which
// others have whole, is gone on with.
func TestADeadNeighbourDoesNotKeepAnOlderVersionFromBeingLoaded(t *testing.T) {
	for _, rate := range []float64{0, 146e3} {
		bubble(t, func(b *stagers) {
			n := &neighbours{machine: newMachine(1)}
			s := b.start(stage.Config{Endpoint: n.machine, Origin: noChunks{n.machine}, Fleet: n, Peers: n, Asker: n, LinkRate: rate})
			s.Want("m", 2, false)
			time.Sleep(600 * time.Millisecond)
			n.givesAll.Store(true)
			s.Want("m", 3, false)
			time.Sleep(limit)
			b.Expect(n.versions()).To(ContainElement(int64(2)), "link rate %v", rate)
		})
	}
}
