package gateway

import (
	"context"
	"time"

	"github.com/silverdeck/silverdeck/gateway/advisory"
	"github.com/silverdeck/silverdeck/gateway/affinity"
	"github.com/silverdeck/silverdeck/gateway/tokens"
	"github.com/silverdeck/silverdeck/member"
	"github.com/silverdeck/silverdeck/roster"
)

// tokenLimit bounds the question for a token: some ways there and back between regions.
const tokenLimit = 150 * time.Millisecond

// noteAdvised tells other gateways at once that an endpoint said something new. It is called
// under a lock.
func (g *Gateway) noteAdvised() {
	if g.beater != nil {
		g.beater.SendSoon()
	}
}

// useAdvice takes in what another gateway tells of endpoints. A relay tells it on at once.
func (g *Gateway) useAdvice(told []member.Advice) {
	now := time.Now()
	changed := g.balancer.MergeAdvisories(advisory.Decode(told, now), now)
	for _, r := range changed {
		g.logAdvice(&r, now)
	}
	if len(changed) > 0 && g.table.IsRelay() {
		g.beater.SendSoon()
	}
}

// logAdvice notes what another gateway told of an endpoint.
func (g *Gateway) logAdvice(r *advisory.Record, now time.Time) {
	rate, limited := r.Limit.(advisory.PerSecond)
	heard := int64(-1)
	if !r.HeardAt.IsZero() {
		heard = now.Sub(r.HeardAt).Milliseconds()
	}
	g.log.Info("endpoint told", "endpoint", r.Endpoint.ID, "born", r.Endpoint.Born, "limited", limited,
		"perSecond", float64(rate), "heardMs", heard, "leaving", r.Leaving)
}

// readyGateways returns the gateways among which endpoints are held: those that are ready, as all
// others see them.
func (g *Gateway) readyGateways() []member.Entry {
	live := g.table.Live()
	if g.Ready() == nil {
		live = append(live, g.self)
	}
	return live
}

// askToken implements proxy.Config.AskToken. A token that may be used later is for the callers
// who come then.
func (g *Gateway) askToken(ctx context.Context, l roster.Life) bool {
	list := g.endpoints.Current()
	if list == nil || list.Endpoints[l.ID] == nil {
		return false
	}
	holder, found := affinity.Holder(list.Endpoints[l.ID], g.readyGateways())
	if !found || holder.Name == g.self.Name {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, tokenLimit)
	defer cancel()
	reply, err := tokens.Request(ctx, g.peers, holder.Peer, g.self.Name, l)
	if err != nil {
		g.log.Debug("no token from the holder of an endpoint", "endpoint", l.ID, "peer", holder.Peer, "err", err)
		return false
	}
	g.balancer.ApplyTokenReply(l, reply.Granted, reply.OpensIn, time.Now())
	return reply.Granted && reply.OpensIn == 0
}

// askUnheard implements balance.Config.OnStaleLimit.
func (g *Gateway) askUnheard(l roster.Life) {
	go g.askToken(context.Background(), l)
}
