// Package agent is the small process beside each endpoint. It fetches the
// weights that the plan assigns to its VM, gives them on to other agents, is
// the one place from which the engine gets orders, and runs the requests that
// entries send.
//
// It owns the process and its ports; package loader owns weights and orders, the
// runner the requests in progress, the reporter what entries were told. It relies
// on its home entries for directives; while none answers it goes on with the last.
package agent

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/rcrowley/go-metrics"

	"github.com/silverdeck/silverdeck/drain"
	"github.com/silverdeck/silverdeck/exchange"
	"github.com/silverdeck/silverdeck/origin"
	"github.com/silverdeck/silverdeck/peerconn"
	"github.com/silverdeck/silverdeck/standalone/admission"
	"github.com/silverdeck/silverdeck/standalone/agent/loader"
	"github.com/silverdeck/silverdeck/standalone/engine"
	"github.com/silverdeck/silverdeck/standalone/hop"
	"github.com/silverdeck/silverdeck/standalone/peer"
	"github.com/silverdeck/silverdeck/standalone/secure"
	"github.com/silverdeck/silverdeck/standalone/settings"
	"github.com/silverdeck/silverdeck/swarm"
	"github.com/silverdeck/silverdeck/telemetry"
)

// errLeaving tells that the agent takes no new work.
var errLeaving = errors.New("agent: leaving")

// Agent is the process's state. It is safe for concurrent use.
type Agent struct {
	cfg      *settings.Agent
	network  secure.Network
	log      *log.Logger
	registry metrics.Registry
	pool     *peerconn.Pool
	loader   *loader.Loader
	fence    *loader.Fence
	reporter *reporter
	runner   *runner
	server   *http.Server
	observe  *http.Server
	stop     context.CancelFunc

	leaving atomic.Bool
	drained atomic.Bool
}

// New returns an Agent that does nothing until Start.
func New(cfg *settings.Agent, network secure.Network, l *log.Logger, tracer *telemetry.Tracer, registry metrics.Registry) (*Agent, error) {
	d, err := secure.NewDialer(network, cfg.PeerTLS)
	if err != nil {
		return nil, err
	}
	plain, err := secure.NewDialer(network, settings.TLS{})
	if err != nil {
		return nil, err
	}
	a := &Agent{cfg: cfg, network: network, log: l, registry: registry, pool: peerconn.NewPool(d)}
	a.fence = loader.NewFence(engine.NewClient(cfg.Engine, plain.HTTPClient()))
	a.loader = a.newLoader(d, plain)
	a.reporter = a.newReporter()
	a.runner = a.newRunner(plain, tracer)
	return a, a.buildServers()
}

// newLoader returns what fetches and loads weights. Other agents are reached by d,
// the origin by plain.
func (a *Agent) newLoader(d, plain *secure.Dialer) *loader.Loader {
	return loader.New(loader.Config{
		Self:      swarm.Member{VM: a.cfg.VM, Addr: a.cfg.Peer, Zone: a.cfg.Zone, Region: a.cfg.Region},
		Plain:     a.cfg.Plain,
		HoldBytes: a.cfg.HoldBytes,
		Fence:     a.fence,
		Peers:     exchange.NewClient(a.pool, d.HTTPClient(), d.Scheme()),
		Origin:    origin.NewClient(a.cfg.Origin, plain.HTTPClient()),
		Homes:     a.homes,
		News:      func() { a.reporter.now() },
		EngineAt:  d.Scheme() + "://" + a.cfg.Peer,
		Log:       a.log,
	})
}

// newReporter returns what tells the home entries of this endpoint.
func (a *Agent) newReporter() *reporter {
	return &reporter{
		pool:        a.pool,
		seeds:       a.cfg.Entries,
		fill:        a.fill,
		apply:       a.apply,
		log:         a.log,
		incarnation: uint64(time.Now().UnixNano()),
		wake:        make(chan struct{}, 1),
	}
}

