// Package sidecar implements the program silverdeck-sidecar, which runs beside each endpoint on the
// users' platform, keeps the endpoint at the newest weights and serves chunks to other VMs.
//
// It connects package stage, which implements both, to the gateways that report the wanted weights,
// the endpoint, the origin of weights and other sidecars.
package sidecar

import (
	"context"
	"errors"
	"net"
	"net/http"
	"slices"
	"sync"
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

// Connection settings.
const (
	// dialTimeout limits opening a connection.
	dialTimeout = 500 * time.Millisecond
	// readHeaderTimeout limits reading the headers of a request.
	readHeaderTimeout = 5 * time.Second
)

// Sidecar is the state of the process.
type Sidecar struct {
	cfg        *platform.Settings
	log        *log.Logger
	registry   metrics.Registry
	watcher    *inventoryWatcher
	pool       *peerconn.Pool
	stager     *stage.Stager
	cancel     context.CancelFunc
	servers    []*http.Server
	noticeConn net.PacketConn
	// endpointStart is the start time that the endpoint reported last.
	endpointStart atomic.Int64
	// gateways receive notices about the endpoint. pause is the endpoint's current pause.
	gateways *Gateways
	pause    Pause
	// pace is the endpoint's pace. noticeMu orders notices of it and of pauses.
	pace     Pace
	noticeMu sync.Mutex
	// initialized is set once the first inventory was received. Only the goroutine of watcher
	// uses it.
	initialized bool
}

// New returns a Sidecar that is not started.
func New(cfg *platform.Settings, l *log.Logger, registry metrics.Registry) *Sidecar {
	c := &Sidecar{cfg: cfg, log: l, registry: registry, gateways: NewGateways(cfg.Grace)}
	dialer := &net.Dialer{Timeout: dialTimeout}
	pool := peerconn.NewPool(dialer)
	c.pool = pool
	c.watcher = newInventoryWatcher(cfg, platform.NewStore(cfg.Store, registry), pool, l, watcherHandlers{
		onInventory: c.handleInventory, onNaming: c.handleNaming, onSuspension: func(d time.Duration) { c.stager.RecordSuspension(d) },
	})
	c.stager = stage.New(stage.Config{
		Self:         selfMember(cfg),
		Endpoint:     endpointWithPace{Endpoint: platform.NewEndpoint(cfg.Endpoint), onPace: c.handlePace},
		Origin:       platform.NewOrigin(c.origin),
		Fleet:        c,
		Peers:        exchange.NewClient(pool, peerconn.NewHTTPClient(dialer), "http"),
		Manifests:    stage.NewManifestClient(pool),
		VersionLimit: cfg.VersionLimit,
		ContactTime:  cfg.ContactTime,
		LinkRate:     platform.BytesPerSecond(cfg.LinkMbps),
		Log:          l,
	})
	return c
}

// Start starts serving other VMs and staging weights.
func (c *Sidecar) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	c.cancel = cancel
	conn, err := net.ListenPacket("udp4", c.cfg.Peer)
	if err != nil {
		return err
	}
	c.noticeConn = conn
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
	if err := c.serve(c.cfg.Observe, telemetry.NewObserveHandler(c.registry, c, c.cfg.Profiles)); err != nil {
		return err
	}
	go c.watcher.run(ctx)
	go c.stager.Run(ctx)
	c.log.Info("started", "peer", c.cfg.Peer, "endpoint", c.cfg.Endpoint, "service", c.cfg.Service)
	return nil
}

// serve serves h at addr.
func (c *Sidecar) serve(addr string, h http.Handler) error {
	s := &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout}
	c.servers = append(c.servers, s)
	return serve.HTTP(s, addr, c.log)
}

// initialVersion is the version of weights before any is named, as the platform's protocol defines
// it.
const initialVersion = 1

// handleInventory makes the weights in an inventory wanted and notifies gateways that have not
// received the current pause.
func (c *Sidecar) handleInventory(inv *inventory.Inventory) {
	now := time.Now()
	c.gateways.SetLive(gatewayAddrs(inv), now)
	first := !c.initialized
	c.initialized = true
	for _, v := range inv.Versions {
		if c.stager.SetTarget(v.Model, v.Version, first) {
			c.log.Info("version named", "model", v.Model, "version", v.Version, "inventory", inv.Digest, "first", first)
		}
	}
	for _, model := range inv.Models {
		c.stager.SetTarget(model, initialVersion, true)
	}
	if unnotified, remaining := c.pause.Unnotified(gatewayAddrs(inv), now); len(unnotified) > 0 {
		c.notify(unnotified, member.Notice{Addr: c.cfg.Endpoint, PauseMS: remaining.Milliseconds()})
	}
}

