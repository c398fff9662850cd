package sidecar_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
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

// versionLimit is the time after a naming from which no request may begin on older weights. It is
// far longer than some calls take on a loaded machine.
const versionLimit = 30 * time.Second

// fakeGateway replies to the queries of a sidecar. Until informed is set, it does not know when
// version 2 was named, or reports that it was named just now.
type fakeGateway struct {
	informed atomic.Bool
	// initialNamings holds the namings that it reports until informed is set.
	initialNamings []versions.Naming
	// addr is the address at which it is served.
	addr string
}

func (a *fakeGateway) inventory(service string) *inventory.Inventory {
	return &inventory.Inventory{Digest: 1, Versions: []inventory.Version{{Model: "m", Version: 2}}, Models: []string{"m"},
		Entries: []inventory.Place{{Addr: a.addr, Zone: "a"}}}
}

func (a *fakeGateway) namings() []versions.Naming {
	if !a.informed.Load() {
		return a.initialNamings
	}
	return []versions.Naming{{Model: "m", Version: 2, At: time.Now().Add(-versionLimit)}}
}

// serve starts the server of the gateway and returns its address.
func (a *fakeGateway) serve(t *testing.T) string {
	mux, err := peerconn.NewMux(map[string]any{inventory.Service: inventory.NewServer(a.inventory, a.namings)})
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	server := httptest.NewUnstartedServer(mux)
	a.addr = server.Listener.Addr().String()
	server.Start()
	t.Cleanup(server.Close)
	return a.addr
}

// Guards against a limit of old weights that is computed from a late naming time. The gateway that
// first reports a version to a sidecar may itself have learned of it late or have just started; the
// sidecar must use the earlier time that the gateway learns afterwards.
func TestLimitCountsFromTheTimeThatAGatewayLearnsLater(t *testing.T) {
	for name, a := range map[string]*fakeGateway{
		"learned late": {initialNamings: []versions.Naming{{Model: "m", Version: 2, At: time.Now()}}},
		"just started": {},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			addr := startSidecar(t, a, 0)
			g.Consistently(func() int { return heldModels(g, addr) }, time.Second).Should(Equal(1), "the limit is not known to have passed")
			a.informed.Store(true)
			g.Eventually(func() int { return heldModels(g, addr) }, versionLimit/2).Should(BeZero())
		})
	}
}

// startSidecar starts a sidecar that hears of gateway a, beside an endpoint that reports the given
// pace. It returns the endpoint's address.
func startSidecar(t *testing.T, a *fakeGateway, pace float64) string {
	store := standin.NewStore()
	storeServer := httptest.NewServer(store)
	t.Cleanup(storeServer.Close)
	store.Put(platform.KindMembers, "gw", member.Entry{Name: "gw", Peer: a.serve(t), Zone: "a"})
	var endpoint *standin.Runner
	endpointServer := httptest.NewServer(nil)
	t.Cleanup(endpointServer.Close)
	addr := strings.TrimPrefix(endpointServer.URL, "http://")
	endpoint = standin.NewRunner(standin.RunnerConfig{ID: "e1", Service: "llm", Zone: "a", Address: addr, Model: "m", Slots: 4,
		Pace: pace, Recorder: standin.NewRecorder(), Store: store}, 1)
	endpointServer.Config.Handler = endpoint
	ip := fmt.Sprintf("127.%d.%d.7", 100+os.Getpid()%100, os.Getpid()/100%250)
	s := sidecar.New(&platform.Settings{
		Identity: telemetry.Identity{VM: "vm", Zone: "a"}, Peer: ip + ":7100", Observe: ip + ":7101", PeerPort: 7100,
		Regions: map[string]string{"a": "east"}, Store: strings.TrimPrefix(storeServer.URL, "http://"),
		Endpoint: addr, Service: "llm", VersionLimit: versionLimit,
	}, log.New(io.Discard), metrics.NewRegistry())
	NewWithT(t).Expect(s.Start(context.Background())).To(Succeed())
	t.Cleanup(func() { _ = s.Stop(context.Background()) })
	return addr
}

// heldModels returns the number of models that the endpoint at addr reports.
func heldModels(g *WithT, addr string) int {
	report, err := platform.NewEndpoint(addr).Report(context.Background())
	g.Expect(err).NotTo(HaveOccurred())
	return len(report.Loaded)
}

// notices returns the notices that arrive at the address of the gateway.
func (a *fakeGateway) notices(t *testing.T) <-chan member.Notice {
	g := NewWithT(t)
	conn, err := net.ListenPacket("udp4", a.addr)
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = conn.Close() })
	out := make(chan member.Notice, 16)
	go func() {
		buffer := make([]byte, 64<<10)
		for {
			n, _, err := conn.ReadFrom(buffer)
			if err != nil {
				return
			}
			var message struct {
				Notice *member.Notice `json:"notice"`
			}
			if json.Unmarshal(buffer[:n], &message) == nil && message.Notice != nil {
				out <- *message.Notice
			}
		}
	}()
	return out
}

// Guards against gateways that take a slow endpoint for one that works at its engine's figures.
func TestASidecarTellsGatewaysThatItsEndpointIsSlow(t *testing.T) {
	for pace, want := range map[float64]bool{2.5: true, 1: false, 0: false} {
		t.Run(fmt.Sprint(pace), func(t *testing.T) {
			g := NewWithT(t)
			a := &fakeGateway{}
			addr := startSidecar(t, a, pace)
			notices := a.notices(t)
			told := HaveField("Pace", pace)
			if !want {
				g.Consistently(notices, time.Second).ShouldNot(Receive(HaveField("Pace", BeNumerically(">", 0))))
				return
			}
			g.Eventually(notices, 15*time.Second).Should(Receive(And(told, HaveField("Addr", addr), HaveField("PauseMS", BeZero()))))
		})
	}
}
