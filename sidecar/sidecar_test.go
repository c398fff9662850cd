package sidecar_test

import (
	"context"
	"fmt"
	"io"
	"net/http/httptest"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"

	"github.com/silverdeck/silverdeck/inventory"
	"github.com/silverdeck/silverdeck/member"
	"github.com/silverdeck/silverdeck/peerconn"
	"github.com/silverdeck/silverdeck/platform"
	"github.com/silverdeck/silverdeck/sidecar"
	"github.com/silverdeck/silverdeck/standin"
	"github.com/silverdeck/silverdeck/telemetry"
	"github.com/silverdeck/silverdeck/versions"
)

// versionLimit is when no request may begin on older weights any more. Far above what a
// loaded machine takes for some calls.
const versionLimit = 30 * time.Second

// askedGateway answers a sidecar's questions. At first it does not know when version 2
// was named, or believes that it was just now; then it has learned the truth.
type askedGateway struct {
	learned atomic.Bool
	// atFirst is what it tells before.
	atFirst []versions.Naming
}

func (a *askedGateway) inventory(service string) *inventory.Inventory {
	return &inventory.Inventory{Digest: 1, Versions: []inventory.Version{{Model: "m", Version: 2}}, Models: []string{"m"}}
}

func (a *askedGateway) namings() []versions.Naming {
	if !a.learned.Load() {
		return a.atFirst
	}
	return []versions.Naming{{Model: "m", Version: 2, At: time.Now().Add(-versionLimit)}}
}

// serve starts a's server and returns its address.
func (a *askedGateway) serve(t *testing.T) string {
	mux, err := peerconn.NewMux(map[string]any{inventory.Service: inventory.NewServer(a.inventory, a.namings)})
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// The gateway that first tells a sidecar of a version may have heard of it late itself, or
// have just started. What it learns from others reaches the sidecar, and the limit of the
// old weights counts from then.
func TestALimitCountsFromWhatAGatewayLearnsLater(t *testing.T) {
	for name, a := range map[string]*askedGateway{
		"heard late":   {atFirst: []versions.Naming{{Model: "m", Version: 2, At: time.Now()}}},
		"just started": {},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			store := standin.NewStore()
			storeServer := httptest.NewServer(store)
			t.Cleanup(storeServer.Close)
			store.Put(platform.KindMembers, "gw", member.Entry{Name: "gw", Peer: a.serve(t), Zone: "a"})
			var endpoint *standin.Runner
			endpointServer := httptest.NewServer(nil)
			t.Cleanup(endpointServer.Close)
			addr := strings.TrimPrefix(endpointServer.URL, "http://")
			endpoint = standin.NewRunner(standin.RunnerConfig{ID: "e1", Service: "llm", Zone: "a", Address: addr, Model: "m", Slots: 4,
				Witness: standin.NewWitness(), Store: store}, 1)
			endpointServer.Config.Handler = endpoint
			ip := fmt.Sprintf("127.%d.%d.7", 100+os.Getpid()%100, os.Getpid()/100%250)
			s := sidecar.New(&platform.Settings{
				Identity: telemetry.Identity{VM: "vm", Zone: "a"}, Peer: ip + ":7100", Observe: ip + ":7101", PeerPort: 7100,
				Regions: map[string]string{"a": "east"}, Store: strings.TrimPrefix(storeServer.URL, "http://"),
				Endpoint: addr, Service: "llm", VersionLimit: versionLimit,
			}, log.New(io.Discard), metrics.NewRegistry())
			g.Expect(s.Start(context.Background())).To(Succeed())
			t.Cleanup(func() { _ = s.Stop(context.Background()) })
			g.Consistently(func() int { return held(g, addr) }, time.Second).Should(Equal(1), "its limit is not known to be over")
			a.learned.Store(true)
			g.Eventually(func() int { return held(g, addr) }, versionLimit/2).Should(BeZero())
		})
	}
}

// held returns how many models the endpoint at addr tells of.
func held(g *WithT, addr string) int {
	report, err := platform.NewEndpoint(addr).Report(context.Background())
	g.Expect(err).NotTo(HaveOccurred())
	return len(report.Loaded)
}
