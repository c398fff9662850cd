// Package sidecar is the program silverdeck-sidecar, which runs beside each endpoint
// on the users' platform: it keeps the endpoint at the newest weights and gives
// chunks to other VMs.
//
// It puts package stage, which does that, together with what it relies on: gateways
// that tell which weights are wanted, the endpoint, the origin and other sidecars.
package sidecar

import (
	"context"
	"errors"
	"net"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/rcrowley/go-metrics"

	"github.com/silverdeck/silverdeck/exchange"
	"github.com/silverdeck/silverdeck/inventory"
	"github.com/silverdeck/silverdeck/member"
	"github.com/silverdeck/silverdeck/peerconn"
	"github.com/silverdeck/silverdeck/platform"
	"github.com/silverdeck/silverdeck/serve"
	"github.com/silverdeck/silverdeck/sidecar/stage"
	"github.com/silverdeck/silverdeck/swarm"
	"github.com/silverdeck/silverdeck/telemetry"
	"github.com/silverdeck/silverdeck/versions"
)

// Settings of a sidecar.
const (
	// dialLimit bounds the opening of a connection, headerLimit the head of a request.
	dialLimit = 500 * time.Millisecond
	// headerLimit bounds the head of a request.
	headerLimit = 5 * time.Second
	// idleConnections is how many connections to another sidecar are kept.
	idleConnections = 3
)

// Sidecar is the process's state.
type Sidecar struct {
	cfg      *platform.Settings
	log      *log.Logger
	registry metrics.Registry
	fleet    *fleet
	pool     *peerconn.Pool
	stager   *stage.Stager
	cancel   context.CancelFunc
	servers  []*http.Server
	notices  net.PacketConn
	// born is when the endpoint started, as it told last.
	born atomic.Int64
	// gateways are told of the endpoint; pause is that for which they send it nothing.
	gateways *Gateways
	pause    Pause
	// began is set once the first inventory was taken in. Only the fleet's goroutine
	// uses it.
	began bool
}

// New returns a Sidecar that is not started.
func New(cfg *platform.Settings, l *log.Logger, registry metrics.Registry) *Sidecar {
	c := &Sidecar{cfg: cfg, log: l, registry: registry, gateways: NewGateways(cfg.Grace)}
	dialer := &net.Dialer{Timeout: dialLimit}
	client := &http.Client{Transport: &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: idleConnections}}
	pool := peerconn.NewPool(dialer)
	c.pool = pool
	c.fleet = newFleet(cfg, platform.NewStore(cfg.Store), pool, l, fleetHandlers{
		use: c.useInventory, named: c.useNaming, suspended: func(d time.Duration) { c.stager.RecordSuspension(d) },
	})
	c.stager = stage.New(stage.Config{
		Self:         selfMember(cfg),
		Endpoint:     platform.NewEndpoint(cfg.Endpoint),
		Origin:       platform.NewOrigin(c.origin),
		Fleet:        c,
		Peers:        exchange.NewClient(pool, client, "http"),
		Manifests:    stage.NewManifestClient(pool),
		VersionLimit: cfg.VersionLimit,
		LinkRate:     platform.BytesPerSecond(cfg.LinkMbps),
		Log:          l,
	})
	return c
}

// Start begins to serve other VMs and to stage.
func (c *Sidecar) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	c.cancel = cancel
	conn, err := net.ListenPacket("udp4", c.cfg.Peer)
	if err != nil {
		return err
	}
	c.notices = conn
	ex := exchange.NewServer(c.stager.Holdings(), stage.Uploads,
		exchange.WithQueue(stage.QueuedUploads), exchange.WithCoalescing(stage.Coalescing),
		exchange.WithPace(stage.PaceShare*platform.BytesPerSecond(c.cfg.LinkMbps)))
	mux, err := peerconn.NewMux(map[string]any{exchange.Service: ex, stage.ManifestService: c.stager.Manifests()})
	if err != nil {
		return err
	}
	ex.Register(mux)
	if err := c.serve(c.cfg.Peer, mux); err != nil {
		return err
	}
	if err := c.serve(c.cfg.Observe, telemetry.NewObserveHandler(c.registry, c)); err != nil {
		return err
	}
	go c.fleet.run(ctx)
	go c.stager.Run(ctx)
	c.log.Info("started", "peer", c.cfg.Peer, "endpoint", c.cfg.Endpoint, "service", c.cfg.Service)
	return nil
}

// serve serves h at addr.
func (c *Sidecar) serve(addr string, h http.Handler) error {
	s := &http.Server{Handler: h, ReadHeaderTimeout: headerLimit}
	c.servers = append(c.servers, s)
	return serve.HTTP(s, addr, c.log)
}

// firstVersion is the version of weights that stands before any is named. From the
// platform's protocol.
const firstVersion = 1

