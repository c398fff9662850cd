package gateway_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"

	"github.com/silverdeck/silverdeck/platform"
	"github.com/silverdeck/silverdeck/standin"
)

// configure writes a configuration with one more route, /new/.
func configure(store *standin.Store, version int) {
	spec := strings.Replace(specs[0].spec, "%s", "", 1)
	spec = strings.Replace(spec, `"version":3`, fmt.Sprintf(`"version":%d`, version), 1)
	store.Put(platform.KindConfig, platform.ConfigName, json.RawMessage(strings.Replace(spec, `"hostname":"h"`, `"hostname":"later"`, 1)))
}

// TestWhatIsWrittenAfterAReturnFromACopyIsInForce guards against a gateway that follows the store's former revisions.
func TestWhatIsWrittenAfterAReturnFromACopyIsInForce(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	store := newStore()
	c := store.Copy()
	addr, requests := startEndpointWithHeaders(t, nil)
	endpoint := func(state string) {
		store.Put(platform.KindEndpoints, "e2", json.RawMessage(fmt.Sprintf(`{"service":"llm","address":%q,"zone":"a","slots":4,"state":%q}`, addr, state)))
	}
	endpoint("ready")
	cfg := startGatewayWithStore(t, store, 70)
	status := func(host string) func() int {
		return func() int { s, _ := get(g, "http://"+cfg.Callers+"/x", host); return s }
	}
	g.Eventually(status("h"), eventuallyTimeout).Should(Equal(http.StatusOK))

	store.Restore(c)
	configure(store, 4)
	endpoint("draining")
	g.Eventually(status("later"), eventuallyTimeout).Should(Equal(http.StatusServiceUnavailable), "the new route is known, and its endpoint leaves")
	before := requests.Load()
	g.Expect(status("later")()).To(Equal(http.StatusServiceUnavailable))
	g.Expect(requests.Load()).To(Equal(before))
	g.Expect(status("h")()).To(Equal(http.StatusNotFound))
}

// TestGatewaysWriteAgainWhatTheStoreLost guards against gateways and quarantines that the store does not know after its return from a copy.
func TestGatewaysWriteAgainWhatTheStoreLost(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	store := newStore()
	c := store.Copy()
	k := quarantine(store, "/lost", time.Now().Add(5*time.Minute))
	cfg := startGatewayWithStore(t, store, 71)
	client := platform.NewStore(cfg.Store, metrics.NewRegistry())
	names := func() []string {
		var out []string
		for _, kind := range []string{platform.KindMembers, platform.KindQuarantine} {
			objects, err := client.ListStale(context.Background(), kind)
			g.Expect(err).NotTo(HaveOccurred())
			for _, o := range objects {
				out = append(out, o.Name)
			}
		}
		return out
	}
	g.Eventually(names, eventuallyTimeout).Should(ConsistOf("gw71", k.String()))
	for range 2 {
		store.Restore(c)
		g.Expect(names()).To(BeEmpty())
		g.Eventually(names, eventuallyTimeout).Should(ConsistOf("gw71", k.String()))
	}
}
