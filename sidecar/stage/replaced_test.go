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

// Version 3 was named two seconds after version 2, of which most had left the origin and
// little had reached each VM. All turned to version 3, and half a second later the origin
// died: of version 2 some chunks had never left it, and nobody had either version.
func TestFirstCopiesOfAVersionThatIsReplacedAreBroughtInWhileTheOriginLives(t *testing.T) {
	m := newMachine(1)
	m.rate = chunks * chunkSize / (chunks * m.delay).Seconds()
	m.lost = 3
	bubble(t, func(b *stagers) {
		s := b.start(stage.Config{Endpoint: m, Origin: m, Fleet: m, Peers: alone{}})
		s.Want("m", 2, false)
		for m.seen().reads < chunks/2 {
			time.Sleep(5 * time.Millisecond)
		}
		s.Want("m", 3, false)
		time.Sleep(600 * time.Millisecond)
		m.set(func() { m.dead = true })
		time.Sleep(limit - time.Second)
		b.Expect(m.versions()).To(Equal([]int64{2}))
	})
}

// Version 2 was named, the origin died when most of it had left, and version 3 was named
// after that. All VMs turned to version 3, of which nobody could even have the manifest, and
// went on with version 2 only once that had come to nothing for more than a second: it was
// loaded that much later, while the limit of version 1 came near.
func TestAVersionIsNotLeftForOneWhoseManifestCannotBeHad(t *testing.T) {
	bubble(t, func(b *stagers) {
		n := &neighbours{machine: newMachine(1)}
		origin := noManifest{noChunks{n.machine}}
		s := b.start(stage.Config{Endpoint: n.machine, Origin: origin, Fleet: n, Peers: slowNeighbours{n}, Asker: noManifestAsker{n}})
		s.Want("m", 2, false)
		time.Sleep(600 * time.Millisecond)
		b.Expect(s.Holdings().Set(rootOf(2)).Len()).To(BeNumerically("<", chunks*7/10))
		s.Want("m", 3, false)
		time.Sleep(time.Second)
		b.Expect(s.Holdings().Set(rootOf(2)).Complete()).To(BeTrue())
	})
}

// slowNeighbours are neighbours of which one gives all chunks, each in a tenth of a second.
type slowNeighbours struct{ *neighbours }

func (n slowNeighbours) Chunk(ctx context.Context, m swarm.Member, root weights.Digest, i int) ([]byte, error) {
	if m.VM == "dead" || root != rootOf(2) {
		return nil, errNobody
	}
	time.Sleep(100 * time.Millisecond)
	return chunk(2, i), ctx.Err()
}

// noManifest is an origin without the manifest of version 3, and without chunks.
type noManifest struct{ noChunks }

func (o noManifest) Manifest(ctx context.Context, model string, version int64) (*weights.Manifest, error) {
	if version == 3 {
		return nil, errNobody
	}
	return o.machine.Manifest(ctx, model, version)
}

// noManifestAsker is a fleet in which nobody has that manifest.
type noManifestAsker struct{ *neighbours }

func (a noManifestAsker) Manifest(ctx context.Context, m swarm.Member, q stage.VersionRequest) (*weights.Manifest, error) {
	if q.Version == 3 {
		return nil, errNobody
	}
	return a.neighbours.Manifest(ctx, m, q)
}

func TestWhenFirstCopiesOfAReplacedVersionAreOfUse(t *testing.T) {
	const oneCopy = 1600 * time.Millisecond
	for _, c := range []struct {
		name    string
		fetched time.Duration
		oneCopy time.Duration
		useful  bool
		want    bool
	}{
		{"most has left the origin", 1500 * time.Millisecond, oneCopy, true, true},
		{"half has", 800 * time.Millisecond, oneCopy, true, true},
		{"less has", 799 * time.Millisecond, oneCopy, true, false},
		{"it could not be used any more", 1500 * time.Millisecond, oneCopy, false, false},
		{"the origin's rate is not known", 1500 * time.Millisecond, 0, true, false},
	} {
		NewWithT(t).Expect(stage.FirstCopiesOfUse(c.fetched, c.oneCopy, c.useful)).To(Equal(c.want), c.name)
	}
}
