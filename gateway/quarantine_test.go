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

// quarantinePart stores a part of prompts in requests to the service llm that is quarantined until the given time.
func quarantinePart(store *standin.Store, id byte, until time.Time) poison.Key {
	r := poison.Record{Key: poison.PartID{15: id}.Key("llm"), Confirmed: true, Crashes: []poison.Incarnation{1, 2, 3}}
	store.Put(platform.KindQuarantine, r.Key.String(), platform.NewQuarantine(r, until))
	return r.Key
}

// getWithPrompt is like get, with the parts of a prompt.
func getWithPrompt(g *WithT, cfg *platform.Settings, parts string) (int, string) {
	r, err := http.NewRequest(http.MethodGet, "http://"+cfg.Callers+"/x", nil)
	g.Expect(err).NotTo(HaveOccurred())
	r.Host = "h"
	r.Header.Set("X-Silverdeck-Prompt-Prefix", parts)
	resp, err := http.DefaultClient.Do(r)
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	g.Expect(err).NotTo(HaveOccurred())
	code, _, _ := strings.Cut(string(body), ":")
	return resp.StatusCode, code
}

// TestAGatewayThatStartsKnowsWhichPartsAreQuarantined guards against a restart of all gateways that forgets them.
func TestAGatewayThatStartsKnowsWhichPartsAreQuarantined(t *testing.T) {
	g := NewWithT(t)
	store := newStore() // no endpoint accepts requests
	k := quarantinePart(store, 0xa1, time.Now().Add(5*time.Minute))
	cfg := startGatewayWithStore(t, store, 24)
	status, code := getWithPrompt(g, cfg, "5:10,A1:20,7:30")
	g.Expect(status).To(Equal(http.StatusServiceUnavailable))
	g.Expect(code).To(Equal("part_quarantined"))
	_, code = getWithPrompt(g, cfg, "5:10,a1:20")
	g.Expect(code).To(Equal("no_endpoint"), "the last part is the request's own")

	store.Delete(platform.KindQuarantine, k.String())
	other := startGatewayWithStore(t, store, 25)
	g.Eventually(func() string {
		_, code := getWithPrompt(g, other, "a1:20,7:30")
		return code
	}, eventuallyTimeout).Should(Equal("part_quarantined"), "gateways tell each other")

	clear, err := http.NewRequest(http.MethodDelete, "http://"+cfg.Observe+"/quarantine/"+k.String(), nil)
	g.Expect(err).NotTo(HaveOccurred())
	resp, err := http.DefaultClient.Do(clear)
	g.Expect(err).NotTo(HaveOccurred())
	_ = resp.Body.Close()
	g.Expect(resp.StatusCode).To(Equal(http.StatusNoContent))
	g.Eventually(func() string {
		_, code := getWithPrompt(g, other, "a1:20,7:30")
		return code
	}, eventuallyTimeout).Should(Equal("no_endpoint"))
}