// newRunner returns what runs requests at the engine.
func (a *Agent) newRunner(plain *secure.Dialer, tracer *telemetry.Tracer) *runner {
	return &runner{
		engine:  a.cfg.Engine,
		http:    plain.HTTPClient(),
		gate:    admission.NewGate(admission.Config{Slots: a.cfg.Slots, UrgentSlots: a.cfg.UrgentSlots, Queue: a.cfg.Queue}),
		slots:   a.cfg.Slots,
		serves:  a.loader.Serves,
		tracer:  tracer,
		running: drain.NewTracker(),
	}
}

// buildServers makes the servers of the agent's ports.
func (a *Agent) buildServers() error {
	ex := exchange.NewServer(a.loader.Holdings(), a.cfg.UploadSlots)
	mux, err := peerconn.NewMux(map[string]any{exchange.Service: ex})
	if err != nil {
		return err
	}
	mux.Handle(hop.RunPrefix+"/", a.runner)
	ex.Register(mux)
	a.server = secure.NewServer(mux)
	a.observe = secure.NewServer(telemetry.NewObserveHandler(a.registry, a, a.cfg.Telemetry.Profiles))
	return nil
}

// Start listens and begins to report and to reconcile.
func (a *Agent) Start(context.Context) error {
	l, err := secure.Listen(a.network, a.cfg.Peer, a.cfg.PeerTLS, true)
	if err != nil {
		return err
	}
	o, err := a.network.Listen("tcp", a.cfg.Telemetry.Observe)
	if err != nil {
		_ = l.Close()
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	a.stop = cancel
	a.log.Info("agent started", "peer", a.cfg.Peer, "engine", a.cfg.Engine)
	// Both end when Stop closes the listeners.
	go func() { _ = a.server.Serve(l) }()
	go func() { _ = a.observe.Serve(o) }()
	go a.reporter.run(ctx)
	go a.loader.Run(ctx)
	return nil
}

// Stop is a planned stop: no new work from now on, and none in progress cut.
func (a *Agent) Stop(ctx context.Context) error {
	a.leaving.Store(true)
	a.runner.gate.Close()
	a.reporter.now()
	if err := a.runner.running.Wait(ctx); err != nil {
		a.log.Error("stop: requests still in progress are cut", "running", a.runner.running.Count())
	}
	a.stop()
	a.pool.Close()
	_ = a.observe.Close()
	return a.server.Shutdown(ctx)
}

func (a *Agent) homes() []string {
	return a.reporter.homeList()
}

// fill completes a report.
func (a *Agent) fill(r *peer.Report) {
	r.VM, r.Addr, r.Zone, r.Region = a.cfg.VM, a.cfg.Peer, a.cfg.Zone, a.cfg.Region
	r.State = peer.StateServing
	if a.leaving.Load() || a.drained.Load() {
		r.State = peer.StateLeaving
	}
	r.Revision, r.Loaded, r.Progress = a.loader.Status()
	r.Load = a.runner.load()
}

// apply carries out a directive.
func (a *Agent) apply(d peer.Directive) {
	a.loader.Apply(d)
	if a.drained.Swap(d.Drained) == d.Drained {
		return
	}
	if d.Drained {
		a.runner.gate.Close()
	} else if !a.leaving.Load() {
		a.runner.gate.Open()
	}
	a.reporter.now()
}

// Ready implements telemetry.StatusProvider.
func (a *Agent) Ready() error {
	if a.leaving.Load() {
		return errLeaving
	}
	return nil
}

// State implements telemetry.StatusProvider.
func (a *Agent) State() any {
	var r peer.Report
	a.fill(&r)
	sent, received := a.pool.Traffic()
	return struct {
		Report peer.Report `json:"report"`
		Fence  int64       `json:"fence"`
		Homes  []string    `json:"homes"`
		Cut    int64       `json:"answersCut"`
		// Sent and Received are bytes of control messages.
		Sent     int64 `json:"controlSent"`
		Received int64 `json:"controlReceived"`
	}{r, a.fence.At(), a.homes(), a.runner.cut.Load(), sent, received}
}

// Refuse makes the agent turn requests away without telling anybody, as one
// that is about to leave does before its entries have heard of it.
func (a *Agent) Refuse() {
	a.runner.gate.Close()
}

// Attempts returns how many requests have come from entries.
func (a *Agent) Attempts() int64 {
	return a.runner.attempts.Load()
}
