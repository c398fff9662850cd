package gateway

import (
	"context"
	"time"

	"github.com/silverdeck/silverdeck/gateway/advisory"
	"github.com/silverdeck/silverdeck/gateway/affinity"
	"github.com/silverdeck/silverdeck/gateway/balance"
	"github.com/silverdeck/silverdeck/gateway/tokens"
	"github.com/silverdeck/silverdeck/member"
	"github.com/silverdeck/silverdeck/roster"
)

// tokenTimeout bounds a token request. It allows for several round trips between regions.
const tokenTimeout = 150 * time.Millisecond

// onAdvisory implements balance.Config.OnAdvisory: it sends a heartbeat early, so that other
// gateways learn of new endpoint advice. It is called with a lock held.
func (g *Gateway) onAdvisory() {
	if g.heartbeater != nil {
		g.heartbeater.SendSoon()
	}
}

// mergeAdvice applies endpoint advice from another gateway. A relay forwards it immediately.
func (g *Gateway) mergeAdvice(advice []member.Advice) {
	now := time.Now()
	changed := g.balancer.MergeAdvisories(advisory.Decode(advice, now), now)
	for _, r := range changed {
		g.logAdvice(&r, now)
	}
	if len(changed) > 0 && g.table.IsRelay() {
		g.heartbeater.SendSoon()
	}
}

// logAdvice logs advice on an endpoint that was received from another gateway.
func (g *Gateway) logAdvice(r *advisory.Record, now time.Time) {
	rate, limited := r.Limit.(advisory.PerSecond)
	heard := int64(-1)
	if !r.HeardAt.IsZero() {
		heard = now.Sub(r.HeardAt).Milliseconds()
	}
	g.log.Info("endpoint told", "endpoint", r.Endpoint.ID, "born", r.Endpoint.Born, "limited", limited,
		"perSecond", float64(rate), "heardMs", heard, "leaving", r.Leaving)
}

// readyGateways returns the gateways among which endpoints are assigned holders: the live
// ones that report ready, and this one if it is ready.
func (g *Gateway) readyGateways() []member.Entry {
	live := g.table.Live()
	if g.Ready() == nil {
		live = append(live, g.self)
	}
	return live
}

// requestToken implements proxy.Config.RequestToken.
func (g *Gateway) requestToken(ctx context.Context, l roster.Incarnation) (opensIn time.Duration, granted bool) {
	list := g.endpoints.Current()
	if list == nil || list.Endpoints[l.ID] == nil {
		return 0, false
	}
	holder, found := affinity.Holder(list.Endpoints[l.ID], g.readyGateways())
	if !found || holder.Name == g.self.Name {
		return 0, false
	}
	ctx, cancel := context.WithTimeout(ctx, tokenTimeout)
	defer cancel()
	requestedAt := time.Now()
	reply, err := tokens.Request(ctx, g.peers, holder.Peer, tokens.TakeRequest{Gateway: g.self.Name, Endpoint: l.ID, Born: l.Born,
		ColdFor: g.balancer.ColdFor(l, requestedAt)})
	if err != nil {
		g.log.Debug("no token from the holder of an endpoint", "endpoint", l.ID, "peer", holder.Peer, "err", err)
		return 0, false
	}
	g.balancer.ApplyTokenReply(l, balance.TokenReply{Granted: reply.Granted, OpensIn: reply.OpensIn, RequestedAt: requestedAt}, time.Now())
	return reply.OpensIn, reply.Granted
}

// requestTokenAhead implements balance.Config.OnTokenWanted.
func (g *Gateway) requestTokenAhead(l roster.Incarnation) {
	go g.requestToken(context.Background(), l)
}
