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

// Times of asking for the inventory.
const (
	// askWait is for how long a gateway may keep a question until there is news. A change
	// is told at once in any case.
	askWait = time.Second
	// askSlack is how much later its answer may come.
	askSlack = 700 * time.Millisecond
	// avoidTime is for how long a gateway that did not answer is not asked.
	avoidTime = 4 * time.Second
	// askTries is how many gateways are asked in a row before the store is.
	askTries = 3
	// storePause is the time between two readings of the store, whose calls are priced.
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