// gatewayAddrs returns the addresses at which the live gateways receive RPCs and notices.
func gatewayAddrs(inv *inventory.Inventory) []string {
	addrs := make([]string, 0, len(inv.Entries))
	for _, e := range inv.Entries {
		addrs = append(addrs, e.Addr)
	}
	return addrs
}

// handleNaming records when a version was named.
func (c *Sidecar) handleNaming(n versions.Naming) {
	c.stager.RecordNaming(n.Model, n.Version, n.At)
}

// errNoInventory is returned until a gateway or the store has supplied an inventory.
var errNoInventory = errors.New("sidecar: no inventory received yet")

// selfMember returns this VM as a member of the swarm.
func selfMember(cfg *platform.Settings) swarm.Member {
	return swarm.Member{VM: cfg.Peer, Addr: cfg.Peer, Zone: cfg.Zone, Region: cfg.Region}
}

// Members implements stage.Fleet.
func (c *Sidecar) Members(context.Context) ([]swarm.Member, error) {
	inv := c.watcher.current()
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
	c.noticeMu.Lock()
	defer c.noticeMu.Unlock()
	now := time.Now()
	addrs := c.gateways.Recipients(now)
	c.pause.Begin(now.Add(d), addrs)
	c.notify(addrs, member.Notice{Addr: c.cfg.Endpoint, PauseMS: d.Milliseconds()})
}

// NotifyLoaded implements stage.Fleet.
func (c *Sidecar) NotifyLoaded(_ context.Context, model string, version int64) {
	c.pause.End()
	c.notify(c.gateways.Recipients(time.Now()), member.Notice{Addr: c.cfg.Endpoint, Model: model, Version: version})
}

// NotifyStarted implements stage.Fleet.
func (c *Sidecar) NotifyStarted(_ context.Context, startMillis int64, restarted bool) {
	c.endpointStart.Store(startMillis)
	if restarted {
		c.pause.End()
		c.notify(c.gateways.Recipients(time.Now()), member.Notice{Addr: c.cfg.Endpoint})
	}
}

// Capacity implements stage.Fleet.
func (c *Sidecar) Capacity() stage.Capacity {
	inv := c.watcher.current()
	if inv == nil {
		return stage.Capacity{}
	}
	return stage.Capacity{Slots: inv.Slots, AnswerTime: inv.AnswerTime}.AtPace(c.pace.Current())
}

// notify sends n to the gateways at addrs, with the start time of the running endpoint process.
func (c *Sidecar) notify(addrs []string, n member.Notice) {
	n.Born = c.endpointStart.Load()
	if err := member.Notify(c.noticeConn, addrs, n); err != nil {
		c.log.Debug("notice not sent to all gateways", "err", err)
	}
}

// errNoOrigin is returned if the configuration names no origin of weights.
var errNoOrigin = errors.New("sidecar: the configuration names no origin")

// origin returns the address and bandwidth of the origin of weights.
func (c *Sidecar) origin(context.Context) (platform.OriginLocation, error) {
	inv := c.watcher.current()
	switch {
	case inv == nil:
		return platform.OriginLocation{}, errNoInventory
	case inv.Origin == "":
		return platform.OriginLocation{}, errNoOrigin
	}
	return platform.OriginLocation{Address: inv.Origin, LinkMbps: inv.OriginMbps}, nil
}

// Ready implements telemetry.StatusProvider.
func (c *Sidecar) Ready() error {
	return nil
}

// State implements telemetry.StatusProvider.
func (c *Sidecar) State() any {
	return c.watcher.current()
}

// Stop closes all servers and stops the watcher and staging.
func (c *Sidecar) Stop(context.Context) error {
	c.log.Info("stopping")
	c.cancel()
	for _, s := range c.servers {
		_ = s.Close() // open connections need no graceful shutdown
	}
	return c.noticeConn.Close()
}
