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

// slowLink is the near end of a connection. It delivers what is written after a while,
// whatever becomes of the connection meanwhile: it is on its way. Answers come at once.
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

// Close implements net.Conn: nothing is read any more, and the far end hears of it later.
func (l *slowLink) Close() error {
	time.AfterFunc(l.delay, func() { _ = l.Conn.Close() })
	return l.SetReadDeadline(time.Now())
}

// Times of a version, as gateways keep them on the users' platform.
const (
	// versionLimit is when no request may begin on older weights any more.
	versionLimit = 8 * time.Second
	// versionMargin is how long before that gateways stop sending to them.
	versionMargin = 800 * time.Millisecond
	// linkDelay is what a request took over a narrow link, where it was longest.
	linkDelay = 1200 * time.Millisecond
)

var errNotThere = errors.New("not there")

// holder is the endpoint that a stager keeps, with version 1 of the weights. The next
// version can't be had.
type holder struct {
	mu      sync.Mutex
	version int64
	// begins are when requests began.
	begins []time.Time
}

// serve begins a request on the weights that are held, or refuses it.
func (h *holder) serve(c net.Conn, r *http.Request) bool {
	h.mu.Lock()
	held := h.version > 0
	if held {
		h.begins = append(h.begins, time.Now())
	}
	h.mu.Unlock()
	if !held {
		return text(http.StatusServiceUnavailable, "", "Not-Run: 1")(c, r)
	}
	return hang(c, r)
}

func (h *holder) Report(context.Context) (*stage.Report, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return &stage.Report{Loaded: []stage.LoadedWeights{{Model: "m", Version: h.version, Complete: true}}}, nil
}

func (h *holder) Unload(context.Context, stage.Order) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.version = 0
	return nil
}

func (h *holder) Load(context.Context, stage.Order) error { return errNotThere }

func (h *holder) Place(context.Context, string, int, []byte) error { return errNotThere }

func (h *holder) Placed(context.Context, string, int) ([]byte, error) { return nil, errNotThere }

func (h *holder) Manifest(context.Context, string, int64) (*weights.Manifest, error) {
	return nil, errNotThere
}

func (h *holder) Chunk(context.Context, string, int64, int) ([]byte, error) { return nil, errNotThere }

func (h *holder) Rate(context.Context) float64 { return 0 }

func (h *holder) Members(context.Context) ([]swarm.Member, error) {
	return []swarm.Member{{VM: "e0"}}, nil
}

func (h *holder) Pause(context.Context, time.Duration) {}

func (h *holder) NotifyStarted(context.Context, int64, bool) {}

func (h *holder) RequestLoadLease(context.Context, string, time.Duration) stage.Lease {
	return stage.Lease{RetryAfter: time.Second}
}

func (h *holder) Capacity() stage.Capacity { return stage.Capacity{} }

func (h *holder) NotifyLoaded(context.Context, string, int64) {}

// What a gateway has sent it can't take back: a request that is withdrawn in time arrives
// at its endpoint all the same, past the limit of the weights there. That nothing begins
// on them is kept by the process beside the endpoint; the request itself goes elsewhere.
func TestARequestOnASlowLinkDoesNotBeginOnOldWeightsPastTheirLimit(t *testing.T) {
	h := &holder{version: 1}
	play(t, func(w *world) {
		ctx, cancel := context.WithCancel(context.Background())
		s := stage.New(stage.Config{Self: swarm.Member{VM: "e0"}, Endpoint: h, Origin: h, Fleet: h, VersionLimit: versionLimit, Log: log.New(io.Discard)})
		go s.Run(ctx)
		named := time.Now()
		s.SetTarget("m", 2, false)
		w.linkDelay = linkDelay
		time.AfterFunc(versionLimit-versionMargin, func() { w.minVersion.Store(2) })
		w.balancer.Announce(balance.Announcement{Addr: "e1", PausedUntil: time.Time{}, Weights: roster.Weights{Model: "m", Version: 2}})
		time.Sleep(versionLimit - versionMargin - 100*time.Millisecond)
		a := w.ask("POST", "/stream/", "x")
		w.g.Expect(a.Code).To(Equal(http.StatusOK), "the other endpoint answers")
		w.g.Expect(a.Body.String()).To(Equal(stream(1)))
		cancel()
		w.client.Keep(nil, time.Now())
		time.Sleep(2 * linkDelay) // all has arrived
		arrivals := w.endpoints["e0"].arrivals()
		w.g.Expect(arrivals).To(HaveLen(1))
		w.g.Expect(arrivals[0].Sub(named)).To(BeNumerically(">", versionLimit), "it is on its way past the limit")
		h.mu.Lock()
		defer h.mu.Unlock()
		w.g.Expect(h.begins).To(BeEmpty())
	}, always(h.serve), always(text(http.StatusOK, stream(1))))
}
