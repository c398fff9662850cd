package sidecar

import (
	"context"
	"errors"
	"slices"

	"github.com/silverdeck/silverdeck/inventory"
	"github.com/silverdeck/silverdeck/mirror"
	"github.com/silverdeck/silverdeck/platform"
	"github.com/silverdeck/silverdeck/roster"
)

// readStore reads the list of gateways and the inventory from the store, for use while no gateway
// replies.
func (w *inventoryWatcher) readStore(ctx context.Context, failures int) {
	if failures == maxGatewayAttempts {
		w.log.Warn("entries lost", "failures", failures)
	}
	w.loadGateways(ctx)
	reply, err := w.readInventory(ctx)
	if err != nil {
		w.log.Debug("inventory not read from the store", "err", err)
		return
	}
	w.apply(reply, 0)
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
	w.mu.Lock()
	s.Gateways = slices.Clone(w.gateways)
	w.mu.Unlock()
	return inventory.Compose(w.cfg.Service, s), nil
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
	objects, err := w.listVersions(ctx)
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

// listVersions reads the named versions. A stale list will do for the first inventory: gateways
// tell of newer ones as soon as they reply.
func (w *inventoryWatcher) listVersions(ctx context.Context) ([]mirror.Object, error) {
	if w.current() == nil {
		return w.store.ListStale(ctx, platform.KindVersions)
	}
	objects, _, err := w.store.Source(platform.KindVersions).List(ctx)
	return objects, err
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
