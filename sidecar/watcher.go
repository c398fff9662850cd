package sidecar

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"github.com/silverdeck/silverdeck/inventory"
	"github.com/silverdeck/silverdeck/peerconn"
	"github.com/silverdeck/silverdeck/platform"
	"github.com/silverdeck/silverdeck/suspend"
	"github.com/silverdeck/silverdeck/versions"
	"github.com/silverdeck/silverdeck/wait"
)

// Timing of inventory queries.
const (
	// longPollWait is the time for which a gateway may hold a query until the inventory changes.
	longPollWait = time.Second
	// longPollMargin is the time beyond longPollWait after which a query without a reply fails.
	longPollMargin = 700 * time.Millisecond
	// backoffTime is the time for which a gateway that did not reply is not queried.
	backoffTime = 4 * time.Second
	// maxGatewayAttempts is the number of queries that fail in a row before the store is read.
	maxGatewayAttempts = 3
	// storeReadInterval is the pause after each read of the store, whose calls are billed.
	storeReadInterval = 1500 * time.Millisecond
	// firstStartDelay is the mean delay of the first query at the first start of the whole system,
	// in which gateways register in the store and read their copies of it.
	firstStartDelay = 3 * time.Second
)

// inventoryWatcher keeps the inventory of the service up to date. It queries gateways and reads
// the store only while none of them replies. It is safe for concurrent use.
type inventoryWatcher struct {
	cfg   *platform.Settings
	store *platform.Store
	pool  *peerconn.Pool
	log   *log.Logger
	// onInventory is called with each new inventory, one call at a time.
	onInventory func(*inventory.Inventory)
	// namings fetches the times at which versions were named, after onInventory was called. Only
	// run uses it.
	namings *namingTracker
	// suspension detects suspensions of the VM, which are passed to onSuspension. Only run uses
	// them.
	suspension   *suspend.Detector
	onSuspension func(time.Duration)
	// fullRead decides when the store's lists are read. Only run uses it.
	fullRead FullReads

	mu     sync.Mutex
	latest *inventory.Inventory
	// gateways holds the gateways that can be queried.
	gateways []inventory.Place
	// avoidUntil holds the time until which a gateway is not queried, by address.
	avoidUntil map[string]time.Time
}

// watcherHandlers holds the callbacks of an inventoryWatcher, which makes one call at a time.
type watcherHandlers struct {
	// onInventory receives each new inventory.
	onInventory func(*inventory.Inventory)
	// onNaming receives the times at which versions were named.
	onNaming func(versions.Naming)
	// onSuspension receives the time for which the VM was suspended.
	onSuspension func(time.Duration)
}

func newInventoryWatcher(cfg *platform.Settings, store *platform.Store, pool *peerconn.Pool, l *log.Logger, h watcherHandlers) *inventoryWatcher {
	return &inventoryWatcher{
		cfg:         cfg,
		store:       store,
		pool:        pool,
		log:         l,
		onInventory: h.onInventory,
		namings:     &namingTracker{pool: pool, log: l, onNaming: h.onNaming},

		suspension:   suspend.NewDetector(suspend.SystemClocks),
		onSuspension: h.onSuspension,
		avoidUntil:   map[string]time.Time{},
	}
}

// current returns the latest inventory, or nil if there is none yet.
func (w *inventoryWatcher) current() *inventory.Inventory {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.latest
}

// run keeps the inventory up to date until ctx ends.
func (w *inventoryWatcher) run(ctx context.Context) {
	if w.cfg.FirstStart { // until then, gateways register
		wait.For(ctx, time.Duration((0.5+rand.Float64())*float64(firstStartDelay)))
	}
	failures := 0
	for ctx.Err() == nil {
		if d := w.suspension.Suspended(); d > 0 {
			w.onSuspension(d)
		}
		addr := w.pickGateway(ctx)
		reply, err := w.query(ctx, addr)
		if err == nil {
			w.apply(reply, failures)
			w.namings.update(ctx, addr, reply.Versions)
			failures = 0
			w.fullRead.Reset()
			continue
		}
		failures++
		if failures%maxGatewayAttempts != 0 && addr != "" {
			wait.For(ctx, longPollMargin/maxGatewayAttempts)
			continue
		}
		w.readStore(ctx, failures)
		wait.For(ctx, storeReadInterval)
	}
}

