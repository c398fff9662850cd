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
	// chunkTime is what a chunk takes at the pace of the server.
	chunkTime = 40 * time.Millisecond
)

// upload is how a request for a chunk was answered, and after how long.
type upload struct {
	status int
	took   time.Duration
}

// ask lets n requests for different chunks come to a server at once.
func ask(t *testing.T, n int, opts ...exchange.ServerOption) []upload {
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
	out := make([]upload, n)
	var group sync.WaitGroup
	for i := range n {
		group.Go(func() {
			began := time.Now()
			w := httptest.NewRecorder()
			r := httptest.NewRequest(http.MethodGet, "/chunks/"+set.Root().String()+"/"+string(rune('0'+i)), nil)
			mux.ServeHTTP(w, r)
			out[i] = upload{w.Code, time.Since(began)}
		})
	}
	group.Wait()
	return out
}

// A chunk that is sent alone is whole elsewhere after its own time on the link, and who would
// wait long learns at once that it has to ask elsewhere.
func TestChunksAreSentOneAfterTheOtherAndFewWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		var took []time.Duration
		refused := 0
		for _, u := range ask(t, 5, exchange.WithQueue(2)) {
			if u.status == http.StatusServiceUnavailable {
				refused++
				g.Expect(u.took).To(BeZero())
				continue
			}
			g.Expect(u.status).To(Equal(http.StatusOK))
			took = append(took, u.took)
		}
		g.Expect(refused).To(Equal(2))
		g.Expect(took).To(ContainElement(BeNumerically("<=", chunkTime)))
		g.Expect(took).To(HaveEach(BeNumerically("<=", 3*chunkTime)))
	})
}

func TestWithoutASettingFourWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		refused := 0
		for _, u := range ask(t, 7) {
			if u.status == http.StatusServiceUnavailable {
				refused++
			}
		}
		NewWithT(t).Expect(refused).To(Equal(2))
	})
}
