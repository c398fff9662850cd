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

// advised starts an endpoint that answers each request with more headers, and counts requests.
func advised(t *testing.T, headers map[string]string) (addr string, requests *atomic.Int64) {
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

// startThree starts gateways from number n on before one endpoint.
func startThree(t *testing.T, n int, endpoint string) []*platform.Settings {
	store := newStore()
	store.Put(platform.KindEndpoints, "h0", json.RawMessage(fmt.Sprintf(
		`{"service":"llm","address":%q,"zone":"a","slots":4,"state":"ready"}`, endpoint)))
	var out []*platform.Settings
	for i := range 3 {
		out = append(out, startGatewayBefore(t, store, n+i))
	}
	return out
}

// Gateways keep to a limit together, and each gets a part of it for its callers.
func TestGatewaysShareWhatAnEndpointTakesASecond(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	addr, requests := advised(t, map[string]string{"Server-Limit": "5"})
	gateways := startThree(t, 30, addr)
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
		if began.IsZero() && least > 0 { // each has been told, and the others as well
			began = time.Now()
			requests.Store(0)
		}
		return least
	}, patience, 5*time.Millisecond).Should(BeNumerically(">=", 5))
	g.Expect(float64(requests.Load())).To(BeNumerically("<=", 1.5*5*time.Since(began).Seconds()+5))
}

// A gateway that has never sent there knows it from the one that has.
func TestGatewaysTellEachOtherThatAnEndpointLeaves(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	addr, requests := advised(t, map[string]string{"Server-Leaving": "1"})
	gateways := startThree(t, 33, addr)
	g.Eventually(func() int64 {
		_, _ = get(g, "http://"+gateways[0].Callers+"/x", "h")
		return requests.Load()
	}, patience).Should(Equal(int64(1)))
	for _, cfg := range gateways[1:] {
		g.Eventually(func() string {
			_, body := get(g, "http://"+cfg.Callers+"/x", "h")
			return strings.SplitN(body, ":", 2)[0]
		}, patience).Should(Equal("no_endpoint"))
	}
	g.Consistently(func() int64 {
		_, _ = get(g, "http://"+gateways[0].Callers+"/x", "h")
		return requests.Load()
	}, 300*time.Millisecond).Should(BeNumerically("<=", 3))
}