// apply makes reply the current inventory. failures is the number of queries that failed in a row
// before it.
func (w *inventoryWatcher) apply(reply *inventory.Inventory, failures int) {
	w.mu.Lock()
	changed := w.latest == nil || w.latest.Digest != reply.Digest
	w.latest = reply
	if len(reply.Entries) > 0 {
		w.gateways = reply.Entries
	}
	w.mu.Unlock()
	if failures >= maxGatewayAttempts {
		w.log.Info("entries regained", "failures", failures)
	}
	if changed {
		w.onInventory(reply)
	}
}

// errNoGateway is returned if no gateway is available.
var errNoGateway = errors.New("sidecar: no gateway available")

// query requests the inventory from the gateway at addr, which replies once its inventory differs
// from the current one.
func (w *inventoryWatcher) query(ctx context.Context, addr string) (*inventory.Inventory, error) {
	if addr == "" {
		return nil, errNoGateway
	}
	q := inventory.Query{Service: w.cfg.Service, Wait: longPollWait}
	if latest := w.current(); latest != nil {
		q.Known = latest.Digest
	}
	ctx, cancel := context.WithTimeout(ctx, longPollWait+longPollMargin)
	defer cancel()
	reply := &inventory.Inventory{}
	if err := w.pool.Call(ctx, addr, inventory.MethodGet, q, reply); err != nil {
		w.mu.Lock()
		w.avoidUntil[addr] = time.Now().Add(backoffTime)
		w.mu.Unlock()
		w.log.Debug("inventory query failed", "peer", addr, "err", err)
		return nil, err
	}
	return reply, nil
}

// pickGateway returns the address of the gateway to query, in this availability zone if possible,
// or "" if none is available.
func (w *inventoryWatcher) pickGateway(ctx context.Context) string {
	w.mu.Lock()
	unknown := len(w.gateways) == 0
	w.mu.Unlock()
	if unknown {
		w.loadGateways(ctx)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	var candidates, otherZones []string // candidates are those of the own zone, if there are any
	for _, p := range w.gateways {
		switch {
		case now.Before(w.avoidUntil[p.Addr]):
		case p.Zone == w.cfg.Zone:
			candidates = append(candidates, p.Addr)
		default:
			otherZones = append(otherZones, p.Addr)
		}
	}
	if len(candidates) == 0 {
		candidates = otherZones
	}
	if len(candidates) == 0 {
		return ""
	}
	return candidates[rand.IntN(len(candidates))]
}

// loadGateways reads from the store which gateways can be queried: the contacts of a large fleet, or
// else the list of all gateways.
func (w *inventoryWatcher) loadGateways(ctx context.Context) {
	if c, err := w.store.Contacts(ctx); err == nil && c != nil {
		var places []inventory.Place
		for _, e := range c.Gateways {
			places = append(places, inventory.PlaceOf(e))
		}
		w.setGateways(places)
		return
	}
	w.listGateways(ctx)
}

func (w *inventoryWatcher) setGateways(places []inventory.Place) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.gateways = places
}

// listGateways reads the list of all gateways from the store.
func (w *inventoryWatcher) listGateways(ctx context.Context) {
	objects, err := w.store.ListStale(ctx, platform.KindMembers)
	if err != nil {
		w.log.Debug("list of gateways not read from the store", "err", err)
		return
	}
	var places []inventory.Place
	for _, stored := range objects {
		e, err := platform.DecodeMember(stored.Data)
		if err != nil {
			w.logUnusable(platform.KindMembers, stored.Name, err)
			continue
		}
		places = append(places, inventory.PlaceOf(*e))
	}
	w.setGateways(places)
}
