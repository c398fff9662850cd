// Package gateway is the program silverdeck-gateway, which runs on the entry VMs
// of the users' platform: it puts the proxy, the directory, the copies of the
// platform's store and the heartbeats between gateways together.
package gateway

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

	"github.com/silverdeck/silverdeck/gateway/balance"
	"github.com/silverdeck/silverdeck/gateway/proxy"
	"github.com/silverdeck/silverdeck/gateway/upstream"
	"github.com/silverdeck/silverdeck/member"
	"github.com/silverdeck/silverdeck/mirror"
	"github.com/silverdeck/silverdeck/platform"
	"github.com/silverdeck/silverdeck/roster"
	"github.com/silverdeck/silverdeck/wait"
)

// Times of a gateway.
const (
	// addressTTL is for how long callers keep an answer of the directory.
	addressTTL = 2 * time.Second
	// versionMargin is taken from the time in which weights must be replaced.
	versionMargin = 800 * time.Millisecond
	// acceptLeaving is how long a leaving entry takes new connections, for
	// callers that kept its address.
	acceptLeaving = 3 * time.Second
	// stopMargin is taken from the time that a planned stop may take.
	stopMargin = 400 * time.Millisecond
	// registerPause is the time between two tries to register in the store.
	registerPause = 500 * time.Millisecond
	// holdEach is a watch's hold for each entry that watches.
	holdEach      = time.Second
	gatherMembers = 2 * time.Second
	shortestHold  = 2500 * time.Millisecond
	longestHold   = 10 * time.Second
	// retainLapsed is for how long after the store's return endpoints are kept
	// whose records lapsed meanwhile: they are written again in about two seconds.
	retainLapsed = 2200 * time.Millisecond
	// sweepEvery is how often idle connections are looked at.
	sweepEvery   = 2 * time.Second
	headerLimit  = 10 * time.Second
	idleLimit    = 60 * time.Second
	headerBytes  = 64 << 10
	directoryEnd = 100 * time.Millisecond
	// turns spreads callers over the entries that stand in for others.
	turns = 1 << 10
)

// Gateway is the process's state.
type Gateway struct {
	cfg       *platform.Settings
	log       *log.Logger
	registry  metrics.Registry
	store     *platform.Store
	mirrors   map[string]*mirror.Mirror
	proxy     *proxy.Proxy
	balancer  *balance.Balancer
	client    *upstream.Client
	table     *member.Table
	self      member.Entry
	versions  *versions
	leaving   atomic.Bool
	replicas  *replicas
	inventory *Inventory
	beater    *member.Beater
	cancel    context.CancelFunc
	callers   *http.Server
	side      []*http.Server
	roster    atomic.Pointer[roster.List]
	// rosterMu makes changes of roster one at a time.
	rosterMu sync.Mutex
	// decoded are the records of roster as they were decoded, by ID.
	decoded map[string]decodedEndpoint
	// retention keeps endpoints that the platform's list has lost for a while.
	retention *roster.Retention
	// outage is set while no entry that watches the store is answered.
	outage atomic.Bool
}

// New returns a Gateway that is not started.
func New(cfg *platform.Settings, l *log.Logger, registry metrics.Registry) *Gateway {
	g := &Gateway{
		cfg:      cfg,
		log:      l,
		registry: registry,
		store:    platform.NewStore(cfg.Store),
		client:   upstream.NewClient(),
		versions: newVersions(max(cfg.VersionLimit-versionMargin, 0)),
		self: member.Entry{
			Name:    cfg.VM,
			Life:    rand.Uint64(),
			Peer:    cfg.Peer,
			Callers: cfg.Callers,
			Zone:    cfg.Zone,
			Region:  cfg.Region,
		},
		retention: roster.NewRetention(retainLapsed, min(retainLapsed, cfg.DrainLimit*2/3)),
	}
	g.table = member.NewTable(g.self)
	g.balancer = balance.New(balance.Config{
		Zone:      cfg.Zone,
		OtherLoad: g.table.InFlight,
		Suspected: g.table.Suspected,
		Random:    rand.Float64,
		Observe:   g.logBelief,
	})
	g.proxy = proxy.New(proxy.Config{
		Headers:    platform.HeaderNames(),
		Balancer:   g.balancer,
		Client:     g.client,
		Budget:     proxy.NewBudget(cfg.RetryShare, cfg.RetryExtra, cfg.RetryWindow, g.table.Sharers),
		Metrics:    proxy.NewMetrics(registry),
		Log:        l,
		MinVersion: func(model string) int64 { return g.versions.floor(model, time.Now()) },
		Random:     rand.Float64,
	})
	g.replicas = newReplicas(g.table, l)
	g.inventory = newInventory(g)
	g.mirrors = map[string]*mirror.Mirror{
		platform.KindConfig:    g.mirror(platform.KindConfig, nil, g.useConfig),
		platform.KindEndpoints: g.mirror(platform.KindEndpoints, g.gatherEndpoints, g.useEndpoints),
		platform.KindVersions:  g.mirror(platform.KindVersions, nil, g.useVersions),
		platform.KindMembers:   g.mirror(platform.KindMembers, g.gatherMembers, g.useMembers),
	}
	g.replicas.mirrors = g.mirrors
	return g
}

