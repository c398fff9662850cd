package gateway_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/silverdeck/silverdeck/platform"
	"github.com/silverdeck/silverdeck/standin"
)

// startZones starts one gateway with an endpoint in zone a, region east, and one in zone b.
func startZones(t *testing.T, store *standin.Store, n int) *platform.Settings {
	for _, zone := range []string{"a", "b"} {
		addr, _ := startEndpointWithHeaders(t, map[string]string{"Zone": zone})
		store.Put(platform.KindEndpoints, "h"+zone, json.RawMessage(fmt.Sprintf(
			`{"service":"llm","address":%q,"zone":%q,"slots":4,"state":"ready"}`, addr, zone)))
	}
	return startGatewayWithStore(t, store, n, func(cfg *platform.Settings) {
		cfg.Regions = map[string]string{"a": "east", "b": "west"}
		cfg.EvacuationLimit = 5 * time.Second
	})
}

// servedBy returns the statuses of some requests with the zones of the endpoints that served them.
func servedBy(g *WithT, cfg *platform.Settings) map[string]bool {
	out := map[string]bool{}
	for range 10 {
		r, err := http.NewRequest(http.MethodGet, "http://"+cfg.Callers+"/x", nil)
		g.Expect(err).NotTo(HaveOccurred())
		r.Host = "h"
		resp, err := http.DefaultClient.Do(r)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(resp.Body.Close()).To(Succeed())
		out[fmt.Sprint(resp.StatusCode, resp.Header.Get("Zone"))] = true
	}
	return out
}

// Guards against requests to an availability zone that the operator evacuates: from the start of
// the gateway, while the store is away, until the evacuation is taken back.
func TestAnEvacuatedZoneGetsNoRequests(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	store := newStore()
	store.Put(platform.KindEvacuations, "a", json.RawMessage(`{}`))
	cfg := startZones(t, store, 60)
	g.Expect(servedBy(g, cfg)).To(Equal(map[string]bool{"200b": true}))

	store.SetFault(standin.StoreFault{Status: http.StatusServiceUnavailable})
	g.Consistently(func() map[string]bool { return servedBy(g, cfg) }, 300*time.Millisecond).Should(Equal(map[string]bool{"200b": true}))
	store.SetFault(standin.StoreFault{})

	store.Delete(platform.KindEvacuations, "a")
	store.Put(platform.KindEvacuations, "b", json.RawMessage(`{}`))
	g.Eventually(func() map[string]bool { return servedBy(g, cfg) }, eventuallyTimeout).Should(Equal(map[string]bool{"200a": true}))

	store.Put(platform.KindEvacuations, "a", json.RawMessage(`{}`))
	g.Eventually(func() map[string]bool { return servedBy(g, cfg) }, eventuallyTimeout).Should(Equal(map[string]bool{"503": true}))
}

// Guards against a route or an account whose requests leave the regions that it allows.
func TestAllowedRegionsOfTheConfigurationAreKept(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	store := newStore()
	cfg := startZones(t, store, 61)
	config := func(version int, regions string) {
		store.Put(platform.KindConfig, platform.ConfigName, json.RawMessage(fmt.Sprintf(`{"version":%d,"routes":[{"name":"r","hostname":"h",
			"path_prefix":"/","kind":"safe","timeout_ms":1000,"service":"llm","allowed_regions":%s}],"services":[{"name":"llm"}]}`, version, regions)))
	}
	for i, c := range []struct{ regions, want string }{{`["west"]`, "200b"}, {`["east"]`, "200a"}, {`["north"]`, "503"}} {
		config(10+i, c.regions)
		g.Eventually(func() map[string]bool { return servedBy(g, cfg) }, eventuallyTimeout).Should(Equal(map[string]bool{c.want: true}), c.regions)
	}
}

// TestAnEvacuationThatTheCopyLacksHoldsUntilItIsWrittenAgain guards against requests to the zone after the store returned from a copy.
func TestAnEvacuationThatTheCopyLacksHoldsUntilItIsWrittenAgain(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	store := newStore()
	cfg := startZones(t, store, 72)
	served := func() map[string]bool { return servedBy(g, cfg) }
	c := store.Copy()
	store.Put(platform.KindEvacuations, "a", json.RawMessage(`{}`))
	g.Eventually(served, eventuallyTimeout).Should(Equal(map[string]bool{"200b": true}))
	store.Restore(c)
	g.Consistently(served, time.Second).Should(Equal(map[string]bool{"200b": true}))
	store.Put(platform.KindEvacuations, "a", json.RawMessage(`{}`))
	g.Consistently(served, 3*time.Second).Should(Equal(map[string]bool{"200b": true}))
	store.Restore(c)
	g.Eventually(served, eventuallyTimeout).Should(HaveKey("200a"), "the operator did not write it again")
}
