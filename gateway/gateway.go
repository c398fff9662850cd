// Package gateway is the program silverdeck-gateway, which runs on the entry VMs
// of the users' platform. It puts its parts together, starts and stops them, and
// hands on what the copies of the platform's store and the heartbeats of other
// gateways tell.
//
// The parts decide: proxy and policy about requests, balance about endpoints,
// endpoints about which there are, replica about copies of the store, member about
// who is alive, versions about which weights are new enough.
package gateway

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/rcrowley/go-metrics"

	"github.com/silverdeck/silverdeck/gateway/balance"
	"github.com/silverdeck/silverdeck/gateway/endpoints"
	"github.com/silverdeck/silverdeck/gateway/poison"
	"github.com/silverdeck/silverdeck/gateway/proxy"
	"github.com/silverdeck/silverdeck/gateway/replica"
	"github.com/silverdeck/silverdeck/gateway/unreadable"
	"github.com/silverdeck/silverdeck/gateway/upstream"
	"github.com/silverdeck/silverdeck/inventory"
	"github.com/silverdeck/silverdeck/leases"
	"github.com/silverdeck/silverdeck/member"
	"github.com/silverdeck/silverdeck/mirror"
	"github.com/silverdeck/silverdeck/peerconn"
	"github.com/silverdeck/silverdeck/platform"
	"github.com/silverdeck/silverdeck/roster"
	"github.com/silverdeck/silverdeck/serve"
	"github.com/silverdeck/silverdeck/suspend"
	"github.com/silverdeck/silverdeck/versions"
)

// Margins to what the platform allows.
const (
	// versionMargin is how long before their limit no request is sent to old weights any
	// more, since the endpoint would refuse it: its sidecar unloads them 0.5 s before the
	// limit. What is on its way longer is refused there.
	versionMargin = 800 * time.Millisecond
	// retainLapsed is for how long after the store's return endpoints are kept
	// whose records lapsed meanwhile: the platform says that they are written again
	// in about two seconds.
	retainLapsed = 2200 * time.Millisecond
)

// Gateway is the program's state.
type Gateway struct {
	cfg      *platform.Settings
	log      *log.Logger
	registry metrics.Registry
	// began is when the process started.
	began time.Time

	store     *platform.Store
	mirrors   map[string]*mirror.Mirror
	syncer    *replica.Syncer
	table     *member.Table
	beater    *member.Heartbeater
	self      member.Entry
	endpoints *endpoints.List
	versions  *versions.History
	balancer  *balance.Balancer
	client    *upstream.Client
	proxy     *proxy.Proxy
	// poison is what is known of requests under which endpoints ended, trials are the leases
	// on them that this gateway keeps.
	poison *poison.Table
	trials *poison.Trials
	// loads are the leases on loads of weights that this gateway gives.
	loads *leases.Table
	// quarantineKnown ends once this gateway knows which requests are quarantined, as
	// knowQuarantine says; see awaitQuarantine.
	quarantineKnown context.Context
	knowQuarantine  context.CancelFunc
	// holders numbers the copies of requests that ask for such a lease.
	holders   atomic.Uint64
	inventory *inventory.Server
	// peers keeps connections to other gateways for questions about namings.
	peers *peerconn.Pool
	// namingsWanted asks for them, see followNamings.
	namingsWanted chan struct{}
	// badVersions and the others account for records of their kinds that can't be used.
	badVersions, badMembers, badQuarantines *unreadable.Reporter
	// versionsRead is set once a first copy of the named versions was taken in.
	versionsRead atomic.Bool

	// suspension tells when the VM was suspended. Only the Beater's goroutine uses it.
	suspension *suspend.Detector
	// dealt is from what endpoints were last dealt out. Only the Beater's goroutine uses it.
	dealt dealt

	leaving atomic.Bool
	cancel  context.CancelFunc
	// callers serves requests; others are the servers of the other addresses.
	callers *serve.Reloadable
	others  []*http.Server
}

