package gateway_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/silverdeck/silverdeck/platform"
)

// startEndpointWithHeaders starts an endpoint that adds headers to each response and counts
// its requests.
func startEndpointWithHeaders(t *testing.T, headers map[string]string) (addr string, requests *atomic.Int64) {
	requests = &atomic.Int64{}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		requests.Add(1)
		for name, value := range headers {
			w.Header().Set(name, value)
		}
		w.Header().Set("X-Silverdeck-Attempt-Id", r.Header.Get("X-Silverdeck-Attempt-Id"))
		w.Header().Set("X-Silverdeck-Response-Stamp", "st")
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://"), requests
}

// startThreeGateways starts three gateways, numbered from n, that share one endpoint.
func startThreeGateways(t *testing.T, n int, endpoint string) []*platform.Settings {
	store := newStore()
	store.Put(platform.KindEndpoints, "h0", json.RawMessage(fmt.Sprintf(
		`{"service":"llm","address":%q,"zone":"a","slots":4,"state":"ready"}`, endpoint)))
	var out []*platform.Settings
	for i := range 3 {
		out = append(out, startGatewayWithStore(t, store, n+i))
	}
	return out
}

// The gateways together must observe an endpoint's rate limit, and each must get a share.
func TestGatewaysShareWhatAnEndpointTakesASecond(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	addr, requests := startEndpointWithHeaders(t, map[string]string{"Server-Limit": "5"})
	gateways := startThreeGateways(t, 30, addr)
	served := map[int]int{}
	var began time.Time
	g.Eventually(func() int {
		least := 10
		for i, cfg := range gateways {
			if status, _ := get(g, "http://"+cfg.Callers+"/x", "h"); status == http.StatusOK {
				served[i]++
			}
			least = min(least, served[i])
		}
		if began.IsZero() && least > 0 { // by now all gateways know the limit
			began = time.Now()
			requests.Store(0)
		}
		return least
	}, eventuallyTimeout, 5*time.Millisecond).Should(BeNumerically(">=", 5))
	g.Expect(float64(requests.Load())).To(BeNumerically("<=", 1.5*5*time.Since(began).Seconds()+5))
}

// A gateway that never sent a request to the endpoint must learn from the one that did.
func TestGatewaysTellEachOtherThatAnEndpointLeaves(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	addr, requests := startEndpointWithHeaders(t, map[string]string{"Server-Leaving": "1"})
	gateways := startThreeGateways(t, 33, addr)
	g.Eventually(func() int64 {
		_, _ = get(g, "http://"+gateways[0].Callers+"/x", "h")
		return requests.Load()
	}, eventuallyTimeout).Should(Equal(int64(1)))
	for _, cfg := range gateways[1:] {
		g.Eventually(func() string {
			_, body := get(g, "http://"+cfg.Callers+"/x", "h")
			return strings.SplitN(body, ":", 2)[0]
		}, eventuallyTimeout).Should(Equal("no_endpoint"))
	}
	g.Consistently(func() int64 {
		_, _ = get(g, "http://"+gateways[0].Callers+"/x", "h")
		return requests.Load()
	}, 300*time.Millisecond).Should(BeNumerically("<=", 3))
}
