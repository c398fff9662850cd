package sidecar

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"github.com/silverdeck/silverdeck/inventory"
	"github.com/silverdeck/silverdeck/peerconn"
	"github.com/silverdeck/silverdeck/platform"
	"github.com/silverdeck/silverdeck/roster"
	"github.com/silverdeck/silverdeck/suspend"
	"github.com/silverdeck/silverdeck/versions"
	"github.com/silverdeck/silverdeck/wait"
)

// Times of asking for the inventory.
const (
	// askWait is for how long a gateway may keep a question until there is news. Chosen
	// by judgement: a change is told at once in any case.
	askWait = time.Second
	// askSlack is how much later its answer may come. Chosen by judgement.
	askSlack = 700 * time.Millisecond
	// avoidTime is for how long a gateway that did not answer is not asked. Chosen by
	// judgement.
	avoidTime = 4 * time.Second
	// askTries is how many gateways are asked in a row before the store is. Chosen by
	// judgement.
	askTries = 3
	// storePause is the time between two readings of the store, whose calls are priced.
	// Chosen by judgement.
	storePause = 1500 * time.Millisecond
)

// fleet keeps what this process needs of the platform's store. Gateways tell it;
// the store is read only while none of them answers. It is safe for concurrent use.
type fleet struct {
	cfg   *platform.Settings
	store *platform.Store
	pool  *peerconn.Pool
	log   *log.Logger
	// use is called with each new inventory, one call at a time.
	use func(*inventory.Inventory)
	// namings learns when versions were named, after use. Only run uses it.
	namings *namings
	// suspension tells when the VM was suspended, and suspended is told. Only run uses them.
	suspension *suspend.Watch
	suspended  func(time.Duration)

	mu   sync.Mutex
	last *inventory.Inventory
	// gateways are those that can be asked.
	gateways []inventory.Place
	// avoided tells until when gateways are not asked, by address.
	avoided map[string]time.Time
}

// fleetHandlers are what a fleet calls, one call at a time.
type fleetHandlers struct {
	// use takes each new inventory.
	use func(*inventory.Inventory)
	// named takes when versions were named.
	named func(versions.Naming)
	// suspended takes for how long the VM was suspended.
	suspended func(time.Duration)
}

func newFleet(cfg *platform.Settings, store *platform.Store, pool *peerconn.Pool, l *log.Logger, h fleetHandlers) *fleet {
	return &fleet{
		cfg:     cfg,
		store:   store,
		pool:    pool,
		log:     l,
		use:     h.use,
		namings: &namings{pool: pool, log: l, named: h.named},

		suspension: suspend.NewWatch(suspend.SystemClocks),
		suspended:  h.suspended,
		avoided:    map[string]time.Time{},
	}
}

// known returns the last inventory, or nil.
func (f *fleet) known() *inventory.Inventory {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.last
}

// run asks until ctx ends.
func (f *fleet) run(ctx context.Context) {
	failures := 0
	for ctx.Err() == nil {
		if d := f.suspension.Suspended(); d > 0 {
			f.suspended(d)
		}
		addr := f.choose(ctx)
		reply, err := f.ask(ctx, addr)
		if err == nil {
			f.take(reply, failures)
			f.namings.learn(ctx, addr, reply.Versions)
			failures = 0
			continue
		}
		failures++
		if failures%askTries != 0 && addr != "" {
			wait.For(ctx, askSlack/askTries)
			continue
		}
		f.readStore(ctx, failures)
		wait.For(ctx, storePause)
	}
}

// take puts an inventory in force, after so many failures in a row.
func (f *fleet) take(reply *inventory.Inventory, failures int) {
	f.mu.Lock()
	news := f.last == nil || f.last.Digest != reply.Digest
	f.last = reply
	if len(reply.Entries) > 0 {
		f.gateways = reply.Entries
	}
	f.mu.Unlock()
	if failures >= askTries {
		f.log.Info("entries regained", "failures", failures)
	}
	if news {
		f.use(reply)
	}
}

// errNoGateway tells that no gateway is known.
var errNoGateway = errors.New("sidecar: no gateway known")

// ask asks the gateway at addr for news.
func (f *fleet) ask(ctx context.Context, addr string) (*inventory.Inventory, error) {
	if addr == "" {
		return nil, errNoGateway
	}
	q := inventory.Query{Service: f.cfg.Service, Wait: askWait}
	if last := f.known(); last != nil {
		q.Known = last.Digest
	}
	ctx, cancel := context.WithTimeout(ctx, askWait+askSlack)
	defer cancel()
	reply := &inventory.Inventory{}
	if err := f.pool.Call(ctx, addr, inventory.Method, q, reply); err != nil {
		f.mu.Lock()
		f.avoided[addr] = time.Now().Add(avoidTime)
		f.mu.Unlock()
		f.log.Debug("entry does not answer", "peer", addr, "err", err)
		return nil, err
	}
	return reply, nil
}

