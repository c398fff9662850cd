package gateway_test

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/silverdeck/silverdeck/gateway/poison"
	"github.com/silverdeck/silverdeck/platform"
	"github.com/silverdeck/silverdeck/standin"
)

// quarantine stores a request that is quarantined until the given time after three crashes.
func quarantine(store *standin.Store, uri string, until time.Time) poison.Key {
	r := poison.Record{Key: (&poison.Request{Method: http.MethodGet, URI: uri}).Key(), Crashes: []poison.Incarnation{1, 2, 3}}
	store.Put(platform.KindQuarantine, r.Key.String(), platform.NewQuarantine(r, until))
	return r.Key
}

// stored returns a function that reports whether the gateway's store holds the quarantine of k.
func stored(g *WithT, cfg *platform.Settings, k poison.Key) func() bool {
	return func() bool {
		_, body := get(g, "http://"+cfg.Store+"/objects/"+platform.KindQuarantine, "")
		return strings.Contains(body, k.String())
	}
}

// Guards against a restart of all gateways while a request is quarantined: the next copy of
// the request must not crash another endpoint.
func TestAGatewayThatStartsKnowsWhatIsQuarantined(t *testing.T) {
	g := NewWithT(t)
	store := newStore() // no endpoint accepts requests
	k := quarantine(store, "/fatal", time.Now().Add(5*time.Minute))
	cfg := startGatewayWithStore(t, store, 20)
	status, body := get(g, "http://"+cfg.Callers+"/fatal", "h")
	g.Expect(status).To(Equal(http.StatusBadGateway))
	g.Expect(body).To(HavePrefix("quarantined"))
	status, _ = get(g, "http://"+cfg.Callers+"/other", "h")
	g.Expect(status).To(Equal(http.StatusServiceUnavailable), "no endpoint is available")

	clear, err := http.NewRequest(http.MethodDelete, "http://"+cfg.Observe+"/quarantine/"+k.String(), nil)
	g.Expect(err).NotTo(HaveOccurred())
	for _, want := range []int{http.StatusNoContent, http.StatusNotFound} {
		resp, err := http.DefaultClient.Do(clear)
		g.Expect(err).NotTo(HaveOccurred())
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		g.Expect(resp.StatusCode).To(Equal(want))
	}
	status, _ = get(g, "http://"+cfg.Callers+"/fatal", "h")
	g.Expect(status).To(Equal(http.StatusServiceUnavailable))
	g.Eventually(stored(g, cfg, k), eventuallyTimeout).Should(BeFalse())
}

func TestAQuarantineThatHasRunOutIsRemoved(t *testing.T) {
	g := NewWithT(t)
	store := newStore() // no endpoint accepts requests
	k := quarantine(store, "/fatal", time.Now().Add(-time.Second))
	cfg := startGatewayWithStore(t, store, 21)
	status, _ := get(g, "http://"+cfg.Callers+"/fatal", "h")
	g.Expect(status).To(Equal(http.StatusServiceUnavailable))
	g.Eventually(stored(g, cfg, k), eventuallyTimeout).Should(BeFalse())
}

// A running gateway must pass the quarantine on to one that starts, even if the store has
// lost it.
func TestGatewaysTellEachOtherWhatIsQuarantined(t *testing.T) {
	g := NewWithT(t)
	store := newStore() // no endpoint accepts requests
	k := quarantine(store, "/fatal", time.Now().Add(5*time.Minute))
	startGatewayWithStore(t, store, 22)
	store.Delete(platform.KindQuarantine, k.String())
	cfg := startGatewayWithStore(t, store, 23)
	verdict := func() string {
		_, body := get(g, "http://"+cfg.Callers+"/fatal", "h")
		return strings.SplitN(body, ":", 2)[0]
	}
	g.Eventually(verdict, eventuallyTimeout).Should(Equal("quarantined"))
}