// New returns a Gateway that is not started.
func New(cfg *platform.Settings, l *log.Logger, registry metrics.Registry) *Gateway {
	g := &Gateway{
		cfg:      cfg,
		log:      l,
		registry: registry,
		began:    time.Now(),
		store:    platform.NewStore(cfg.Store),
		client:   upstream.NewClient(),
		versions: versions.New(cfg.VersionLimit),
		self:     newEntry(cfg),
		peers:    peerconn.NewPool(&net.Dialer{Timeout: namingLimit}),

		suspension: suspend.NewDetector(suspend.SystemClocks),

		namingsWanted: make(chan struct{}, 1),
	}
	g.quarantineKnown, g.knowQuarantine = context.WithCancel(context.Background())
	g.poison, g.trials = poison.NewTable(g.notePoison), poison.NewTrials()
	g.loads = leases.NewTable()
	g.table = member.NewTable(g.self)
	g.endpoints = g.newEndpoints()
	g.badVersions = unreadable.New(platform.KindVersions, registry, l)
	g.badMembers = unreadable.New(platform.KindMembers, registry, l)
	g.badQuarantines = unreadable.New(platform.KindQuarantine, registry, l)
	g.balancer = balance.New(balance.Config{
		Zone:           cfg.Zone,
		OtherLoad:      g.table.InFlight,
		Suspected:      g.table.Suspected,
		Random:         rand.Float64,
		OnHealthChange: g.logBelief,
		OnAdvisory:     g.noteAdvised,
		OnStaleLimit:   g.askUnheard,
	})
	g.proxy = g.newProxy()
	g.syncer = replica.New(g.table, l)
	g.inventory = inventory.NewServer(g.describeService, g.versions.WithKnownTime)
	g.mirrors = g.newMirrors()
	g.syncer.SetMirrors(g.mirrors, platform.KindMembers)
	return g
}

// newEntry returns what this gateway tells others of itself, with a life of its own.
func newEntry(cfg *platform.Settings) member.Entry {
	return member.Entry{
		Name:    cfg.VM,
		Life:    rand.Uint64(),
		Peer:    cfg.Peer,
		Callers: cfg.Callers,
		Zone:    cfg.Zone,
		Region:  cfg.Region,
		Relays:  true,
		Heeds:   true,
	}
}

func (g *Gateway) newEndpoints() *endpoints.List {
	return endpoints.New(endpoints.Config{
		Records:   func() *mirror.State { return g.mirrors[platform.KindEndpoints].State() },
		Retention: roster.NewRetention(retainLapsed, min(retainLapsed, g.cfg.DrainLimit*2/3)),
		OnChange:  g.useEndpoints,
		// Three heartbeats without a write, as the platform has it.
		RecordTTL:    3 * g.cfg.Heartbeat,
		OnUnreadable: unreadable.New(platform.KindEndpoints, g.registry, g.log).Report,
		Log:          g.log,
	})
}

func (g *Gateway) newProxy() *proxy.Proxy {
	return proxy.New(proxy.Config{
		Headers:         platform.HeaderNames(),
		Balancer:        g.balancer,
		Client:          g.client,
		Budget:          proxy.NewBudget(g.cfg.RetryShare, g.cfg.RetryExtra, g.cfg.RetryWindow, g.table.KnownSize),
		Metrics:         proxy.NewMetrics(g.registry),
		Log:             g.log,
		MinVersion:      g.minVersion,
		NewestVersion:   g.versions.Latest,
		WeightsDeadline: g.versions.Deadline,
		ReadAdvisory:    platform.ReadAdvisory,
		AskToken:        g.askToken,

		Poison:       g.poison,
		AcquireTrial: g.beginTrial,
		Random:       rand.Float64,
	})
}

// minVersion returns the version of model below which no request is sent any more.
func (g *Gateway) minVersion(model string) int64 {
	return g.versions.Required(model, time.Now().Add(versionMargin))
}
