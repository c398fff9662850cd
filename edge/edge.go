// Package edge is the process on the entry VMs of the users' platform: it puts
// the gateway, the directory, the copies of the platform's store and the
// heartbeats between entries together.
package edge

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

	"github.com/silverdeck/silverdeck/balance"
	"github.com/silverdeck/silverdeck/gateway"
	"github.com/silverdeck/silverdeck/member"
	"github.com/silverdeck/silverdeck/mirror"
	"github.com/silverdeck/silverdeck/platform"
	"github.com/silverdeck/silverdeck/roster"
	"github.com/silverdeck/silverdeck/settings"
	"github.com/silverdeck/silverdeck/upstream"
	"github.com/silverdeck/silverdeck/wait"
)

// Times of an edge.
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

// Edge is the process's state.
type Edge struct {
	site      *settings.Site
	log       *log.Logger
	registry  metrics.Registry
	store     *platform.Store
	mirrors   map[string]*mirror.Mirror
	gateway   *gateway.Gateway
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

// New returns an Edge that is not started.
func New(site *settings.Site, l *log.Logger, registry metrics.Registry) *Edge {
	e := &Edge{
		site:     site,
		log:      l,
		registry: registry,
		store:    platform.NewStore(site.Store),
		client:   upstream.NewClient(),
		versions: newVersions(max(site.VersionLimit-versionMargin, 0)),
		self: member.Entry{
			Name:    site.VM,
			Life:    rand.Uint64(),
			Peer:    site.Peer,
			Callers: site.Callers,
			Zone:    site.Zone,
			Region:  site.Region,
		},
		retention: roster.NewRetention(retainLapsed, min(retainLapsed, site.DrainLimit*2/3)),
	}
	e.table = member.NewTable(e.self)
	e.balancer = balance.New(site.Zone, e.table.InFlight, rand.Float64)
	e.balancer.Observe(e.logBelief)
	e.balancer.Listen(e.table.Suspected)
	e.gateway = gateway.New(gateway.Config{
		Protocol: platform.Protocol(),
		Balancer: e.balancer,
		Client:   e.client,
		Budget:   gateway.NewBudget(site.RetryShare, site.RetryExtra, site.RetryWindow, e.table.Sharers),
		Metrics:  gateway.NewMetrics(registry),
		Log:      l,
		Floor:    func(model string) int64 { return e.versions.floor(model, time.Now()) },
		Random:   rand.Float64,
	})
	e.replicas = newReplicas(e.table, l)
	e.inventory = newInventory(e)
	e.mirrors = map[string]*mirror.Mirror{
		platform.KindConfig:    e.mirror(platform.KindConfig, nil, e.useConfig),
		platform.KindEndpoints: e.mirror(platform.KindEndpoints, e.gatherEndpoints, e.useEndpoints),
		platform.KindVersions:  e.mirror(platform.KindVersions, nil, e.useVersions),
		platform.KindMembers:   e.mirror(platform.KindMembers, e.gatherMembers, e.useMembers),
	}
	e.replicas.mirrors = e.mirrors
	return e
}

func (e *Edge) mirror(kind string, gather func() time.Duration, use func(*mirror.State)) *mirror.Mirror {
	return mirror.New(mirror.Config{
		Kind:   kind,
		Source: e.store.Source(kind),
		Random: rand.Float64,
		Hold:   e.watchHold,
		Gather: gather,
		Reach:  func(lost bool) { e.replicas.reach(kind, lost) },
		Active: func() bool { return e.active(kind) },
		Log:    e.log,
	}, func(s *mirror.State) {
		use(s)
		e.tellCopies()
	})
}

// active returns whether the copy of kind is kept by calls to the store. The
// list of entries is read by each at its start.
func (e *Edge) active(kind string) bool {
	if kind == platform.KindMembers && e.mirrors[kind].State().Revision == 0 {
		return true
	}
	return e.replicas.active(kind)
}

// tellCopies makes an entry that watches the store tell others of its copies.
func (e *Edge) tellCopies() {
	if watching, _ := e.replicas.isWatching(); watching && e.beater != nil {
		e.beater.News()
	}
}

// gatherEndpoints returns for how long changes of endpoints are gathered: each
// costs a call of every entry that watches, and the first to hear of one tells
// the others.
func (e *Edge) gatherEndpoints() time.Duration {
	return e.site.DrainLimit / 4
}

// gatherMembers is the same for changes of entries, which also tell each other.
func (e *Edge) gatherMembers() time.Duration {
	return gatherMembers
}

// watchers returns how many entries watch the store.
func (e *Edge) watchers() int {
	watching, _ := e.replicas.isWatching()
	return e.table.Watchers(watching)
}

// watchHold returns for how long a watch may stay unanswered: the more entries
// watch, the sooner one of them finds out for all that watches were lost.
func (e *Edge) watchHold() time.Duration {
	return min(max(holdEach*time.Duration(e.watchers()), shortestHold), longestHold)
}

// Start begins to serve.
func (e *Edge) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	e.cancel = cancel
	conn, err := net.ListenPacket("udp4", e.site.Peer)
	if err != nil {
		return err
	}
	if err := e.listen(); err != nil {
		return err
	}
	e.beater = member.NewBeater(conn, e.table, member.Handlers{Describe: e.describe, After: e.afterBeat, Notice: e.notice, Heard: func() { e.afterHeard(ctx) }})
	go e.beater.Run(ctx)
	go e.replicas.watchLoop(ctx)
	for _, m := range e.mirrors {
		go m.Run(ctx)
	}
	go e.register(ctx)
	go e.sweep(ctx)
	e.log.Info("started", "callers", e.site.Callers, "peer", e.site.Peer, "life", e.self.Life)
	return nil
}

