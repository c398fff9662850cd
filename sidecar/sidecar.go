// Package sidecar is the process beside each endpoint on the users' platform:
// it keeps the endpoint at the newest weights and gives chunks to other VMs.
package sidecar

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/rcrowley/go-metrics"

	"github.com/silverdeck/silverdeck/exchange"
	"github.com/silverdeck/silverdeck/member"
	"github.com/silverdeck/silverdeck/mirror"
	"github.com/silverdeck/silverdeck/peer"
	"github.com/silverdeck/silverdeck/platform"
	"github.com/silverdeck/silverdeck/routes"
	"github.com/silverdeck/silverdeck/settings"
	"github.com/silverdeck/silverdeck/stage"
	"github.com/silverdeck/silverdeck/swarm"
	"github.com/silverdeck/silverdeck/telemetry"
	"github.com/silverdeck/silverdeck/wait"
)

// Settings of a sidecar.
const (
	// uploads is how many chunks are sent to other VMs at once.
	uploads = 3
	// paceShare is the part of the VM's link that chunks may take.
	paceShare = 0.85
	// gather is how long news of chunks is gathered before other VMs hear it.
	gather      = 50 * time.Millisecond
	dialLimit   = 500 * time.Millisecond
	headerLimit = 5 * time.Second
	// originAge is for how long the origin's address is kept.
	// watchHold is for how long a watch for new versions may stay unanswered.
	watchHold = 3 * time.Second
	originAge = 10 * time.Second
	// configPause is the time between two tries to read the configuration.
	configPause = 500 * time.Millisecond
)

// bytesPerMegabit turns megabits into bytes.
const bytesPerMegabit = 1e6 / 8

// Sidecar is the process's state.
type Sidecar struct {
	site     *settings.Site
	log      *log.Logger
	registry metrics.Registry
	store    *platform.Store
	stager   *stage.Stager
	versions *mirror.Mirror
	began    bool
	cancel   context.CancelFunc
	servers  []*http.Server
	notices  net.PacketConn
	// entries are the peer addresses of the entries as last read.
	entries atomic.Pointer[[]string]

	mu       sync.Mutex
	originAt platform.OriginPlace
	foundAt  time.Time
}

// New returns a Sidecar that is not started.
func New(site *settings.Site, l *log.Logger, registry metrics.Registry) *Sidecar {
	c := &Sidecar{site: site, log: l, registry: registry, store: platform.NewStore(site.Store)}
	dialer := &net.Dialer{Timeout: dialLimit}
	client := &http.Client{Transport: &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: uploads}}
	pool := peer.NewPool(dialer)
	c.stager = stage.New(stage.Config{
		Self:     swarm.Member{VM: site.Peer, Addr: site.Peer, Zone: site.Zone, Region: site.Region},
		Endpoint: platform.NewEndpoint(site.Endpoint),
		Origin:   platform.NewOrigin(c.origin),
		Fleet:    c,
		Peers:    exchange.NewClient(pool, client, "http"),
		Asker:    stage.NewAsker(pool),
		Limit:    site.VersionLimit,
		LinkRate: site.LinkMbps * bytesPerMegabit,
		Log:      l,
	})
	c.versions = mirror.New(mirror.Config{
		Kind:   platform.KindVersions,
		Source: c.store.Source(platform.KindVersions),
		Random: rand.Float64,
		Hold:   func() time.Duration { return watchHold },
		Log:    l,
	}, c.useVersions)
	return c
}

// Start begins to serve other VMs and to stage.
func (c *Sidecar) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	c.cancel = cancel
	conn, err := net.ListenPacket("udp4", c.site.Peer)
	if err != nil {
		return err
	}
	c.notices = conn
	ex := exchange.NewServer(c.stager.Holdings(), uploads, exchange.WithGather(gather), exchange.WithPace(paceShare*c.site.LinkMbps*bytesPerMegabit))
	handler, err := peer.NewRPCHandler(map[string]any{exchange.Service: ex, stage.ManifestService: c.stager.Manifests()})
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.Handle(peer.RPCPath, handler)
	ex.Register(mux)
	if err := c.serve(c.site.Peer, mux); err != nil {
		return err
	}
	if err := c.serve(c.site.Observe, telemetry.NewObserveHandler(c.registry, c)); err != nil {
		return err
	}
	go c.versions.Run(ctx)
	go c.wantFirst(ctx)
	go c.stager.Run(ctx)
	c.log.Info("started", "peer", c.site.Peer, "endpoint", c.site.Endpoint, "service", c.site.Service)
	return nil
}

func (c *Sidecar) serve(addr string, h http.Handler) error {
	l, err := net.Listen("tcp4", addr)
	if err != nil {
		return err
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: headerLimit}
	c.servers = append(c.servers, s)
	go func() { _ = s.Serve(l) }()
	return nil
}

