package gateway

import (
	"context"
	"net"
	"time"

	"github.com/silverdeck/silverdeck/member"
	"github.com/silverdeck/silverdeck/platform"
	"github.com/silverdeck/silverdeck/wait"
)

// Timing of startup and graceful shutdown.
const (
	// registerRetryInterval is the time between attempts to register in the store.
	registerRetryInterval = 500 * time.Millisecond
	// shutdownAcceptTime is how long a stopping gateway still accepts connections, for callers
	// that cached its address. It is longer than addressTTL. Requests that may not finish in
	// time are refused meanwhile; see policy.AcceptsDuringShutdown.
	shutdownAcceptTime = 3 * time.Second
	// stopMargin is the part of the platform's grace period reserved for the work after the
	// last request.
	stopMargin = 400 * time.Millisecond
	// answerMargin is how long before that deadline running requests are canceled, so that
	// those without a response get an error response. Sending one takes some milliseconds, up
	// to a hundred on a busy VM.
	answerMargin = 200 * time.Millisecond
	// closeTimeout is how long the process stays up after the last request, so that pending
	// queries at its other addresses are answered and the last heartbeat and log lines are
	// sent.
	closeTimeout = 100 * time.Millisecond
	// idleSweepInterval is how often idle connections to endpoints are checked: half of the
	// shortest time for which endpoints keep them open.
	idleSweepInterval = 2 * time.Second
)

// Start opens the addresses and starts the background goroutines.
func (g *Gateway) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	g.cancel = cancel
	conn, err := net.ListenPacket("udp4", g.cfg.Peer)
	if err != nil {
		return err
	}
	if err := g.listen(); err != nil {
		return err
	}
	g.heartbeater = member.NewHeartbeater(conn, g.table, member.Handlers{
		NextHeartbeat: g.heartbeat,
		AfterRound:    g.afterHeartbeat,
		OnNotice:      g.applyNotice,
		OnPoison:      g.mergePoison,
		OnAdvice:      g.mergeAdvice,
		OnSent:        NewSentCounters(g.registry).Count,
		FetchRoll: func(ctx context.Context, addr string) ([]member.Member, error) {
			return member.FetchRoll(ctx, g.peers, addr, g.self.Name)
		},
		OnHeartbeat: func() { g.onHeartbeat(ctx) },
		Log:         g.log,
	})
	go g.findContacts(ctx)
	go g.heartbeater.Run(ctx)
	go g.syncer.Run(ctx)
	for _, m := range g.mirrors {
		go m.Run(ctx)
	}
	go g.register(ctx)
	go g.runRewrites(ctx)
	go g.runNamingQueries(ctx)
	go g.closeIdleConnections(ctx)
	go g.loadQuarantine(ctx)
	g.log.Info("started", "callers", g.cfg.Callers, "peer", g.cfg.Peer, "life", g.self.Life)
	return nil
}

// register writes this gateway's record, retrying until the store accepts it.
func (g *Gateway) register(ctx context.Context) {
	for ctx.Err() == nil && !g.stopping.Load() {
		err := g.store.Put(ctx, platform.KindMembers, g.self.Name, g.self)
		if err == nil {
			g.log.Info("registered", "entry", g.self.Name)
			return
		}
		g.log.Debug("registration failed", "err", err)
		wait.For(ctx, registerRetryInterval)
	}
}

// closeIdleConnections periodically closes connections that have been idle for too long.
func (g *Gateway) closeIdleConnections(ctx context.Context) {
	for wait.For(ctx, idleSweepInterval) {
		if list := g.endpoints.Current(); list != nil {
			g.client.Prune(list.ByAddr(), time.Now())
		}
	}
}

// Stop shuts down gracefully: running requests may finish within the platform's grace period.
func (g *Gateway) Stop(ctx context.Context) error {
	started := time.Now()
	last := started.Add(g.cfg.Grace - stopMargin)
	g.stopping.Store(true)
	g.proxy.BeginShutdown(last.Add(-answerMargin))
	g.log.Info("stopping", "running", g.proxy.Running().Count())
	go g.unregister(ctx)
	wait.For(ctx, shutdownAcceptTime)
	ctx, cancel := context.WithDeadline(ctx, last)
	defer cancel()
	defer time.AfterFunc(time.Until(last)-answerMargin, g.proxy.CancelRequests).Stop()
	err := g.callerServer.Shutdown(ctx)
	g.cancel()
	g.closeOthers()
	g.log.Info("stopped", "cut", g.proxy.Running().Count(), "ms", time.Since(started).Milliseconds())
	return err
}

// closeOthers shuts down the servers of the other addresses. Short queries, such as address
// lookups, are answered first; clients of long polls retry at another gateway.
func (g *Gateway) closeOthers() {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	for _, s := range g.otherServers {
		go func() {
			if s.Shutdown(ctx) != nil {
				_ = s.Close() // long polls are retried at another gateway
			}
		}()
	}
	<-ctx.Done()
}

// unregister removes this gateway's record. If that fails, other gateways notice the
// missing heartbeats.
func (g *Gateway) unregister(ctx context.Context) {
	if err := g.store.Delete(ctx, platform.KindMembers, g.self.Name); err != nil {
		g.log.Debug("deregistration failed", "err", err)
	}
}