func (g *Gateway) mirror(kind string, gather func() time.Duration, use func(*mirror.State)) *mirror.Mirror {
	return mirror.New(mirror.Config{
		Kind:   kind,
		Source: g.store.Source(kind),
		Random: rand.Float64,
		Hold:   g.watchHold,
		Gather: gather,
		Reach:  func(lost bool) { g.replicas.reach(kind, lost) },
		Active: func() bool { return g.active(kind) },
		Log:    g.log,
	}, func(s *mirror.State) {
		use(s)
		g.tellCopies()
	})
}

// active returns whether the copy of kind is kept by calls to the store. The
// list of entries is read by each at its start.
func (g *Gateway) active(kind string) bool {
	if kind == platform.KindMembers && g.mirrors[kind].State().Revision == 0 {
		return true
	}
	return g.replicas.active(kind)
}

// tellCopies makes an entry that watches the store tell others of its copies.
func (g *Gateway) tellCopies() {
	if watching, _ := g.replicas.isWatching(); watching && g.beater != nil {
		g.beater.News()
	}
}

// gatherEndpoints returns for how long changes of endpoints are gathered: each
// costs a call of every entry that watches, and the first to hear of one tells
// the others.
func (g *Gateway) gatherEndpoints() time.Duration {
	return g.cfg.DrainLimit / 4
}

// gatherMembers is the same for changes of entries, which also tell each other.
func (g *Gateway) gatherMembers() time.Duration {
	return gatherMembers
}

// watchers returns how many entries watch the store.
func (g *Gateway) watchers() int {
	watching, _ := g.replicas.isWatching()
	return g.table.Watchers(watching)
}

// watchHold returns for how long a watch may stay unanswered: the more entries
// watch, the sooner one of them finds out for all that watches were lost.
func (g *Gateway) watchHold() time.Duration {
	return min(max(holdEach*time.Duration(g.watchers()), shortestHold), longestHold)
}

// Start begins to serve.
func (g *Gateway) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	g.cancel = cancel
	conn, err := net.ListenPacket("udp4", g.cfg.Peer)
	if err != nil {
		return err
	}
	if err := g.listen(); err != nil {
		return err
	}
	g.beater = member.NewBeater(conn, g.table, member.Handlers{Describe: g.describe, After: g.afterBeat, Notice: g.notice, Heard: func() { g.afterHeard(ctx) }})
	go g.beater.Run(ctx)
	go g.replicas.watchLoop(ctx)
	for _, m := range g.mirrors {
		go m.Run(ctx)
	}
	go g.register(ctx)
	go g.sweep(ctx)
	g.log.Info("started", "callers", g.cfg.Callers, "peer", g.cfg.Peer, "life", g.self.Life)
	return nil
}

// Errors of readiness.
var (
	errLeaving  = errors.New("gateway: leaving")
	errNoConfig = errors.New("gateway: no configuration yet")
	errNoRoster = errors.New("gateway: no endpoints yet")
)

