package proxy_test

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/silverdeck/silverdeck/gateway/balance"
	"github.com/silverdeck/silverdeck/roster"
)

// useCold makes all endpoints cold and held by another gateway, which answers each request for a
// token with the next of the replies, and refuses further ones.
func (w *harness) useCold(replies ...balance.TokenReply) *int {
	now := time.Now()
	w.balancer.SetColdLimits(map[string]balance.ColdLimit{"s": {Duration: 3 * time.Second, Rate: 20}})
	list := &roster.List{Revision: 2, Endpoints: map[string]*roster.Endpoint{}}
	for id := range w.endpoints {
		list.Endpoints[id] = &roster.Endpoint{ID: id, Service: "s", Addr: id, Zone: "a", Slots: 2, ColdUntil: now.Add(3 * time.Second),
			Weights: []roster.Weights{{Model: "m", Version: 1}}}
	}
	w.balancer.Update(list)
	w.balancer.SetHeld(nil, now)
	asked := 0
	w.askToken = func(_ context.Context, l roster.Incarnation) (time.Duration, bool) {
		asked++
		r := balance.TokenReply{RequestedAt: time.Now(), OpensIn: time.Second}
		if asked <= len(replies) {
			r.Granted, r.OpensIn = replies[asked-1].Granted, replies[asked-1].OpensIn
		}
		time.Sleep(2 * time.Millisecond)
		w.balancer.ApplyTokenReply(l, r, time.Now())
		return r.OpensIn, r.Granted
	}
	w.proxy = w.newTestProxy()
	w.proxy.SetConfig(configuration())
	return &asked
}

// Guards against refusals while endpoints are cold although one of them opens within a fraction of the
// caller's target, and against waits for one that opens later. The target is 100 ms.
func TestARequestWaitsForAColdEndpointThatOpensSoon(t *testing.T) {
	refused := balance.TokenReply{OpensIn: time.Second}
	for _, c := range []struct {
		name    string
		replies []balance.TokenReply
		status  int
		asked   int
		within  time.Duration
	}{
		{"a token for now", []balance.TokenReply{{Granted: true}}, 200, 1, 5 * time.Millisecond},
		{"a token for a moment later", []balance.TokenReply{{Granted: true, OpensIn: 15 * time.Millisecond}}, 200, 1, 20 * time.Millisecond},
		{"tokens for too late", []balance.TokenReply{{Granted: true, OpensIn: 60 * time.Millisecond}}, 503, 3, 8 * time.Millisecond},
		{"one gateway refuses and another grants", []balance.TokenReply{refused, {Granted: true}}, 200, 2, 8 * time.Millisecond},
		{"all gateways refuse", nil, 503, 3, 8 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			runHarness(t, func(w *harness) {
				asked := w.useCold(c.replies...)
				r := w.send("POST", "/safe/x", "")
				w.g.Expect(r.Code).To(Equal(c.status))
				w.g.Expect(*asked).To(Equal(c.asked))
				w.g.Expect(r.elapsed).To(BeNumerically("<=", c.within))
			}, []handler{respond(200, "ok")}, []handler{respond(200, "ok")}, []handler{respond(200, "ok")})
		})
	}
}
