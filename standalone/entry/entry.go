// Package entry is the process on the entry VMs: it takes callers' requests
// and operators' changes, spreads the configuration, tells agents what to do
// and routes requests to endpoints.
//
// It puts the parts together and owns what was noted as in force and the manifests of
// accepted rollouts, each under a lock. It relies on the object store to start, on
// other entries and agents while that is down.
package entry

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/rcrowley/go-metrics"

	"github.com/silverdeck/silverdeck/drain"
	"github.com/silverdeck/silverdeck/exchange"
	"github.com/silverdeck/silverdeck/origin"
	"github.com/silverdeck/silverdeck/peerconn"
	"github.com/silverdeck/silverdeck/standalone/agent"
	"github.com/silverdeck/silverdeck/standalone/caller"
	"github.com/silverdeck/silverdeck/standalone/claim"
	"github.com/silverdeck/silverdeck/standalone/commit"
	"github.com/silverdeck/silverdeck/standalone/dispatch"
	"github.com/silverdeck/silverdeck/standalone/fleet"
	"github.com/silverdeck/silverdeck/standalone/forward"
	"github.com/silverdeck/silverdeck/standalone/objectstore"
	"github.com/silverdeck/silverdeck/standalone/operator"
	"github.com/silverdeck/silverdeck/standalone/router"
	"github.com/silverdeck/silverdeck/standalone/secure"
	"github.com/silverdeck/silverdeck/standalone/settings"
	"github.com/silverdeck/silverdeck/standalone/snapshot"
	"github.com/silverdeck/silverdeck/standalone/ticket"
	"github.com/silverdeck/silverdeck/telemetry"
	"github.com/silverdeck/silverdeck/wait"
	"github.com/silverdeck/silverdeck/weights"
)

// Limits of an entry.
const (
	// keptAnswers bounds the answers kept for callers with tickets, in bytes.
	keptAnswers = 64 << 20
	// sweepEvery is how often silent endpoints are looked for.
	sweepEvery = 500 * time.Millisecond
	// lastCalls is how long a leaving entry goes on answering after its last
	// request, for callers that come by a cached address.
	lastCalls = 2 * time.Second
)

// Entry is the process's state. It is safe for concurrent use.
type Entry struct {
	cfg       *settings.Entry
	network   secure.Network
	log       *log.Logger
	registry  metrics.Registry
	platform  *objectstore.Client
	origin    origin.Source
	holder    *snapshot.Holder
	list      atomic.Pointer[objectstore.VMList]
	table     *fleet.Table
	planner   *planner
	spreader  *spreader
	committer *commit.Committer
	forwarder *forward.Forwarder
	router    *router.Router
	pool      *peerconn.Pool
	events    *operator.Events
	servers   []server
	running   *drain.Tracker
	stop      context.CancelFunc
	leaving   atomic.Bool

	platformVersion atomic.Int64

	notedMu sync.Mutex
	// noted are the newest versions that were noted, by what they are of.
	noted map[string]int64

	manifestMu sync.Mutex
	manifests  map[weights.Digest]*weights.Manifest
}

// server is one of the entry's ports.
type server struct {
	addr   string
	tls    settings.TLS
	mutual bool
	http   *http.Server
}

// New returns an Entry that does nothing until Start.
func New(cfg *settings.Entry, network secure.Network, l *log.Logger, tracer *telemetry.Tracer, registry metrics.Registry) (*Entry, error) {
	peers, err := secure.NewDialer(network, cfg.PeerTLS)
	if err != nil {
		return nil, err
	}
	plain, err := secure.NewDialer(network, settings.TLS{})
	if err != nil {
		return nil, err
	}
	e := &Entry{
		cfg: cfg, network: network, log: l, registry: registry,
		platform: objectstore.NewClient(cfg.Platform,
			objectstore.WithHTTP(plain.HTTPClient()), objectstore.WithShare(cfg.PlatformReads, cfg.PlatformWrites)),
		origin:    origin.NewClient(cfg.Origin, plain.HTTPClient()),
		holder:    snapshot.NewHolder(),
		table:     fleet.NewTable(),
		pool:      peerconn.NewPool(peers),
		events:    operator.NewEvents(),
		noted:     map[string]int64{},
		manifests: map[weights.Digest]*weights.Manifest{},
		running:   drain.NewTracker(),
	}
	e.list.Store(&objectstore.VMList{})
	e.planner = &planner{holder: e.holder, list: &e.list}
	e.committer = commit.New(e.platform, e.holder, e.random)
	e.forwarder = forward.New(peers.HTTPClient(), peers.Scheme(), tracer)
	e.router = router.New(e.table, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	e.spreader = &spreader{
		self: cfg.VM, pool: e.pool, holder: e.holder, list: &e.list, table: e.table,
		take: e.advanceList, took: func(rev int64) { e.changed(whatSnapshot, rev) },
		peers:  func() []string { return e.entryAddrs(false) },
		random: e.random, log: l, wake: make(chan struct{}, 1),
	}
	return e, e.buildServers(tracer, peers)
}

func (e *Entry) buildServers(tracer *telemetry.Tracer, peers *secure.Dialer) error {
	callers := caller.NewHandler(caller.Config{
		Holder: e.holder,
		Dispatcher: dispatch.New(e.cfg.Zone, e.planner.Plan, e.router, e.forwarder,
			dispatch.NewBudget(e.cfg.RetryShare), e.noteLoad),
		Ledger:    ticket.NewLedger(e.cfg.Peer, keptAnswers),
		Claimer:   claim.New(e.platform),
		Relay:     caller.NewRelay(peers.HTTPClient(), peers.Scheme()),
		Addresses: e.callerAddresses,
		Leaving:   e.leaving.Load,
		MaxBody:   e.cfg.MaxBodyBytes,
		MaxHeld:   e.cfg.MaxHeldBytes,
		Tracer:    tracer,
		Log:       e.log,
		Registry:  e.registry,
	})
	counted := e.counted(callers)
	mux, err := peerconn.NewMux(map[string]any{
		agent.EntryService: &Service{entry: e},
		exchange.Service:   &ManifestService{entry: e},
	})
	if err != nil {
		return err
	}
	mux.Handle(caller.RelayPrefix+"/", http.StripPrefix(caller.RelayPrefix, counted))
	operators := operator.NewHandler(e, e.cfg.OperatorTokens, e.log)
	e.servers = []server{
		{addr: e.cfg.Caller, tls: e.cfg.CallerTLS, http: secure.NewServer(counted)},
		{addr: e.cfg.Operator, tls: e.cfg.OperatorTLS, http: secure.NewServer(operators)},
		{addr: e.cfg.Peer, tls: e.cfg.PeerTLS, mutual: true, http: secure.NewServer(mux)},
		{addr: e.cfg.Telemetry.Observe, http: secure.NewServer(telemetry.NewObserveHandler(e.registry, e, e.cfg.Telemetry.Profiles))},
	}
	return nil
}

// counted counts the requests in progress, for a planned stop.
func (e *Entry) counted(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		e.running.Enter()
		defer e.running.Leave()
		h.ServeHTTP(w, r)
	})
}