// Ready implements telemetry.Observed.
func (g *Gateway) Ready() error {
	switch {
	case g.leaving.Load():
		return errLeaving
	case g.proxy.Routes() == nil:
		return errNoConfig
	case g.roster.Load() == nil:
		return errNoRoster
	}
	return nil
}

// State implements telemetry.Observed.
func (g *Gateway) State() any {
	revisions := map[string]int64{}
	for kind, m := range g.mirrors {
		revisions[kind] = m.State().Revision
	}
	return struct {
		Self      member.Entry     `json:"self"`
		Live      []member.Entry   `json:"live"`
		Revisions map[string]int64 `json:"revisions"`
		InFlight  map[string]int   `json:"inFlight"`
	}{g.self, g.table.Live(), revisions, g.balancer.InFlight()}
}

// describe returns this entry's heartbeat.
func (g *Gateway) describe() member.Heartbeat {
	b := member.Heartbeat{Entry: g.self, Ready: g.Ready() == nil, Copies: map[string]mirror.Version{}, InFlight: g.balancer.InFlight(), Suspects: g.balancer.Suspects(time.Now())}
	b.Watching, b.Away = g.replicas.isWatching()
	for kind, m := range g.mirrors {
		b.Copies[kind] = m.State().Version()
	}
	return b
}

// afterBeat looks at what the last heartbeats told.
func (g *Gateway) afterBeat(silent []string) {
	g.balancer.Prefer(owned(g.roster.Load(), append(g.table.Live(), g.self), g.self.Name))
	for _, name := range silent {
		g.log.Warn("entry lost", "entry", name)
	}
	for _, name := range g.table.Arrived() {
		g.log.Info("entry heard", "entry", name)
	}
	if g.table.Size() == 1 {
		g.balancer.NoteTraffic(time.Now())
	}
	g.noteOutage()
}

// afterHeard looks at what a heartbeat of another entry told.
func (g *Gateway) afterHeard(ctx context.Context) {
	g.balancer.NoteTraffic(time.Now())
	g.replicas.follow(ctx, time.Now())
}

// noteOutage takes in whether the store answers anybody.
func (g *Gateway) noteOutage() {
	away := g.storeAway()
	if g.outage.Swap(away) == away {
		return
	}
	if away {
		g.retention.StoreLost()
		return
	}
	g.retention.StoreReturned(time.Now())
}

// storeAway returns whether the store answers no entry that watches it, as far
// as this one knows.
func (g *Gateway) storeAway() bool {
	watching, away := g.replicas.isWatching()
	switch {
	case watching && !away:
		return false
	case g.table.Watchers(false) == 0:
		return watching
	}
	return g.table.StoreAway()
}

// register writes this entry's record until the store has taken it.
func (g *Gateway) register(ctx context.Context) {
	for ctx.Err() == nil && !g.leaving.Load() {
		err := g.store.Put(ctx, platform.KindMembers, g.self.Name, g.self)
		if err == nil {
			g.log.Info("registered", "entry", g.self.Name)
			return
		}
		g.log.Debug("not registered", "err", err)
		wait.For(ctx, registerPause)
	}
}

// sweep closes idle connections that have rested too long.
func (g *Gateway) sweep(ctx context.Context) {
	for wait.For(ctx, sweepEvery) {
		list := g.roster.Load()
		if list == nil {
			continue
		}
		g.client.Keep(list.Addrs(), time.Now())
	}
}

// Stop ends without cutting requests in progress, for as long as the platform allows.
func (g *Gateway) Stop(ctx context.Context) error {
	started := time.Now()
	g.leaving.Store(true)
	g.proxy.Leave()
	g.log.Info("stopping", "running", g.proxy.Running().Count())
	go func() { _ = g.store.Delete(ctx, platform.KindMembers, g.self.Name) }()
	wait.For(ctx, acceptLeaving)
	ctx, cancel := context.WithDeadline(ctx, started.Add(g.cfg.Grace-stopMargin))
	defer cancel()
	err := g.callers.Shutdown(ctx)
	g.cancel()
	for _, s := range g.side {
		_ = s.Close()
	}
	wait.For(context.Background(), directoryEnd)
	g.log.Info("stopped", "cut", g.proxy.Running().Count(), "ms", time.Since(started).Milliseconds())
	return err
}
