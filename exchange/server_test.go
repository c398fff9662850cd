package exchange_test

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/silverdeck/silverdeck/exchange"
	"github.com/silverdeck/silverdeck/weights"
)

const (
	chunkSize = 16 << 10
	// chunkTime is the time to send a chunk at the rate limit of the server.
	chunkTime = 40 * time.Millisecond
)

// result is the status of the response to a chunk request and the time until it was complete.
type result struct {
	status  int
	elapsed time.Duration
}

// requestChunks sends n concurrent requests for different chunks to a server with one upload
// slot.
func requestChunks(t *testing.T, n int, opts ...exchange.ServerOption) []result {
	data := make([]byte, n*chunkSize)
	for i := range data {
		data[i] = byte(i / chunkSize)
	}
	m, err := weights.NewManifest(bytes.NewReader(data), chunkSize)
	if err != nil {
		t.Fatal(err)
	}
	sets := exchange.NewSets()
	set, _ := sets.Add(m)
	for i := range n {
		if _, err := set.Put(i, data[i*chunkSize:(i+1)*chunkSize]); err != nil {
			t.Fatal(err)
		}
	}
	opts = append(opts, exchange.WithPace(chunkSize/chunkTime.Seconds()))
	mux := http.NewServeMux()
	exchange.NewServer(sets, 1, opts...).Register(mux)
	out := make([]result, n)
	var group sync.WaitGroup
	for i := range n {
		group.Go(func() {
			start := time.Now()
			w := httptest.NewRecorder()
			r := httptest.NewRequest(http.MethodGet, "/chunks/"+set.Root().String()+"/"+string(rune('0'+i)), nil)
			mux.ServeHTTP(w, r)
			out[i] = result{w.Code, time.Since(start)}
		})
	}
	group.Wait()
	return out
}

// Guards against chunks that share the link, all of which then arrive late, and against peers
// that wait in a long queue instead of being rejected immediately and asking another peer.
func TestChunksAreSentOneAfterTheOtherAndFewWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		var sent []time.Duration
		rejected := 0
		for _, r := range requestChunks(t, 5, exchange.WithQueue(2)) {
			if r.status == http.StatusServiceUnavailable {
				rejected++
				g.Expect(r.elapsed).To(BeZero())
				continue
			}
			g.Expect(r.status).To(Equal(http.StatusOK))
			sent = append(sent, r.elapsed)
		}
		g.Expect(rejected).To(Equal(2))
		g.Expect(sent).To(ContainElement(BeNumerically("<=", chunkTime)))
		g.Expect(sent).To(HaveEach(BeNumerically("<=", 3*chunkTime)))
	})
}

func TestFourRequestsWaitByDefault(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rejected := 0
		for _, r := range requestChunks(t, 7) {
			if r.status == http.StatusServiceUnavailable {
				rejected++
			}
		}
		NewWithT(t).Expect(rejected).To(Equal(2))
	})
}
