package gateway

import (
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/gin-gonic/gin"

	"github.com/silverdeck/silverdeck/gateway/directory"
	"github.com/silverdeck/silverdeck/gateway/poison"
	"github.com/silverdeck/silverdeck/gateway/replica"
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

// Limits of connections to this gateway where the configuration gives none: before the
// first, and to the addresses that are not for callers' requests.
const (
	// headerLimit is how long the head of a request may take.
	headerLimit = 10 * time.Second
	// idleLimit is how long a connection may rest.
	idleLimit = 60 * time.Second
	// headerBytes is the largest head of a request, in bytes.
	headerBytes = 64 << 10
	// limitSlack is how long after the configuration's limit a connection is closed: a VM
	// that froze, or a congested link, delays what the caller sent within it. Longer than
	// VMs were seen frozen (4 s).
	limitSlack = 5 * time.Second
)

// ConnectionLimits returns the limits of callers' connections under a configuration's
// limits for callers, each of which may be 0 for none.
func ConnectionLimits(l routes.Limits) serve.Limits {
	out := serve.Limits{HeaderBytes: headerBytes, HeaderTimeout: headerLimit, IdleTimeout: idleLimit}
	if l.HeaderBytes > 0 {
		out.HeaderBytes = l.HeaderBytes
	}
	if l.HeaderTimeout > 0 {
		out.HeaderTimeout = l.HeaderTimeout + limitSlack
	}
	if l.IdleTimeout > 0 {
		out.IdleTimeout = l.IdleTimeout + limitSlack
	}
	return out
}

const (
	// addressTTL is for how long callers keep an answer of the directory, unless the
	// platform's settings say less: a gateway that is gone is used for that long.
	addressTTL = 2 * time.Second
	// turns is how many ways there are to spread callers over the gateways that stand
	// in for others: more than there are gateways.
	turns = 1 << 10
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
	g.callers = callers
	gin.SetMode(gin.ReleaseMode)
	if err := g.serveOther(g.cfg.Ready, g.readyHandler()); err != nil {
		return err
	}
	if err := g.serveOther(g.cfg.Directory, g.directoryHandler()); err != nil {
		return err
	}
	return g.serveOther(g.cfg.Observe, g.observeHandler())
}

// servePeers takes calls of other processes of ours.
func (g *Gateway) servePeers() error {
	mux, err := peerconn.NewMux(map[string]any{
		replica.ServiceName: replica.NewService(g.mirrors),
		inventory.Service:   g.inventory,

		member.RollServiceName: member.NewRollService(g.table),
		poison.ServiceName:     poison.NewService(g.poison, g.trials),
		leases.ServiceName:     leases.NewService(g.loads, g.leasable),
		tokens.ServiceName:     tokens.NewService(g.balancer),
	})
	if err != nil {
		return err
	}
	s := &http.Server{Handler: mux, ReadHeaderTimeout: headerLimit}
	g.others = append(g.others, s)
	return serve.HTTP(s, g.cfg.Peer, g.log)
}

// serveOther serves h at addr; an empty addr means that this VM has none.
func (g *Gateway) serveOther(addr string, h http.Handler) error {
	if addr == "" {
		return nil
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: headerLimit, IdleTimeout: idleLimit}
	g.others = append(g.others, s)
	return serve.HTTP(s, addr, g.log)
}

// observeHandler shows the person on call what goes on, and lets a quarantined request be
// sent again: DELETE /quarantine/KEY.
func (g *Gateway) observeHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/", telemetry.NewObserveHandler(g.registry, g))
	mux.HandleFunc("DELETE /quarantine/{key}", func(w http.ResponseWriter, r *http.Request) {
		if err := g.poison.Clear(r.PathValue("key"), time.Now()); err != nil {
			http.Error(w, err.Error(), http.StatusNotFound)
			return
		}
		w.WriteHeader(http.StatusNoContent)
	})
	return mux
}

// readyHandler answers the platform's question whether this gateway takes requests.
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

// directoryHandler answers callers that ask which addresses to use.
func (g *Gateway) directoryHandler() http.Handler {
	router := gin.New()
	router.GET(platform.ResolvePath, func(c *gin.Context) {
		q := platform.ParseResolve(c.Request)
		live := g.table.Live()
		if g.Ready() == nil {
			live = append(live, g.self)
		}
		addresses := directory.Addresses(live, q.Zone, q.Region, rand.IntN(turns))
		if len(addresses) == 0 {
			c.String(http.StatusServiceUnavailable, "no entry is ready")
			return
		}
		c.JSON(http.StatusOK, platform.NewResolveAnswer(addresses, g.addressTTL()))
	})
	return router
}

// addressTTL returns for how long callers keep an answer of the directory.
func (g *Gateway) addressTTL() time.Duration {
	if g.cfg.AddressTTL > 0 {
		return min(addressTTL, g.cfg.AddressTTL)
	}
	return addressTTL
}