// choose returns a gateway to ask: one of this zone if there is one, or "" when
// none is known.
func (f *fleet) choose(ctx context.Context) string {
	f.mu.Lock()
	unknown := len(f.gateways) == 0
	f.mu.Unlock()
	if unknown {
		f.findGateways(ctx)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	var near, far []string
	for _, p := range f.gateways {
		switch {
		case now.Before(f.avoided[p.Addr]):
		case p.Zone == f.cfg.Zone:
			near = append(near, p.Addr)
		default:
			far = append(far, p.Addr)
		}
	}
	if len(near) == 0 {
		near = far
	}
	if len(near) == 0 {
		return ""
	}
	return near[rand.IntN(len(near))]
}

// findGateways reads the list of gateways from the store.
func (f *fleet) findGateways(ctx context.Context) {
	objects, err := f.store.ListStale(ctx, platform.KindMembers)
	if err != nil {
		f.log.Debug("no list of entries", "err", err)
		return
	}
	var places []inventory.Place
	for _, stored := range objects {
		e, err := platform.DecodeMember(stored.Data)
		if err != nil {
			f.notUsed(platform.KindMembers, stored.Name, err)
			continue
		}
		places = append(places, inventory.PlaceOf(*e))
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.gateways = places
}

// readStore reads from the store what no gateway tells.
func (f *fleet) readStore(ctx context.Context, failures int) {
	if failures == askTries {
		f.log.Warn("entries lost", "failures", failures)
	}
	f.findGateways(ctx)
	reply, err := f.readInventory(ctx)
	if err != nil {
		f.log.Debug("inventory not read", "err", err)
		return
	}
	f.take(reply, 0)
}

// readInventory composes the inventory from the store. The configuration, which is
// large, is read only when nothing is known yet.
func (f *fleet) readInventory(ctx context.Context) (*inventory.Inventory, error) {
	k := &inventory.Known{PeerPort: f.cfg.PeerPort, Regions: f.cfg.Regions}
	var err error
	if last := f.known(); last != nil {
		k.Config = last.FromConfig()
	} else if k.Config, err = f.readConfig(ctx); err != nil {
		return nil, err
	}
	if k.Versions, err = f.readVersions(ctx); err != nil {
		return nil, err
	}
	if k.Endpoints, err = f.readEndpoints(ctx); err != nil {
		return nil, err
	}
	f.mu.Lock()
	k.Gateways = slices.Clone(f.gateways)
	f.mu.Unlock()
	return inventory.Compose(f.cfg.Service, k), nil
}

// errNoConfig tells that the store holds no configuration yet.
var errNoConfig = errors.New("sidecar: no configuration yet")

func (f *fleet) readConfig(ctx context.Context) (inventory.FromConfig, error) {
	objects, err := f.store.ListStale(ctx, platform.KindConfig)
	if err != nil {
		return inventory.FromConfig{}, err
	}
	for _, stored := range objects {
		if stored.Name != platform.ConfigName {
			continue
		}
		config, err := platform.DecodeConfig(stored.Data)
		if err != nil {
			return inventory.FromConfig{}, err
		}
		return inventory.ReadConfig(config, f.cfg.Service), nil
	}
	return inventory.FromConfig{}, errNoConfig
}

func (f *fleet) readVersions(ctx context.Context) ([]inventory.Version, error) {
	objects, _, err := f.store.Source(platform.KindVersions).List(ctx)
	if err != nil {
		return nil, err
	}
	var out []inventory.Version
	for _, stored := range objects {
		v, err := platform.DecodeVersion(stored.Data)
		if err != nil {
			f.notUsed(platform.KindVersions, stored.Name, err)
			continue
		}
		out = append(out, inventory.Version{Model: v.Model, Version: v.Version})
	}
	return out, nil
}

func (f *fleet) readEndpoints(ctx context.Context) (map[string]*roster.Endpoint, error) {
	objects, err := f.store.ListStale(ctx, platform.KindEndpoints)
	if err != nil {
		return nil, err
	}
	out := make(map[string]*roster.Endpoint, len(objects))
	for _, stored := range objects {
		e, err := platform.DecodeEndpoint(stored.Data)
		if err != nil {
			f.notUsed(platform.KindEndpoints, stored.Name, err)
			continue
		}
		out[e.ID] = e
	}
	return out, nil
}

// notUsed notes a record that another writer may have left. The store is read seldom, so
// that the lines are few.
func (f *fleet) notUsed(kind, name string, err error) {
	f.log.Warn("record not used", "kind", kind, "name", name, "err", err)
}