// Start listens and begins to watch, to spread and to serve.
func (e *Entry) Start(context.Context) error {
	listeners := make([]net.Listener, 0, len(e.servers))
	for _, s := range e.servers {
		l, err := secure.Listen(e.network, s.addr, s.tls, s.mutual)
		if err != nil {
			for _, open := range listeners {
				_ = open.Close()
			}
			return err
		}
		listeners = append(listeners, l)
	}
	for i, s := range e.servers {
		go func() { _ = s.http.Serve(listeners[i]) }() // ends when Stop closes the listener
	}
	ctx, cancel := context.WithCancel(context.Background())
	e.stop = cancel
	go e.watch(ctx, e.watchSnapshot)
	go e.watch(ctx, e.watchList)
	go e.spreader.run(ctx)
	go e.sweep(ctx)
	e.log.Info("entry started", "caller", e.cfg.Caller, "operator", e.cfg.Operator, "peer", e.cfg.Peer)
	return nil
}

// Stop is a planned stop: callers are told where else to go, and what is in
// progress is finished.
func (e *Entry) Stop(ctx context.Context) error {
	e.leaving.Store(true)
	wait.For(ctx, lastCalls)
	if err := e.running.Wait(ctx); err != nil {
		e.log.Error("stop: requests still in progress are cut", "running", e.running.Count())
	}
	e.stop()
	e.pool.Close()
	var errs []error
	for _, s := range e.servers {
		errs = append(errs, s.http.Close())
	}
	return errors.Join(errs...)
}

// sweep suspects endpoints that fell silent and forgets those that left.
func (e *Entry) sweep(ctx context.Context) {
	for ctx.Err() == nil {
		wait.For(ctx, sweepEvery)
		n, panicked := e.table.Sweep(time.Now())
		if n > 0 {
			e.events.Add("suspect", "", "endpoints fell silent")
			e.log.Warn("endpoints fell silent", "count", n)
		}
		if panicked {
			e.log.Error("most endpoints fell silent at once; this entry distrusts itself")
		}
		vms := e.planner.Plan().VMs
		e.table.Keep(func(vm string) bool { _, ok := vms[vm]; return ok })
	}
}

// What can be in force.
const (
	whatSnapshot = "snapshot"
	whatList     = "list"
)

// changed notes that something newer is in force and tells others. Several ways
// lead to the same news; it is noted once, and before any of them goes on.
func (e *Entry) changed(what string, version int64) {
	if what == whatSnapshot {
		e.spreader.seen(version)
	}
	if e.note(what, version) {
		e.spreader.urgent()
	}
}

// note writes down what is in force, and returns false when that was done before.
func (e *Entry) note(what string, version int64) bool {
	e.notedMu.Lock()
	defer e.notedMu.Unlock()
	if version <= e.noted[what] {
		return false
	}
	e.noted[what] = version
	e.log.Info("in force", "what", what, "version", version)
	if what == whatSnapshot {
		e.events.Add("config", e.holder.Current().Author, "revision in force")
	}
	return true
}

func (e *Entry) noteLoad(vm string, a *forward.Answer) {
	e.table.SetLoad(vm, a.Load, time.Now())
}

// callerAddresses returns where callers can go: the entries of the list that
// stay, this one first unless it is leaving.
func (e *Entry) callerAddresses() ([]string, time.Duration) {
	var out []string
	if !e.leaving.Load() {
		out = append(out, e.cfg.Caller)
	}
	for _, vm := range e.list.Load().VMs {
		if vm.Role == objectstore.RoleEntry && !vm.Leaving && vm.Caller != e.cfg.Caller && vm.Caller != "" {
			out = append(out, vm.Caller)
		}
	}
	return out, time.Duration(e.cfg.AddressTTLSeconds) * time.Second
}

func (e *Entry) random() float64 {
	return rand.Float64()
}
