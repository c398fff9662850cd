package gateway

import (
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"github.com/gin-gonic/gin"

	"github.com/silverdeck/silverdeck/gateway/directory"
	"github.com/silverdeck/silverdeck/inventory"
	"github.com/silverdeck/silverdeck/platform"
	"github.com/silverdeck/silverdeck/telemetry"
)

func (g *Gateway) listen() error {
	peers, err := servePeers(g.cfg.Peer, map[string]any{syncService: newSync(g.mirrors), inventory.Service: g.inventory})
	if err != nil {
		return err
	}
	g.side = append(g.side, peers)
	g.callers = &http.Server{
		Handler:           g.proxy,
		ReadHeaderTimeout: headerLimit,
		IdleTimeout:       idleLimit,
		MaxHeaderBytes:    headerBytes,
		ErrorLog:          g.log.StandardLog(),
	}
	if err := serve(g.callers, g.cfg.Callers); err != nil {
		return err
	}
	gin.SetMode(gin.ReleaseMode)
	if err := g.serveSide(g.cfg.Ready, g.readyHandler()); err != nil {
		return err
	}
	if err := g.serveSide(g.cfg.Directory, g.directoryHandler()); err != nil {
		return err
	}
	return g.serveSide(g.cfg.Observe, telemetry.NewObserveHandler(g.registry, g))
}

func (g *Gateway) serveSide(addr string, h http.Handler) error {
	if addr == "" {
		return nil
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: headerLimit, IdleTimeout: idleLimit}
	g.side = append(g.side, s)
	return serve(s, addr)
}

func serve(s *http.Server, addr string) error {
	l, err := net.Listen("tcp4", addr)
	if err != nil {
		return err
	}
	go func() { _ = s.Serve(l) }()
	return nil
}

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
		c.JSON(http.StatusOK, platform.NewResolveAnswer(addresses, g.ttl()))
	})
	return router
}

func (g *Gateway) ttl() time.Duration {
	if g.cfg.AddressTTL > 0 {
		return min(addressTTL, g.cfg.AddressTTL)
	}
	return addressTTL
}