// useInventory wants the weights that an inventory names.
func (c *Sidecar) useInventory(inv *inventory.Inventory) {
	now := time.Now()
	c.gateways.Use(gatewayAddrs(inv), now)
	first := !c.began
	c.began = true
	for _, v := range inv.Versions {
		if c.stager.SetTarget(v.Model, v.Version, first) {
			c.log.Info("version named", "model", v.Model, "version", v.Version, "inventory", inv.Digest, "first", first)
		}
	}
	for _, model := range inv.Models {
		c.stager.SetTarget(model, firstVersion, true)
	}
	if untold, left := c.pause.Untold(gatewayAddrs(inv), now); len(untold) > 0 {
		c.notify(untold, member.Notice{Addr: c.cfg.Endpoint, PauseMS: left.Milliseconds()})
	}
}

// gatewayAddrs returns where the live gateways take calls and notices.
func gatewayAddrs(inv *inventory.Inventory) []string {
	addrs := make([]string, 0, len(inv.Entries))
	for _, e := range inv.Entries {
		addrs = append(addrs, e.Addr)
	}
	return addrs
}

// useNaming takes in when a version was named.
func (c *Sidecar) useNaming(n versions.Naming) {
	c.stager.RecordNaming(n.Model, n.Version, n.At)
}

// errNoInventory tells that neither a gateway nor the store has answered yet.
var errNoInventory = errors.New("sidecar: no inventory yet")

// selfMember returns this VM as others know it.
func selfMember(cfg *platform.Settings) swarm.Member {
	return swarm.Member{VM: cfg.Peer, Addr: cfg.Peer, Zone: cfg.Zone, Region: cfg.Region}
}

// Members implements stage.Fleet.
func (c *Sidecar) Members(context.Context) ([]swarm.Member, error) {
	inv := c.fleet.known()
	if inv == nil {
		return nil, errNoInventory
	}
	self := selfMember(c.cfg)
	out := slices.Clone(inv.Members)
	if !slices.ContainsFunc(out, func(m swarm.Member) bool { return m.VM == self.VM }) {
		out = append(out, self)
	}
	return out, nil
}

// Pause implements stage.Fleet.
func (c *Sidecar) Pause(_ context.Context, d time.Duration) {
	now := time.Now()
	addrs := c.gateways.Told(now)
	c.pause.Begin(now.Add(d), addrs)
	c.notify(addrs, member.Notice{Addr: c.cfg.Endpoint, PauseMS: d.Milliseconds()})
}

// NotifyLoaded implements stage.Fleet.
func (c *Sidecar) NotifyLoaded(_ context.Context, model string, version int64) {
	c.pause.End()
	c.notify(c.gateways.Told(time.Now()), member.Notice{Addr: c.cfg.Endpoint, Model: model, Version: version})
}

// NotifyStarted implements stage.Fleet.
func (c *Sidecar) NotifyStarted(_ context.Context, startMillis int64, restarted bool) {
	c.born.Store(startMillis)
	if restarted {
		c.pause.End()
		c.notify(c.gateways.Told(time.Now()), member.Notice{Addr: c.cfg.Endpoint})
	}
}

// Capacity implements stage.Fleet.
func (c *Sidecar) Capacity() stage.Capacity {
	inv := c.fleet.known()
	if inv == nil {
		return stage.Capacity{}
	}
	return stage.Capacity{Slots: inv.Slots, AnswerTime: inv.AnswerTime}
}

// notify sends n, which is of the endpoint's present life, to the gateways at addrs.
func (c *Sidecar) notify(addrs []string, n member.Notice) {
	n.Born = c.born.Load()
	if err := member.Notify(c.notices, addrs, n); err != nil {
		c.log.Debug("notice not sent to all", "err", err)
	}
}

// errNoOrigin tells that the configuration names no origin of weights.
var errNoOrigin = errors.New("sidecar: the configuration names no origin")

// origin returns where the origin of weights is.
func (c *Sidecar) origin(context.Context) (platform.OriginLocation, error) {
	inv := c.fleet.known()
	switch {
	case inv == nil:
		return platform.OriginLocation{}, errNoInventory
	case inv.Origin == "":
		return platform.OriginLocation{}, errNoOrigin
	}
	return platform.OriginLocation{Address: inv.Origin, LinkMbps: inv.OriginMbps}, nil
}

// Ready implements telemetry.Observed.
func (c *Sidecar) Ready() error {
	return nil
}

// State implements telemetry.Observed.
func (c *Sidecar) State() any {
	return c.fleet.known()
}

// Stop ends the process's work.
func (c *Sidecar) Stop(context.Context) error {
	c.log.Info("stopping")
	c.cancel()
	for _, s := range c.servers {
		_ = s.Close() // nobody waits for what is still open there
	}
	return c.notices.Close()
}