func (c *Sidecar) useVersions(s *mirror.State) {
	first := !c.began
	c.began = true
	for name, stored := range s.Objects {
		v, err := platform.DecodeVersion(stored.Data)
		if err != nil {
			c.log.Error("bad version", "name", name, "err", err)
			continue
		}
		if c.stager.Want(v.Model, v.Version, first) {
			c.log.Info("version named", "model", v.Model, "version", v.Version, "revision", stored.Revision, "first", first)
		}
	}
}

// firstVersion is the version of weights that stands before any is named.
const firstVersion = 1

// wantFirst wants the first version of each model of the service, as the
// configuration names them.
func (c *Sidecar) wantFirst(ctx context.Context) {
	for ctx.Err() == nil {
		config, err := c.config(ctx)
		if err == nil {
			c.wantModels(config)
			return
		}
		c.log.Debug("no configuration yet", "err", err)
		wait.For(ctx, configPause)
	}
}

func (c *Sidecar) wantModels(config *routes.Config) {
	service := config.Services[c.site.Service]
	if service == nil || service.Engine == nil {
		return
	}
	for _, m := range service.Engine.Models {
		c.stager.Want(m.Name, firstVersion, true)
	}
}

// Members implements stage.Fleet.
func (c *Sidecar) Members(ctx context.Context) ([]swarm.Member, error) {
	objects, err := c.store.ListStale(ctx, platform.KindEndpoints)
	if err != nil {
		return nil, err
	}
	out := []swarm.Member{{VM: c.site.Peer, Addr: c.site.Peer, Zone: c.site.Zone, Region: c.site.Region}}
	for _, stored := range objects {
		e, err := platform.DecodeEndpoint(stored.Data)
		if err != nil {
			return nil, err
		}
		host, _, err := net.SplitHostPort(e.Addr)
		if err != nil || e.Service != c.site.Service {
			continue
		}
		addr := net.JoinHostPort(host, strconv.Itoa(c.site.PeerPort))
		if addr != c.site.Peer {
			out = append(out, swarm.Member{VM: addr, Addr: addr, Zone: e.Zone, Region: c.site.Regions[e.Zone]})
		}
	}
	return out, nil
}

// Pause implements stage.Fleet.
func (c *Sidecar) Pause(ctx context.Context, d time.Duration) {
	c.entries.Store(c.findEntries(ctx))
	c.notify(member.Notice{Addr: c.site.Endpoint, PauseMS: d.Milliseconds()})
}

// Loaded implements stage.Fleet.
func (c *Sidecar) Loaded(ctx context.Context, model string, version int64) {
	if c.entries.Load() == nil {
		c.entries.Store(c.findEntries(ctx))
	}
	c.notify(member.Notice{Addr: c.site.Endpoint, Model: model, Version: version})
}

func (c *Sidecar) notify(n member.Notice) {
	if addrs := c.entries.Load(); addrs != nil {
		member.Notify(c.notices, *addrs, n)
	}
}

// findEntries returns the peer addresses of the entries, or those known before
// when the store can't be read.
func (c *Sidecar) findEntries(ctx context.Context) *[]string {
	objects, err := c.store.ListStale(ctx, platform.KindMembers)
	if err != nil {
		return c.entries.Load()
	}
	addrs := []string{}
	for _, stored := range objects {
		if e, err := platform.DecodeMember(stored.Data); err == nil {
			addrs = append(addrs, e.Peer)
		}
	}
	return &addrs
}

// errNoOrigin tells that the configuration names no origin of weights.
var errNoOrigin = errors.New("sidecar: the configuration names no origin")

// origin returns the address of the origin of weights.
func (c *Sidecar) origin(ctx context.Context) (platform.OriginPlace, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.originAt.Address != "" && time.Since(c.foundAt) < originAge {
		return c.originAt, nil
	}
	config, err := c.config(ctx)
	if err == nil {
		err = c.takeOrigin(config)
	}
	if c.originAt.Address != "" {
		return c.originAt, nil
	}
	return c.originAt, err
}

func (c *Sidecar) takeOrigin(config *routes.Config) error {
	for _, s := range config.Services {
		if s.Origin != "" {
			c.originAt, c.foundAt = platform.OriginPlace{Address: s.Origin, LinkMbps: s.LinkMbps}, time.Now()
			return nil
		}
	}
	return errNoOrigin
}

// errNoConfig tells that the store holds no configuration yet.
var errNoConfig = errors.New("sidecar: no configuration yet")

// config reads the configuration.
func (c *Sidecar) config(ctx context.Context) (*routes.Config, error) {
	objects, err := c.store.ListStale(ctx, platform.KindConfig)
	if err != nil {
		return nil, err
	}
	for _, stored := range objects {
		if stored.Name != platform.ConfigName {
			continue
		}
		return platform.DecodeConfig(stored.Data)
	}
	return nil, errNoConfig
}

// Ready implements telemetry.Observed.
func (c *Sidecar) Ready() error {
	return nil
}

// State implements telemetry.Observed.
func (c *Sidecar) State() any {
	return c.versions.State()
}

// Stop ends the process's work.
func (c *Sidecar) Stop(context.Context) error {
	c.log.Info("stopping")
	c.cancel()
	for _, s := range c.servers {
		_ = s.Close()
	}
	return nil
}
