package edge

import (
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"github.com/gin-gonic/gin"

	"github.com/silverdeck/silverdeck/directory"
	"github.com/silverdeck/silverdeck/inventory"
	"github.com/silverdeck/silverdeck/platform"
	"github.com/silverdeck/silverdeck/telemetry"
)

func (e *Edge) listen() error {
	peers, err := servePeers(e.site.Peer, map[string]any{syncService: newSync(e.mirrors), inventory.Service: e.inventory})
	if err != nil {
		return err
	}
	e.side = append(e.side, peers)
	e.callers = &http.Server{
		Handler:           e.gateway,
		ReadHeaderTimeout: headerLimit,
		IdleTimeout:       idleLimit,
		MaxHeaderBytes:    headerBytes,
		ErrorLog:          e.log.StandardLog(),
	}
	if err := serve(e.callers, e.site.Callers); err != nil {
		return err
	}
	gin.SetMode(gin.ReleaseMode)
	if err := e.serveSide(e.site.Ready, e.readyHandler()); err != nil {
		return err
	}
	if err := e.serveSide(e.site.Directory, e.directoryHandler()); err != nil {
		return err
	}
	return e.serveSide(e.site.Observe, telemetry.NewObserveHandler(e.registry, e))
}

func (e *Edge) serveSide(addr string, h http.Handler) error {
	if addr == "" {
		return nil
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: headerLimit, IdleTimeout: idleLimit}
	e.side = append(e.side, s)
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

func (e *Edge) readyHandler() http.Handler {
	router := gin.New()
	router.GET(platform.ReadyPath, func(c *gin.Context) {
		if err := e.Ready(); err != nil {
			c.String(http.StatusServiceUnavailable, err.Error())
			return
		}
		c.String(http.StatusOK, "ready")
	})
	return router
}

func (e *Edge) directoryHandler() http.Handler {
	router := gin.New()
	router.GET(platform.ResolvePath, func(c *gin.Context) {
		q := platform.ParseResolve(c.Request)
		live := e.table.Live()
		if e.Ready() == nil {
			live = append(live, e.self)
		}
		addresses := directory.Addresses(live, q.Zone, q.Region, rand.IntN(turns))
		if len(addresses) == 0 {
			c.String(http.StatusServiceUnavailable, "no entry is ready")
			return
		}
		c.JSON(http.StatusOK, platform.NewResolveAnswer(addresses, e.ttl()))
	})
	return router
}

func (e *Edge) ttl() time.Duration {
	if e.site.AddressTTL > 0 {
		return min(addressTTL, e.site.AddressTTL)
	}
	return addressTTL
}
