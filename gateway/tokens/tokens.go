// Package tokens lets gateways ask the one that holds an endpoint for a request there. While an
// endpoint names a limit only its holder sends it requests; another gateway asks where it has
// no other endpoint for a caller, or where the holder has not heard of the endpoint for long.
package tokens

import (
	"context"
	"time"

	"github.com/silverdeck/silverdeck/peerconn"
	"github.com/silverdeck/silverdeck/roster"
)

// ServiceName is the net/rpc name of Service.
const ServiceName = "Tokens"

// methodTake is the net/rpc name of Service.Take.
const methodTake = ServiceName + ".Take"

// Granter gives requests away that it would else send itself; balance.Balancer is one.
type Granter interface {
	// Grant returns whether a request at the endpoint is given to a gateway, by name, and after what time it may
	// be sent, or if not, after what time to ask again.
	Grant(gateway string, l roster.Incarnation, now time.Time) (granted bool, opensIn time.Duration)
}

// Service gives tokens by net/rpc under ServiceName. It is safe for concurrent use.
type Service struct {
	granter Granter
}

// NewService returns the service of a granter.
func NewService(g Granter) *Service {
	return &Service{granter: g}
}

// TakeRequest asks for a request at one incarnation of an endpoint, as in
// roster.Incarnation, for the gateway named Gateway.
type TakeRequest struct {
	Gateway  string
	Endpoint string
	Born     int64
}

// TakeReply says whether it was given and after what time it may be sent, or if not, after what
// time to ask again.
type TakeReply struct {
	Granted bool
	OpensIn time.Duration
}

// Take gives a token.
func (s *Service) Take(q TakeRequest, reply *TakeReply) error {
	reply.Granted, reply.OpensIn = s.granter.Grant(q.Gateway, roster.Incarnation{ID: q.Endpoint, Born: q.Born}, time.Now())
	return nil
}

// Ask asks the gateway at addr for a token, as the gateway named self.
func Ask(ctx context.Context, pool *peerconn.Pool, addr, self string, l roster.Incarnation) (*TakeReply, error) {
	reply := &TakeReply{}
	if err := pool.Call(ctx, addr, methodTake, TakeRequest{Gateway: self, Endpoint: l.ID, Born: l.Born}, reply); err != nil {
		return nil, err
	}
	return reply, nil
}