// Errors of readiness.
var (
	errLeaving  = errors.New("edge: leaving")
	errNoConfig = errors.New("edge: no configuration yet")
	errNoRoster = errors.New("edge: no endpoints yet")
)

// Ready implements telemetry.Observed.
func (e *Edge) Ready() error {
	switch {
	case e.leaving.Load():
		return errLeaving
	case e.gateway.Routes() == nil:
		return errNoConfig
	case e.roster.Load() == nil:
		return errNoRoster
	}
	return nil
}

// State implements telemetry.Observed.
func (e *Edge) State() any {
	revisions := map[string]int64{}
	for kind, m := range e.mirrors {
		revisions[kind] = m.State().Revision
	}
	return struct {
		Self      member.Entry     `json:"self"`
		Live      []member.Entry   `json:"live"`
		Revisions map[string]int64 `json:"revisions"`
		InFlight  map[string]int   `json:"inFlight"`
	}{e.self, e.table.Live(), revisions, e.balancer.InFlight()}
}

// describe returns this entry's heartbeat.
func (e *Edge) describe() member.Heartbeat {
	b := member.Heartbeat{Entry: e.self, Ready: e.Ready() == nil, Copies: map[string]mirror.Version{}, InFlight: e.balancer.InFlight(), Suspects: e.balancer.Suspects(time.Now())}
	b.Watching, b.Away = e.replicas.isWatching()
	for kind, m := range e.mirrors {
		b.Copies[kind] = m.State().Version()
	}
	return b
}

// afterBeat looks at what the last heartbeats told.
func (e *Edge) afterBeat(silent []string) {
	e.balancer.Own(owned(e.roster.Load(), append(e.table.Live(), e.self), e.self.Name))
	for _, name := range silent {
		e.log.Warn("entry lost", "entry", name)
	}
	for _, name := range e.table.Arrived() {
		e.log.Info("entry heard", "entry", name)
	}
	if e.table.Size() == 1 {
		e.balancer.Touch(time.Now())
	}
	e.noteOutage()
}

// afterHeard looks at what a heartbeat of another entry told.
func (e *Edge) afterHeard(ctx context.Context) {
	e.balancer.Touch(time.Now())
	e.replicas.follow(ctx, time.Now())
}

// noteOutage takes in whether the store answers anybody.
func (e *Edge) noteOutage() {
	away := e.storeAway()
	if e.outage.Swap(away) == away {
		return
	}
	if away {
		e.retention.StoreLost()
		return
	}
	e.retention.StoreReturned(time.Now())
}

// storeAway returns whether the store answers no entry that watches it, as far
// as this one knows.
func (e *Edge) storeAway() bool {
	watching, away := e.replicas.isWatching()
	switch {
	case watching && !away:
		return false
	case e.table.Watchers(false) == 0:
		return watching
	}
	return e.table.StoreAway()
}

// register writes this entry's record until the store has taken it.
func (e *Edge) register(ctx context.Context) {
	for ctx.Err() == nil && !e.leaving.Load() {
		err := e.store.Put(ctx, platform.KindMembers, e.self.Name, e.self)
		if err == nil {
			e.log.Info("registered", "entry", e.self.Name)
			return
		}
		e.log.Debug("not registered", "err", err)
		wait.For(ctx, registerPause)
	}
}

// sweep closes idle connections that have rested too long.
func (e *Edge) sweep(ctx context.Context) {
	for wait.For(ctx, sweepEvery) {
		list := e.roster.Load()
		if list == nil {
			continue
		}
		e.client.Keep(list.Addrs(), time.Now())
	}
}

// Stop ends without cutting requests in progress, for as long as the platform allows.
func (e *Edge) Stop(ctx context.Context) error {
	started := time.Now()
	e.leaving.Store(true)
	e.gateway.Leave()
	e.log.Info("stopping", "running", e.gateway.Running().Count())
	go func() { _ = e.store.Delete(ctx, platform.KindMembers, e.self.Name) }()
	wait.For(ctx, acceptLeaving)
	ctx, cancel := context.WithDeadline(ctx, started.Add(e.site.Grace-stopMargin))
	defer cancel()
	err := e.callers.Shutdown(ctx)
	e.cancel()
	for _, s := range e.side {
		_ = s.Close()
	}
	wait.For(context.Background(), directoryEnd)
	e.log.Info("stopped", "cut", e.gateway.Running().Count(), "ms", time.Since(started).Milliseconds())
	return err
}
