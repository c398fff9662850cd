package gateway

import (
	"context"
	"net"
	"time"

	"github.com/silverdeck/silverdeck/member"
	"github.com/silverdeck/silverdeck/platform"
	"github.com/silverdeck/silverdeck/wait"
)

// Times of a start and of a planned stop.
const (
	// registerPause is the time between two tries to register in the store.
	registerPause = 500 * time.Millisecond
	// acceptLeaving is how long a leaving gateway takes new connections, for callers that
	// kept its address: longer than addressTTL. What may not end in time is refused
	// meanwhile; see policy.AcceptsDuringShutdown.
	acceptLeaving = 3 * time.Second
	// stopMargin is taken from the time that a planned stop may take, for what comes after
	// the last request.
	stopMargin = 400 * time.Millisecond
	// lastAnswers is how long before that requests in progress are ended, so that those
	// without an answer get one. An answer takes some milliseconds, on a busy VM up to a
	// hundred.
	lastAnswers = 200 * time.Millisecond
	// lastLines is how long the process stays after the last request, so that questions at
	// its other addresses are answered and the last heartbeat and log lines go out.
	lastLines = 100 * time.Millisecond
	// sweepEvery is how often idle connections to endpoints are looked at. Half of the
	// shortest time for which endpoints keep them.
	sweepEvery = 2 * time.Second
)

// Start begins to serve.
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
	g.beater = member.NewHeartbeater(conn, g.table, member.Handlers{
		NextHeartbeat: g.heartbeat,
		AfterRound:    g.afterHeartbeat,
		OnNotice:      g.useNotice,
		OnPoison:      g.usePoison,
		OnAdvice:      g.useAdvice,
		OnSent:        NewSentCounters(g.registry).Count,
		FetchRoll: func(ctx context.Context, addr string) ([]member.Member, error) {
			return member.FetchRoll(ctx, g.peers, addr, g.self.Name)
		},
		OnHeartbeat: func() { g.afterOther(ctx) },
		Log:         g.log,
	})
	go g.beater.Run(ctx)
	go g.syncer.Run(ctx)
	for _, m := range g.mirrors {
		go m.Run(ctx)
	}
	go g.register(ctx)
	go g.followNamings(ctx)
	go g.sweep(ctx)
	go g.readQuarantine(ctx)
	g.log.Info("started", "callers", g.cfg.Callers, "peer", g.cfg.Peer, "life", g.self.Life)
	return nil
}

// register writes this gateway's record until the store has taken it.
func (g *Gateway) register(ctx context.Context) {
	for ctx.Err() == nil && !g.leaving.Load() {
		err := g.store.Put(ctx, platform.KindMembers, g.self.Name, g.self)
		if err == nil {
			g.log.Info("registered", "entry", g.self.Name)
			return
		}
		g.log.Debug("not registered", "err", err)
		wait.For(ctx, registerPause)
	}
}

// sweep closes idle connections that have rested too long.
func (g *Gateway) sweep(ctx context.Context) {
	for wait.For(ctx, sweepEvery) {
		if list := g.endpoints.Current(); list != nil {
			g.client.Prune(list.ByAddr(), time.Now())
		}
	}
}

// Stop ends without cutting requests in progress, for as long as the platform allows.
func (g *Gateway) Stop(ctx context.Context) error {
	started := time.Now()
	last := started.Add(g.cfg.Grace - stopMargin)
	g.leaving.Store(true)
	g.proxy.BeginShutdown(last.Add(-lastAnswers))
	g.log.Info("stopping", "running", g.proxy.Running().Count())
	go g.unregister(ctx)
	wait.For(ctx, acceptLeaving)
	ctx, cancel := context.WithDeadline(ctx, last)
	defer cancel()
	defer time.AfterFunc(time.Until(last)-lastAnswers, g.proxy.CancelRequests).Stop()
	err := g.callers.Shutdown(ctx)
	g.cancel()
	g.closeOthers()
	g.log.Info("stopped", "cut", g.proxy.Running().Count(), "ms", time.Since(started).Milliseconds())
	return err
}

// closeOthers ends the servers of the other addresses. Short questions, such as those for
// addresses, are answered first; those that wait for news are asked again elsewhere.
func (g *Gateway) closeOthers() {
	ctx, cancel := context.WithTimeout(context.Background(), lastLines)
	defer cancel()
	for _, s := range g.others {
		go func() {
			if s.Shutdown(ctx) != nil {
				_ = s.Close() // who still waits there asks elsewhere
			}
		}()
	}
	<-ctx.Done()
}

// unregister removes this gateway's record. Where that fails, others see by its
// heartbeats that it is gone.
func (g *Gateway) unregister(ctx context.Context) {
	if err := g.store.Delete(ctx, platform.KindMembers, g.self.Name); err != nil {
		g.log.Debug("not unregistered", "err", err)
	}
}
