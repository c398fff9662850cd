package sidecar

import (
	"context"
	"errors"
	"slices"

	"github.com/silverdeck/silverdeck/inventory"
	"github.com/silverdeck/silverdeck/platform"
	"github.com/silverdeck/silverdeck/roster"
)

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
