package sidecar

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/silverdeck/silverdeck/inventory"
	"github.com/silverdeck/silverdeck/platform"
	"github.com/silverdeck/silverdeck/roster"
)

// readStore reads the list of gateways and the inventory from the store, for use while no gateway
// replies.
func (w *inventoryWatcher) readStore(ctx context.Context, failures int) {
	if failures == maxGatewayAttempts {
		w.log.Warn("entries lost", "failures", failures)
	}
	reply, err := w.read(ctx)
	if err != nil {
		w.log.Debug("inventory not read from the store", "err", err)
		return
	}
	if reply != nil {
		w.apply(reply, 0)
	}
}

// read reads from the store what it should have of the inventory now. It returns nil without an
// error if there is nothing to apply.
func (w *inventoryWatcher) read(ctx context.Context) (*inventory.Inventory, error) {
	if w.fullRead.Due(time.Now(), rand.Float64()) {
		w.listGateways(ctx)
		return w.readInventory(ctx)
	}
	w.loadGateways(ctx)
	latest := w.current()
	if latest == nil {
		return nil, nil
	}
	versions, err := w.readVersions(ctx)
	if err != nil {
		return nil, err
	}
	return latest.Update(versions, w.knownGateways()), nil
}

// FullReads decides when the store's lists of gateways and endpoints are read. They grow with the
// fleet, as does the number of sidecars that read them while no gateway replies, for example while
// all gateways start.
type FullReads struct {
	next time.Time
}

// Timing of full reads.
const (
	// firstFullRead is the mean time from the first failure to the first full read. Gateways that
	// start usually reply sooner.
	firstFullRead = 5 * time.Second
	// fullReadInterval is the mean time between two full reads.
	fullReadInterval = 15 * time.Second
)

// Due reports whether a full read is due. draw is a random number in [0, 1).
func (f *FullReads) Due(now time.Time, draw float64) bool {
	if f.next.IsZero() {
		f.next = now.Add(time.Duration((0.5 + draw) * float64(firstFullRead)))
	}
	if now.Before(f.next) {
		return false
	}
	f.next = now.Add(time.Duration((0.5 + draw) * float64(fullReadInterval)))
	return true
}

// Reset starts over after a gateway replied.
func (f *FullReads) Reset() {
	f.next = time.Time{}
}

// readInventory composes the inventory from the store. The configuration, which is large, is read
// only if there is no inventory yet.
func (w *inventoryWatcher) readInventory(ctx context.Context) (*inventory.Inventory, error) {
	s := &inventory.FleetState{PeerPort: w.cfg.PeerPort, Regions: w.cfg.Regions}
	var err error
	if latest := w.current(); latest != nil {
		s.Config = latest.ServiceConfig()
	} else if s.Config, err = w.readConfig(ctx); err != nil {
		return nil, err
	}
	if s.Versions, err = w.readVersions(ctx); err != nil {
		return nil, err
	}
	if s.Endpoints, err = w.readEndpoints(ctx); err != nil {
		return nil, err
	}
	s.Gateways = w.knownGateways()
	return inventory.Compose(w.cfg.Service, s), nil
}

// knownGateways returns the gateways that can be queried.
func (w *inventoryWatcher) knownGateways() []inventory.Place {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.gateways)
}

// errNoConfig is returned if the store holds no configuration yet.
var errNoConfig = errors.New("sidecar: no configuration in the store")

func (w *inventoryWatcher) readConfig(ctx context.Context) (inventory.ServiceConfig, error) {
	objects, err := w.store.ListStale(ctx, platform.KindConfig)
	if err != nil {
		return inventory.ServiceConfig{}, err
	}
	for _, stored := range objects {
		if stored.Name != platform.ConfigName {
			continue
		}
		config, err := platform.DecodeConfig(stored.Data)
		if err != nil {
			return inventory.ServiceConfig{}, err
		}
		return inventory.ServiceConfigFrom(config, w.cfg.Service), nil
	}
	return inventory.ServiceConfig{}, errNoConfig
}

func (w *inventoryWatcher) readVersions(ctx context.Context) ([]inventory.Version, error) {
	objects, err := w.store.ListStale(ctx, platform.KindVersions)
	if err != nil {
		return nil, err
	}
	var out []inventory.Version
	for _, stored := range objects {
		v, err := platform.DecodeVersion(stored.Data)
		if err != nil {
			w.logUnusable(platform.KindVersions, stored.Name, err)
			continue
		}
		out = append(out, inventory.Version{Model: v.Model, Version: v.Version})
	}
	return out, nil
}

func (w *inventoryWatcher) readEndpoints(ctx context.Context) (map[string]*roster.Endpoint, error) {
	objects, err := w.store.ListStale(ctx, platform.KindEndpoints)
	if err != nil {
		return nil, err
	}
	out := make(map[string]*roster.Endpoint, len(objects))
	for _, stored := range objects {
		e, err := platform.DecodeEndpoint(stored.Data)
		if err != nil {
			w.logUnusable(platform.KindEndpoints, stored.Name, err)
			continue
		}
		out[e.ID] = e
	}
	return out, nil
}

// logUnusable logs a record that can't be decoded, which another writer may have left in the store.
// The lines are not rate-limited because the store is read rarely.
func (w *inventoryWatcher) logUnusable(kind, name string, err error) {
	w.log.Warn("record not used", "kind", kind, "name", name, "err", err)
}
