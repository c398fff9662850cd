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

// quarantine puts a request that three endpoints ended under into the store, until a time.
func quarantine(store *standin.Store, uri string, until time.Time) poison.Key {
	r := poison.Record{Key: (&poison.Request{Method: http.MethodGet, URI: uri}).Key(), Crashes: []poison.Incarnation{1, 2, 3}}
	store.Put(platform.KindQuarantine, r.Key.String(), platform.NewQuarantine(r, until))
	return r.Key
}

// stored returns whether the store of a gateway holds an object.
func stored(g *WithT, cfg *platform.Settings, k poison.Key) func() bool {
	return func() bool {
		_, body := get(g, "http://"+cfg.Store+"/objects/"+platform.KindQuarantine, "")
		return strings.Contains(body, k.String())
	}
}

// All gateways were killed at once while a request was quarantined. The first copy that comes
// afterwards must not end another endpoint.
func TestAGatewayThatStartsKnowsWhatIsQuarantined(t *testing.T) {
	g := NewWithT(t)
	store := newStore() // no endpoint takes requests
	k := quarantine(store, "/fatal", time.Now().Add(5*time.Minute))
	cfg := startGatewayBefore(t, store, 20)
	status, body := get(g, "http://"+cfg.Callers+"/fatal", "h")
	g.Expect(status).To(Equal(http.StatusBadGateway))
	g.Expect(body).To(HavePrefix("quarantined"))
	status, _ = get(g, "http://"+cfg.Callers+"/other", "h")
	g.Expect(status).To(Equal(http.StatusServiceUnavailable), "no endpoint is there")

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
	g.Eventually(stored(g, cfg, k), patience).Should(BeFalse())
}

func TestAQuarantineThatHasRunOutIsRemoved(t *testing.T) {
	g := NewWithT(t)
	store := newStore() // no endpoint takes requests
	k := quarantine(store, "/fatal", time.Now().Add(-time.Second))
	cfg := startGatewayBefore(t, store, 21)
	status, _ := get(g, "http://"+cfg.Callers+"/fatal", "h")
	g.Expect(status).To(Equal(http.StatusServiceUnavailable))
	g.Eventually(stored(g, cfg, k), patience).Should(BeFalse())
}

// A gateway that lives tells one that starts, also where the store has lost it.
func TestGatewaysTellEachOtherWhatIsQuarantined(t *testing.T) {
	g := NewWithT(t)
	store := newStore() // no endpoint takes requests
	k := quarantine(store, "/fatal", time.Now().Add(5*time.Minute))
	startGatewayBefore(t, store, 22)
	store.Delete(platform.KindQuarantine, k.String())
	cfg := startGatewayBefore(t, store, 23)
	told := func() string {
		_, body := get(g, "http://"+cfg.Callers+"/fatal", "h")
		return strings.SplitN(body, ":", 2)[0]
	}
	g.Eventually(told, patience).Should(Equal("quarantined"))
}
