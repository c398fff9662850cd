package gateway

import (
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/gin-gonic/gin"

	"github.com/silverdeck/silverdeck/gateway/directory"
	"github.com/silverdeck/silverdeck/gateway/poison"
	"github.com/silverdeck/silverdeck/gateway/replica"
	"github.com/silverdeck/silverdeck/gateway/residency"
	"github.com/silverdeck/silverdeck/gateway/tokens"
	"github.com/silverdeck/silverdeck/inventory"
	"github.com/silverdeck/silverdeck/leases"
	"github.com/silverdeck/silverdeck/member"
	"github.com/silverdeck/silverdeck/peerconn"
	"github.com/silverdeck/silverdeck/platform"
	"github.com/silverdeck/silverdeck/routes"
	"github.com/silverdeck/silverdeck/serve"
	"github.com/silverdeck/silverdeck/telemetry"
)

// Default connection limits. They apply to callers while the configuration sets none, and to
// the other addresses.
const (
	// headerTimeout bounds the time to read a request header.
	headerTimeout = 10 * time.Second
	// idleTimeout bounds the time for which a connection may be idle.
	idleTimeout = 60 * time.Second
	// maxHeaderBytes is the largest request header.
	maxHeaderBytes = 64 << 10
	// timeoutSlack is added to the configuration's timeouts, since a frozen VM or a congested
	// link may delay data that the caller sent in time. It is longer than the 4 s for which VMs
	// have been observed to freeze.
	timeoutSlack = 5 * time.Second
)

// ConnectionLimits returns the limits of callers' connections for the configuration's limits
// for callers. A limit of 0 selects the default.
func ConnectionLimits(l routes.Limits) serve.Limits {
	out := serve.Limits{HeaderBytes: maxHeaderBytes, HeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
	if l.HeaderBytes > 0 {
		out.HeaderBytes = l.HeaderBytes
	}
	if l.HeaderTimeout > 0 {
		out.HeaderTimeout = l.HeaderTimeout + timeoutSlack
	}
	if l.IdleTimeout > 0 {
		out.IdleTimeout = l.IdleTimeout + timeoutSlack
	}
	return out
}

const (
	// addressTTL is how long callers may cache a directory answer, unless the platform's
	// settings have a shorter time: a gateway that is gone is still used for that long.
	addressTTL = 2 * time.Second
	// addressSeeds is the number of seeds by which callers are spread over substitute
	// gateways. It exceeds the number of gateways.
	addressSeeds = 1 << 10
)

// listen opens all addresses of this gateway.
func (g *Gateway) listen() error {
	if err := g.servePeers(); err != nil {
		return err
	}
	callers, err := serve.Listen(g.cfg.Callers, g.proxy, ConnectionLimits(routes.Limits{}), g.log)
	if err != nil {
		return err
	}
	g.callerServer = callers
	gin.SetMode(gin.ReleaseMode)
	if err := g.serveOther(g.cfg.Ready, g.readyHandler()); err != nil {
		return err
	}
	if err := g.serveOther(g.cfg.Directory, g.directoryHandler()); err != nil {
		return err
	}
	return g.serveOther(g.cfg.Observe, g.observeHandler())
}

// servePeers serves RPCs from gateways and sidecars.
func (g *Gateway) servePeers() error {
	mux, err := peerconn.NewMux(map[string]any{
		replica.ServiceName: replica.NewService(g.mirrors),
		inventory.Service:   g.inventory,

		member.RollServiceName: member.NewRollService(g.table),
		poison.ServiceName:     poison.NewService(g.poison, g.trials),
		leases.ServiceName:     leases.NewService(g.loads, g.loadFleet, g.recordLeaseDecision, leases.WithOwnership(g.mayGrantLoads)),
		tokens.ServiceName:     tokens.NewService(g.balancer),
	})
	if err != nil {
		return err
	}
	s := &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout}
	g.otherServers = append(g.otherServers, s)
	return serve.HTTP(s, g.cfg.Peer, g.log)
}

// serveOther serves h at addr; an empty addr means that this VM does not have the address.
func (g *Gateway) serveOther(addr string, h http.Handler) error {
	if addr == "" {
		return nil
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
	g.otherServers = append(g.otherServers, s)
	return serve.HTTP(s, addr, g.log)
}

// observeHandler serves metrics and debugging data to operators, DELETE /quarantine/KEY, which
// lifts a quarantine, and the look-ups that the directory process on this VM passes on.
func (g *Gateway) observeHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/", telemetry.NewObserveHandler(g.registry, g, g.cfg.Profiles))
	mux.Handle(platform.ResolvePath, g.directoryHandler())
	mux.HandleFunc("DELETE /quarantine/{key}", func(w http.ResponseWriter, r *http.Request) {
		if err := g.poison.Clear(r.PathValue("key"), time.Now()); err != nil {
			http.Error(w, err.Error(), http.StatusNotFound)
			return
		}
		w.WriteHeader(http.StatusNoContent)
	})
	return mux
}

// readyHandler serves the platform's readiness check.
func (g *Gateway) readyHandler() http.Handler {
	router := gin.New()
	router.GET(platform.ReadyPath, func(c *gin.Context) {
		if err := g.Ready(); err != nil {
			c.String(http.StatusServiceUnavailable, err.Error())
			return
		}
		c.String(http.StatusOK, "ready")
	})
	return router
}

// directoryHandler serves the addresses that callers should use.
func (g *Gateway) directoryHandler() http.Handler {
	router := gin.New()
	router.GET(platform.ResolvePath, func(c *gin.Context) {
		q := platform.ParseResolve(c.Request)
		live := g.table.Live()
		if g.Ready() == nil {
			live = append(live, g.self)
		}
		client := directory.Client{Zone: q.Zone, Region: q.Region}
		client.Permitted, client.Possible = g.regionsOf(q.Host)
		addresses := directory.Addresses(live, client, rand.IntN(addressSeeds))
		if len(addresses) == 0 {
			c.String(http.StatusServiceUnavailable, "no entry is ready")
			return
		}
		c.JSON(http.StatusOK, platform.NewResolveAnswer(addresses, g.addressTTL()))
	})
	return router
}

// regionsOf returns the regions whose gateways may get all requests for a host, and those whose
// gateways may get some. The account of a request is not known when its address is looked up.
func (g *Gateway) regionsOf(host string) (permitted, possible residency.Regions) {
	config := g.proxy.Routes()
	if config == nil {
		return residency.Regions{}, residency.Regions{}
	}
	lists := config.RegionsOfHost(host)
	permitted = residency.Intersect(lists...)
	if !config.HasUnrestrictedRoute(host) {
		possible = residency.Union(lists...)
	}
	return permitted, possible
}

// addressTTL returns how long callers may cache a directory answer.
func (g *Gateway) addressTTL() time.Duration {
	if g.cfg.AddressTTL > 0 {
		return min(addressTTL, g.cfg.AddressTTL)
	}
	return addressTTL
}
