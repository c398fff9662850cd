package swarm_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/silverdeck/silverdeck/swarm"
	"github.com/silverdeck/silverdeck/swarm/congestion"
	"github.com/silverdeck/silverdeck/weights"
)

// narrowLink is a Transport to members that hold everything, over one narrow link: chunks
// come one after the other.
type narrowLink struct {
	set       *weights.Set
	chunkTime time.Duration

	mu             sync.Mutex
	underWay, most int
}

func (l *narrowLink) Have(ctx context.Context, _ swarm.Member, _ weights.Digest, since int) ([]int, error) {
	news, _ := l.set.Since(since)
	if len(news) == 0 {
		<-ctx.Done()
	}
	return news, ctx.Err()
}

func (l *narrowLink) Chunk(ctx context.Context, _ swarm.Member, _ weights.Digest, i int) ([]byte, error) {
	l.count(1)
	defer l.count(-1)
	done := make(chan struct{})
	time.AfterFunc(l.take(), func() { close(done) })
	select {
	case <-done:
		return l.set.Get(i), nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// take returns how long a chunk that is asked for now takes.
func (l *narrowLink) take() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Duration(l.underWay) * l.chunkTime
}

func (l *narrowLink) count(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.underWay += n
	l.most = max(l.most, l.underWay)
}

// What users saw: requests to an endpoint behind a narrow link waited there for over a
// second, and began on weights past their limit. Three chunks were before them in the
// link, of a download that had just begun: each measured the link anew.
func TestADownloadKnowsTheLinkFromTheOneBefore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		link := &narrowLink{set: wholeSet(g), chunkTime: 300 * time.Millisecond}
		meter := congestion.New(chunkSize/chunkTime.Seconds(), chunkSize)
		list := members(4, "east")
		fetch := func() int {
			link.most = 0
			d := swarm.NewDownload(list[0], list, weights.NewSet(link.set.Manifest()), link, noOrigin{}, swarm.WithParallel(3, 1),
				swarm.WithLink(meter), swarm.WithLateness(time.Hour), swarm.WithMinTimeout(5*time.Second))
			g.Expect(d.Run(t.Context())).To(Succeed())
			return link.most
		}
		g.Expect(fetch()).To(BeNumerically(">", 2), "nothing is known of the link")
		g.Expect(fetch()).To(Equal(1), "the link is known to be narrow")
	})
}

// A chunk takes longer over a narrow link than what makes one count as stalled elsewhere.
func TestAVMOnANarrowLinkGetsItsChunks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		link := &narrowLink{set: wholeSet(g), chunkTime: time.Second}
		list := members(4, "east")
		d := swarm.NewDownload(list[0], list, weights.NewSet(link.set.Manifest()), link, noOrigin{}, swarm.WithParallel(3, 1),
			swarm.WithLinkRate(chunkSize/chunkTime.Seconds()), swarm.WithLateness(time.Hour), swarm.WithMinTimeout(600*time.Millisecond))
		ctx, cancel := context.WithTimeout(t.Context(), 2*chunks*link.chunkTime)
		defer cancel()
		g.Expect(d.Run(ctx)).To(Succeed())
	})
}

// silent is a Transport to members that tell of chunks and give none.
type silent struct {
	set *weights.Set

	mu     sync.Mutex
	waited time.Duration
}

func (s *silent) Have(ctx context.Context, _ swarm.Member, _ weights.Digest, since int) ([]int, error) {
	news, _ := s.set.Since(since)
	if len(news) == 0 {
		<-ctx.Done()
	}
	return news, ctx.Err()
}

func (s *silent) Chunk(ctx context.Context, _ swarm.Member, _ weights.Digest, _ int) ([]byte, error) {
	began := time.Now()
	<-ctx.Done()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waited = max(s.waited, time.Since(began))
	return nil, ctx.Err()
}

// Neighbours that fell silent look like a narrow link. However many there are, the next is
// not waited for longer and longer.
func TestSilentNeighboursAreNotWaitedForLongerAndLonger(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		peers := &silent{set: wholeSet(g)}
		list := members(10, "east")
		d := swarm.NewDownload(list[0], list, weights.NewSet(peers.set.Manifest()), peers, noOrigin{}, swarm.WithParallel(3, 1),
			swarm.WithLinkRate(chunkSize/chunkTime.Seconds()), swarm.WithMinTimeout(600*time.Millisecond))
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		g.Expect(d.Run(ctx)).To(MatchError(context.DeadlineExceeded))
		g.Expect(peers.waited).To(BeNumerically("<=", 2*time.Second))
	})
}

// wholeSet returns a version that is complete.
func wholeSet(g Gomega) *weights.Set {
	data, m := version(1)
	whole := weights.NewSet(m)
	for i := range chunks {
		_, err := whole.Put(i, data[i*chunkSize:(i+1)*chunkSize])
		g.Expect(err).NotTo(HaveOccurred())
	}
	return whole
}

// noOrigin is an Origin that is not there.
type noOrigin struct{}

func (noOrigin) ReadChunk(context.Context, int64, int64) ([]byte, error) {
	return nil, errors.New("no origin")
}
