package gateway

import (
	"cmp"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/silverdeck/silverdeck/inventory"
	"github.com/silverdeck/silverdeck/member"
	"github.com/silverdeck/silverdeck/platform"
)

// Limits of answers to processes beside endpoints.
const (
	// longestWait is for how long an answer may wait for news.
	longestWait = 2 * time.Second
	// inventoryGather is for how long changes of members are gathered before
	// those who wait hear them; versions and the configuration are told at once.
	inventoryGather = 500 * time.Millisecond
)

// Inventory tells processes beside endpoints what they need of the platform's
// store, so that they need not ask it themselves. It is served by net/rpc.
type Inventory struct {
	gateway *Gateway

	mu sync.Mutex
	// news is closed when a version is named or the configuration changes.
	news chan struct{}
}

func newInventory(g *Gateway) *Inventory {
	return &Inventory{gateway: g, news: make(chan struct{})}
}

// announce answers those who wait.
func (v *Inventory) announce() {
	v.mu.Lock()
	defer v.mu.Unlock()
	close(v.news)
	v.news = make(chan struct{})
}

func (v *Inventory) awaited() <-chan struct{} {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.news
}

// errNotKnown answers while the configuration or the endpoints are not known.
var errNotKnown = errors.New("gateway: nothing known yet")

// Get tells the inventory of a service once it is another than the known one,
// or after the time that the query gives.
func (v *Inventory) Get(q inventory.Query, reply *inventory.Inventory) error {
	end := time.After(min(q.Wait, longestWait))
	for {
		news := v.awaited()
		inv := v.now(q.Service)
		if inv != nil && inv.Digest != q.Known {
			*reply = *inv
			return nil
		}
		select {
		case <-news:
		case <-time.After(inventoryGather):
		case <-end:
			if inv == nil {
				return errNotKnown
			}
			*reply = *inv
			return nil
		}
	}
}

// now returns what is known of a service, or nil while that is too little.
func (v *Inventory) now(service string) *inventory.Inventory {
	g := v.gateway
	config, list := g.proxy.Routes(), g.roster.Load()
	if config == nil || list == nil || g.mirrors[platform.KindVersions].State().Revision == 0 {
		return nil
	}
	inv := &inventory.Inventory{Versions: g.versions.newest()}
	inv.UseConfig(config, service)
	for _, endpoint := range list.Endpoints {
		if endpoint.Service == service {
			inv.AddEndpoint(endpoint, g.cfg.PeerPort, g.cfg.Regions)
		}
	}
	for _, entry := range g.entries() {
		inv.AddEntry(entry)
	}
	inv.Seal()
	return inv
}

// entries returns all live entries with this one, by name.
func (g *Gateway) entries() []member.Entry {
	all := append(g.table.Live(), g.self)
	slices.SortFunc(all, func(a, b member.Entry) int { return cmp.Compare(a.Name, b.Name) })
	return all
}
