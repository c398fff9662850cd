// Package gateway implements the silverdeck-gateway program, which runs on the front
// machines of the users' platform. It creates, starts and stops the components, and passes
// on to them what the mirrors of the platform's store and the heartbeats of other gateways
// report.
//
// The components make the decisions: proxy and policy on requests, balance on endpoints,
// endpoints on which endpoints exist, replica on copying the store between gateways, member
// on which gateways are alive, versions on which model versions may still be used.
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

	"github.com/silverdeck/silverdeck/gateway/admission"
	"github.com/silverdeck/silverdeck/gateway/balance"
	"github.com/silverdeck/silverdeck/gateway/endpoints"
	"github.com/silverdeck/silverdeck/gateway/poison"
	"github.com/silverdeck/silverdeck/gateway/proxy"
	"github.com/silverdeck/silverdeck/gateway/replica"
	"github.com/silverdeck/silverdeck/gateway/unreadable"
	"github.com/silverdeck/silverdeck/gateway/upstream"
	"github.com/silverdeck/silverdeck/gateway/zoneflow"
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

// Margins on limits set by the platform.
const (
	// versionMargin is how long before a version's limit requests to older weights stop. The
	// sidecar unloads the weights 0.5 s before the limit, and the endpoint refuses requests
	// that arrive after that.
	versionMargin = 800 * time.Millisecond
	// lapsedRetention is how long endpoints whose records lapsed during a store outage are
	// kept after the store recovers. According to the platform, the records are written again
	// within about two seconds.
	lapsedRetention = 2200 * time.Millisecond
)

// Gateway is one gateway process.
type Gateway struct {
	cfg      *platform.Settings
	log      *log.Logger
	registry metrics.Registry
	// startedAt is when the process started.
	startedAt time.Time

	store       *platform.Store
	mirrors     map[string]*mirror.Mirror
	syncer      *replica.Syncer
	table       *member.Table
	heartbeater *member.Heartbeater
	self        member.Entry
	endpoints   *endpoints.List
	versions    *versions.History
	balancer    *balance.Balancer
	client      *upstream.Client
	proxy       *proxy.Proxy
	gate        *admission.Gate
	// admissionMetrics counts the decisions of gate.
	admissionMetrics *admission.Metrics
	// poison records requests under which endpoints crashed; trials holds the leases on such
	// requests that this gateway grants.
	poison *poison.Table
	trials *poison.Trials
	// loads holds the leases on loading weights that this gateway grants.
	loads         *leases.Table
	leaseCounters *LeaseCounters
	// quarantineLoaded is done once the quarantined requests are known or waiting for them has
	// timed out; markQuarantineLoaded ends it. See awaitQuarantine.
	quarantineLoaded     context.Context
	markQuarantineLoaded context.CancelFunc
	// lastTrialID numbers the copies of requests that ask for a trial lease.
	lastTrialID atomic.Uint64
	inventory   *inventory.Server
	// peers holds connections to other gateways, for naming, token and trial requests and for
	// rolls.
	peers *peerconn.Pool
	// namingsRequested wakes runNamingQueries.
	namingsRequested chan struct{}
	// era is the latest era of a copy; rewriteRequested wakes runRewrites.
	era              atomic.Int64
	rewriteRequested chan struct{}
	// unreadableVersions, unreadableMembers and unreadableQuarantines track records that
	// can't be decoded.
	unreadableVersions, unreadableMembers, unreadableQuarantines *unreadable.Reporter
	// versionsLoaded is set once the first list of versions was applied.
	versionsLoaded atomic.Bool

	// suspension detects that the VM was suspended. Only the Heartbeater's goroutine uses it.
	suspension *suspend.Detector
	// lastAssignment holds the inputs of the last assignment of endpoints to gateways. Only
	// the Heartbeater's goroutine uses it.
	lastAssignment assignmentInputs
	flows          flows
	evacuations    evacuations
	weights        weights
	flowMetrics    *FlowMetrics
	// contacts are the contacts that the store is known to hold. contactsCheckedAt is when they
	// were last compared; only the Heartbeater's goroutine uses it.
	contacts          atomic.Pointer[member.Contacts]
	contactsCheckedAt time.Time

	stopping atomic.Bool
	cancel   context.CancelFunc
	// callerServer serves callers' requests; otherServers serve the other addresses.
	callerServer *serve.Reloadable
	otherServers []*http.Server
}

