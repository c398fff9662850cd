package proxy_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	. "github.com/onsi/gomega"

	"github.com/silverdeck/silverdeck/gateway/balance"
	"github.com/silverdeck/silverdeck/roster"
	"github.com/silverdeck/silverdeck/sidecar/stage"
	"github.com/silverdeck/silverdeck/swarm"
	"github.com/silverdeck/silverdeck/weights"
)

// slowLink is the gateway's end of a connection that delivers written data after a delay, even
// if the connection is closed in the meantime. Responses are not delayed.
type slowLink struct {
	net.Conn
	delay time.Duration
}

// Write implements net.Conn.
func (l *slowLink) Write(b []byte) (int, error) {
	data := append([]byte(nil), b...)
	time.AfterFunc(l.delay, func() { _, _ = l.Conn.Write(data) })
	return len(b), nil
}

// Close implements net.Conn. Reading stops at once; the endpoint sees the close after the delay.
func (l *slowLink) Close() error {
	time.AfterFunc(l.delay, func() { _ = l.Conn.Close() })
	return l.SetReadDeadline(time.Now())
}

// Times of a weights version as configured on the users' platform.
const (
	// versionLimit is the time after which no request may begin on older weights.
	versionLimit = 8 * time.Second
	// versionMargin is how long before that gateways stop sending requests to older weights.
	versionMargin = 800 * time.Millisecond
	// linkDelay is the longest delay of a request that was seen over a narrow link.
	linkDelay = 1200 * time.Millisecond
)

var errNotAvailable = errors.New("version not available")

// stagedEndpoint is an endpoint with version 1 of the weights that is managed by a stager. The
// next version is not available.
type stagedEndpoint struct {
	mu      sync.Mutex
	version int64
	// startTimes are the times at which requests began.
	startTimes []time.Time
}

// serve begins a request on the weights that are held, or refuses it if there are none.
func (h *stagedEndpoint) serve(c net.Conn, r *http.Request) bool {
	h.mu.Lock()
	held := h.version > 0
	if held {
		h.startTimes = append(h.startTimes, time.Now())
	}
	h.mu.Unlock()
	if !held {
		return respond(http.StatusServiceUnavailable, "", "Not-Run: 1")(c, r)
	}
	return hang(c, r)
}

func (h *stagedEndpoint) Report(context.Context) (*stage.Report, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return &stage.Report{Loaded: []stage.LoadedWeights{{Model: "m", Version: h.version, Complete: true}}}, nil
}

func (h *stagedEndpoint) Unload(context.Context, stage.Order) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.version = 0
	return nil
}

func (h *stagedEndpoint) Load(context.Context, stage.Order) error { return errNotAvailable }

func (h *stagedEndpoint) Place(context.Context, string, int, []byte) error { return errNotAvailable }

func (h *stagedEndpoint) Placed(context.Context, string, int) ([]byte, error) {
	return nil, errNotAvailable
}

func (h *stagedEndpoint) Manifest(context.Context, string, int64) (*weights.Manifest, error) {
	return nil, errNotAvailable
}

func (h *stagedEndpoint) Chunk(context.Context, string, int64, int) ([]byte, error) {
	return nil, errNotAvailable
}

func (h *stagedEndpoint) Rate(context.Context) float64 { return 0 }

func (h *stagedEndpoint) Members(context.Context) ([]swarm.Member, error) {
	return []swarm.Member{{VM: "e0"}}, nil
}

func (h *stagedEndpoint) Pause(context.Context, time.Duration) {}

func (h *stagedEndpoint) NotifyStarted(context.Context, int64, bool) {}

func (h *stagedEndpoint) RequestLoadLease(context.Context, stage.LeaseRequest) stage.Lease {
	return stage.Lease{RetryAfter: time.Second}
}

func (h *stagedEndpoint) Capacity() stage.Capacity { return stage.Capacity{} }

func (h *stagedEndpoint) NotifyLoaded(context.Context, string, int64) {}

// Guards against a request that begins on old weights past their limit. A gateway can't recall
// what it has sent: a request that is withdrawn in time still arrives at its endpoint after the
// limit. The sidecar must have unloaded the weights by then, and the gateway sends the request
// to another endpoint.
func TestARequestOnASlowLinkDoesNotBeginOnOldWeightsPastTheirLimit(t *testing.T) {
	h := &stagedEndpoint{version: 1}
	runHarness(t, func(w *harness) {
		ctx, cancel := context.WithCancel(context.Background())
		s := stage.New(stage.Config{Self: swarm.Member{VM: "e0"}, Endpoint: h, Origin: h, Fleet: h, VersionLimit: versionLimit, Log: log.New(io.Discard)})
		go s.Run(ctx)
		named := time.Now()
		s.SetTarget("m", 2, false)
		w.linkDelay = linkDelay
		time.AfterFunc(versionLimit-versionMargin, func() { w.minVersion.Store(2) })
		w.balancer.ApplyAnnouncement(balance.Announcement{Addr: "e1", PausedUntil: time.Time{}, Weights: roster.Weights{Model: "m", Version: 2}})
		time.Sleep(versionLimit - versionMargin - 100*time.Millisecond)
		a := w.send("POST", "/stream/", "x")
		w.g.Expect(a.Code).To(Equal(http.StatusOK), "the other endpoint answers")
		w.g.Expect(a.Body.String()).To(Equal(stream(1)))
		cancel()
		w.client.Prune(nil, time.Now())
		time.Sleep(2 * linkDelay) // wait until everything has arrived
		arrivals := w.endpoints["e0"].arrivals()
		w.g.Expect(arrivals).To(HaveLen(1))
		w.g.Expect(arrivals[0].Sub(named)).To(BeNumerically(">", versionLimit), "the request arrives after the limit")
		h.mu.Lock()
		defer h.mu.Unlock()
		w.g.Expect(h.startTimes).To(BeEmpty())
	}, always(h.serve), always(respond(http.StatusOK, stream(1))))
}
