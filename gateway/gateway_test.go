package gateway_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"

	"github.com/silverdeck/silverdeck/gateway"
	"github.com/silverdeck/silverdeck/inventory"
	"github.com/silverdeck/silverdeck/peerconn"
	"github.com/silverdeck/silverdeck/platform"
	"github.com/silverdeck/silverdeck/routes"
	"github.com/silverdeck/silverdeck/serve"
	"github.com/silverdeck/silverdeck/standin"
	"github.com/silverdeck/silverdeck/telemetry"
)

// eventuallyTimeout bounds waits for events that take well under a second on an idle machine. A
// machine short of memory stands still for a minute.
const eventuallyTimeout = 3 * time.Minute

// specs is the initial content of the store; %s is replaced by the configuration's limits.
var specs = []struct{ kind, name, spec string }{
	{platform.KindConfig, platform.ConfigName, `{"version":3,%s"routes":[{"name":"r","hostname":"h","path_prefix":"/","kind":"safe","timeout_ms":1000,"service":"llm"}],
		"services":[{"name":"llm","engine":{"models":[{"name":"m"}]}},{"name":"o","origin":"10.9.0.1:80","link_mbps":15}]}`},
	{platform.KindEndpoints, "e1", `{"service":"llm","address":"10.0.0.1:80","zone":"a","slots":4,"state":"draining"}`},
	{platform.KindVersions, "m", `{"model":"m","version":2}`},
}

// startGateway starts a gateway on loopback addresses that are unique to this process, and
// returns its settings. limits is the "limits" member of the configuration, or empty.
func startGateway(t *testing.T, limits string) *platform.Settings {
	store := standin.NewStore()
	for _, s := range specs {
		store.Put(s.kind, s.name, json.RawMessage(strings.Replace(s.spec, "%s", limits, 1)))
	}
	return startGatewayWithStore(t, store, 1)
}

// gatewayIP returns the loopback address of gateway n, which is unique to this process.
func gatewayIP(n int) string {
	return fmt.Sprintf("127.%d.%d.%d", 100+os.Getpid()%100, os.Getpid()/100%250, n)
}

// startGatewayWithStore starts gateway n with store and returns its settings, as changed by the
// options.
func startGatewayWithStore(t *testing.T, store *standin.Store, n int, options ...func(*platform.Settings)) *platform.Settings {
	gw, cfg := newGatewayWithStore(t, store, n, options...)
	t.Cleanup(func() { _ = gw.Stop(context.Background()) })
	return cfg
}

// newGatewayWithStore is like startGatewayWithStore, but the caller stops the gateway.
func newGatewayWithStore(t *testing.T, store *standin.Store, n int, options ...func(*platform.Settings)) (*gateway.Gateway, *platform.Settings) {
	g := NewWithT(t)
	server := httptest.NewServer(store)
	t.Cleanup(server.Close)
	ip := gatewayIP(n)
	cfg := &platform.Settings{
		Identity: telemetry.Identity{VM: fmt.Sprintf("gw%d", n), Zone: "a"},
		Callers:  ip + ":7000", Ready: ip + ":7001", Directory: ip + ":7002", Peer: ip + ":7003", Observe: ip + ":7004",
		PeerPort: 7003, Regions: map[string]string{"a": "east"}, Store: strings.TrimPrefix(server.URL, "http://"),
		DrainLimit: 2 * time.Second, Grace: 4 * time.Second, RetryWindow: time.Second, VersionLimit: 8 * time.Second,
		ContactTime: 300 * time.Millisecond,
	}
	for _, o := range options {
		o(cfg)
	}
	gw := gateway.New(cfg, log.New(io.Discard), metrics.NewRegistry())
	g.Expect(gw.Start(context.Background())).To(Succeed())
	g.Eventually(gw.Ready, eventuallyTimeout).Should(Succeed())
	return gw, cfg
}

func get(g *WithT, url, host string) (int, string) {
	r, err := http.NewRequest(http.MethodGet, url, nil)
	g.Expect(err).NotTo(HaveOccurred())
	r.Host = host
	resp, err := http.DefaultClient.Do(r)
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	g.Expect(err).NotTo(HaveOccurred())
	return resp.StatusCode, string(body)
}