// New returns a Gateway that has not been started.
func New(cfg *platform.Settings, l *log.Logger, registry metrics.Registry) *Gateway {
	g := &Gateway{
		cfg:       cfg,
		log:       l,
		registry:  registry,
		startedAt: time.Now(),
		store:     platform.NewStore(cfg.Store, registry),
		client:    upstream.NewClient(),
		versions:  versions.New(cfg.VersionLimit),
		self:      newEntry(cfg),
		peers:     peerconn.NewPool(&net.Dialer{Timeout: namingTimeout}),

		suspension: suspend.NewDetector(suspend.SystemClocks),

		flows:       flows{shares: map[string][]zoneflow.Share{}},
		flowMetrics: NewFlowMetrics(registry),

		namingsRequested: make(chan struct{}, 1),
		rewriteRequested: make(chan struct{}, 1),
	}
	g.quarantineLoaded, g.markQuarantineLoaded = context.WithCancel(context.Background())
	g.poison, g.trials = poison.NewTable(g.onPoisonChange), poison.NewTrials()
	g.loads, g.leaseCounters = leases.NewTable(), NewLeaseCounters(registry)
	g.table = member.NewTable(g.self)
	g.endpoints = g.newEndpoints()
	g.unreadableVersions = unreadable.New(platform.KindVersions, registry, l)
	g.unreadableMembers = unreadable.New(platform.KindMembers, registry, l)
	g.unreadableQuarantines = unreadable.New(platform.KindQuarantine, registry, l)
	g.balancer = g.newBalancer()
	g.admissionMetrics = admission.NewMetrics(g.registry)
	g.gate = g.newGate()
	g.proxy = g.newProxy()
	g.syncer = g.newSyncer()
	g.contacts.Store(&member.Contacts{})
	g.inventory = inventory.NewServer(g.describeService, g.versions.WithKnownTime)
	g.mirrors = g.newMirrors()
	g.store.OnEra(g.onStoreEra)
	g.syncer.SetMirrors(g.mirrors, platform.KindMembers)
	return g
}

func (g *Gateway) newBalancer() *balance.Balancer {
	return balance.New(balance.Config{
		Zone:           g.cfg.Zone,
		OtherLoad:      g.table.InFlight,
		Suspected:      g.table.Suspected,
		Random:         rand.Float64,
		OnHealthChange: g.logHealthEvent,
		OnPaceChange:   g.logPaceEvent,
		OnAdvisory:     g.onAdvisory,
		OnTokenWanted:  g.requestTokenAhead,
	})
}

// newSyncer returns a Syncer that waits for findContacts, except at the first start of the whole
// system, when there are no contacts.
func (g *Gateway) newSyncer() *replica.Syncer {
	s := replica.New(g.table, g.log)
	s.HoldList()
	if g.cfg.FirstStart {
		s.StartList(replica.FirstListDelay(rand.Float64()))
	}
	return s
}

// newEntry returns the entry by which other gateways know this one, with a random
// incarnation number.
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
		Regions:   g.cfg.Regions,
		Retention: roster.NewRetention(lapsedRetention, min(lapsedRetention, g.cfg.DrainLimit*2/3)),
		OnChange:  g.applyEndpoints,
		// The platform drops a record after three heartbeats without a write, and the mirror tells of it
		// after the time for which it coalesces changes.
		RecordTTL:    3*g.cfg.Heartbeat + 2*g.cfg.DrainLimit/coalesceDivisor,
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
		ReadSharedParts: platform.ReadSharedParts,
		RequestToken:    g.requestToken,
		Memory:          g.newMemory(),
		Gate:            g.gate,

		Poison:       g.poison,
		AcquireTrial: g.acquireTrial,
		Random:       rand.Float64,
	})
}

// bodyShare is the fraction of the process's memory that bodies of requests and responses may take
// together. Connections and the state of the fleet take most of the rest.
const bodyShare = 0.15

// newMemory returns the memory for bodies, or nil if the process has no memory limit.
func (g *Gateway) newMemory() *proxy.Memory {
	if g.cfg.MemoryMB == 0 {
		return nil
	}
	return proxy.NewMemory(int64(bodyShare*float64(g.cfg.MemoryMB)*platform.Megabyte), g.registry)
}

// minVersion returns the oldest version of model to which requests may be sent.
func (g *Gateway) minVersion(model string) int64 {
	return g.versions.Required(model, time.Now().Add(versionMargin))
}
