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

// narrowLink is a Transport to members that hold all chunks, over one shared narrow link that
// transfers chunks one after the other.
type narrowLink struct {
	set       *weights.Set
	chunkTime time.Duration

	mu             sync.Mutex
	inFlight, most int
}

func (l *narrowLink) Have(ctx context.Context, _ swarm.Member, _ weights.Digest, since int) ([]int, error) {
	news, _ := l.set.Since(since)
	if len(news) == 0 {
		<-ctx.Done()
	}
	return news, ctx.Err()
}

func (l *narrowLink) Chunk(ctx context.Context, _ swarm.Member, req swarm.ChunkRequest) ([]byte, error) {
	i := req.Chunk
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

// take returns the transfer time of a chunk that is requested now.
func (l *narrowLink) take() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Duration(l.inFlight) * l.chunkTime
}

func (l *narrowLink) count(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.inFlight += n
	l.most = max(l.most, l.inFlight)
}

// Guards against each download measuring the link from scratch. Requests to an endpoint behind a
// narrow link were delayed by over a second and started on weights past their time limit, because
// three chunks of a download that had just started were queued on the link before them.
func TestADownloadKnowsTheLinkFromTheOneBefore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		link := &narrowLink{set: wholeSet(g), chunkTime: 300 * time.Millisecond}
		meter := congestion.New(chunkSize/chunkTime.Seconds(), chunkSize)
		list := members(4, "east")
		fetch := func() int {
			link.most = 0
			d := swarm.NewDownload(list[0], list, weights.NewSet(link.set.Manifest()), link, noOrigin{}, swarm.WithParallel(3, 1),
				swarm.WithLink(meter), swarm.WithTakeoverDelay(time.Hour), swarm.WithMinTimeout(5*time.Second))
			g.Expect(d.Run(t.Context())).To(Succeed())
			return link.most
		}
		g.Expect(fetch()).To(BeNumerically(">", 2), "link is not measured yet")
		g.Expect(fetch()).To(Equal(1), "link has been measured as narrow")
	})
}

// A chunk takes longer over a narrow link than the timeout on other links.
func TestAVMOnANarrowLinkGetsItsChunks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		link := &narrowLink{set: wholeSet(g), chunkTime: time.Second}
		list := members(4, "east")
		d := swarm.NewDownload(list[0], list, weights.NewSet(link.set.Manifest()), link, noOrigin{}, swarm.WithParallel(3, 1),
			swarm.WithLinkRate(chunkSize/chunkTime.Seconds()), swarm.WithTakeoverDelay(time.Hour), swarm.WithMinTimeout(600*time.Millisecond))
		ctx, cancel := context.WithTimeout(t.Context(), 2*chunks*link.chunkTime)
		defer cancel()
		g.Expect(d.Run(ctx)).To(Succeed())
	})
}

// unresponsive is a Transport to members that announce chunks but never send one.
type unresponsive struct {
	set *weights.Set

	mu     sync.Mutex
	waited time.Duration
}

func (s *unresponsive) Have(ctx context.Context, _ swarm.Member, _ weights.Digest, since int) ([]int, error) {
	news, _ := s.set.Since(since)
	if len(news) == 0 {
		<-ctx.Done()
	}
	return news, ctx.Err()
}

func (s *unresponsive) Chunk(ctx context.Context, _ swarm.Member, _ swarm.ChunkRequest) ([]byte, error) {
	began := time.Now()
	<-ctx.Done()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waited = max(s.waited, time.Since(began))
	return nil, ctx.Err()
}

// Unresponsive neighbours look like a narrow link of the VM's own. The timeout of a request must not
// grow with the number of such neighbours.
func TestTimeoutDoesNotGrowWithUnresponsiveNeighbours(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		peers := &unresponsive{set: wholeSet(g)}
		list := members(10, "east")
		d := swarm.NewDownload(list[0], list, weights.NewSet(peers.set.Manifest()), peers, noOrigin{}, swarm.WithParallel(3, 1),
			swarm.WithLinkRate(chunkSize/chunkTime.Seconds()), swarm.WithMinTimeout(600*time.Millisecond))
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		g.Expect(d.Run(ctx)).To(MatchError(context.DeadlineExceeded))
		g.Expect(peers.waited).To(BeNumerically("<=", 2*time.Second))
	})
}

// wholeSet returns a complete set.
func wholeSet(g Gomega) *weights.Set {
	data, m := version(1)
	whole := weights.NewSet(m)
	for i := range chunks {
		_, err := whole.Put(i, data[i*chunkSize:(i+1)*chunkSize])
		g.Expect(err).NotTo(HaveOccurred())
	}
	return whole
}

// noOrigin is an Origin of which every read fails.
type noOrigin struct{}

func (noOrigin) ReadChunk(context.Context, int64, int64) ([]byte, error) {
	return nil, errors.New("no origin")
}