func TestAGatewayPutsInForceWhatTheStoreHolds(t *testing.T) {
	g := NewWithT(t)
	cfg := startGateway(t, "")
	status, _ := get(g, "http://"+cfg.Ready+platform.ReadyPath, "")
	g.Expect(status).To(Equal(http.StatusOK))
	status, body := get(g, "http://"+cfg.Callers+"/x", "other")
	g.Expect(status).To(Equal(http.StatusNotFound), body)
	status, body = get(g, "http://"+cfg.Callers+"/x", "h")
	g.Expect(status).To(Equal(http.StatusServiceUnavailable), "the endpoint is leaving")
	g.Expect(body).To(ContainSubstring("no endpoint of llm"))
	status, body = get(g, "http://"+cfg.Directory+platform.ResolvePath+"?zone=a", "")
	g.Expect(status).To(Equal(http.StatusOK))
	g.Expect(body).To(ContainSubstring(cfg.Callers))
	status, passedOn := get(g, "http://"+cfg.Observe+platform.ResolvePath+"?zone=a", "")
	g.Expect(status).To(Equal(http.StatusOK))
	g.Expect(passedOn).To(Equal(body), "as the directory process asks")
}

func TestAGatewayTellsProcessesBesideEndpointsWhatTheStoreHolds(t *testing.T) {
	g := NewWithT(t)
	cfg := startGateway(t, "")
	pool := peerconn.NewPool(&net.Dialer{})
	defer pool.Close()
	var inv inventory.Inventory
	ask := func() error {
		ctx, cancel := context.WithTimeout(context.Background(), eventuallyTimeout)
		defer cancel()
		return pool.Call(ctx, cfg.Peer, inventory.MethodGet, inventory.Query{Service: "llm", Wait: time.Second}, &inv)
	}
	g.Eventually(ask, eventuallyTimeout).Should(Succeed())
	g.Expect(inv.Versions).To(Equal([]inventory.Version{{Model: "m", Version: 2}}))
	g.Expect(inv.ServiceConfig()).To(Equal(inventory.ServiceConfig{Models: []string{"m"}, Origin: "10.9.0.1:80", OriginMbps: 15}))
	g.Expect(inv.Members[0].Addr).To(Equal("10.0.0.1:7003"))
	g.Expect(inv.Entries).To(Equal([]inventory.Place{{Addr: cfg.Peer, Zone: "a"}}))
}

// limits sets caller limits well above the gateway's own defaults.
const limits = `"limits":{"max_header_bytes":204800,"max_body_bytes":1000,"header_timeout_ms":2000,"idle_timeout_ms":30000},`

func TestCallersHeadersAreBoundedByTheConfiguration(t *testing.T) {
	g := NewWithT(t)
	cfg := startGateway(t, limits)
	r, err := http.NewRequest(http.MethodGet, "http://"+cfg.Callers+"/x", nil)
	g.Expect(err).NotTo(HaveOccurred())
	r.Host = "other"
	r.Header.Set("X-Large", strings.Repeat("x", 100<<10))
	resp, err := http.DefaultClient.Do(r)
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = resp.Body.Close() }()
	g.Expect(resp.StatusCode).To(Equal(http.StatusNotFound), "the head is within the configuration's limit")
}

func TestConnectionsAreBoundedByTheConfigurationAndNotBeforeItsLimits(t *testing.T) {
	for name, c := range map[string]struct {
		limits routes.Limits
		want   serve.Limits
	}{
		"none":           {routes.Limits{}, serve.Limits{HeaderBytes: 64 << 10, HeaderTimeout: 10 * time.Second, IdleTimeout: time.Minute}},
		"less than ours": {routes.Limits{HeaderBytes: 4096, HeaderTimeout: 2 * time.Second, IdleTimeout: 15 * time.Second}, serve.Limits{HeaderBytes: 4096, HeaderTimeout: 7 * time.Second, IdleTimeout: 20 * time.Second}},
		"more than ours": {routes.Limits{HeaderBytes: 1 << 20, HeaderTimeout: 20 * time.Second, IdleTimeout: time.Hour}, serve.Limits{HeaderBytes: 1 << 20, HeaderTimeout: 25 * time.Second, IdleTimeout: time.Hour + 5*time.Second}},
	} {
		t.Run(name, func(t *testing.T) {
			NewWithT(t).Expect(gateway.ConnectionLimits(c.limits)).To(Equal(c.want))
		})
	}
}
