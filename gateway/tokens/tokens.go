// Package tokens implements the RPC by which a gateway requests a token from the gateway that
// holds a rate-limited endpoint. A token permits one request. While an endpoint declares a
// limit or is cold, only its holder sends it requests without a token. Another gateway requests
// a token if it has no other endpoint for a request, if a cold endpoint costs less than the one it
// selected, or if the holder has not heard from the endpoint for long.
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

// Granter grants other gateways requests from the rate limit of endpoints that this gateway
// holds. balance.Balancer implements it.
type Granter interface {
	// Grant decides whether the named gateway may send the endpoint one request. coldFor is how
	// long, as far as that gateway knows, the endpoint remains cold, or 0. opensIn is
	// the time after which the request may be sent or, if it is not granted, after which to
	// ask again.
	Grant(gateway string, l roster.Incarnation, coldFor time.Duration, now time.Time) (granted bool, opensIn time.Duration)
}

// Service grants tokens over net/rpc under ServiceName. It is safe for concurrent use.
type Service struct {
	granter Granter
}

// NewService returns a Service that grants tokens from g.
func NewService(g Granter) *Service {
	return &Service{granter: g}
}

// TakeRequest requests a token for the gateway named Gateway. Endpoint and Born identify the
// incarnation of the endpoint, as in roster.Incarnation.
type TakeRequest struct {
	Gateway  string
	Endpoint string
	Born     int64
	// ColdFor is how long, as far as the gateway knows, the endpoint remains cold; older
	// versions omit it.
	ColdFor time.Duration
}

// TakeReply reports whether the token was granted. OpensIn is the time after which the request
// may be sent or, if it was not granted, after which to ask again.
type TakeReply struct {
	Granted bool
	OpensIn time.Duration
}

// Take decides on a request for a token. It is called over net/rpc.
func (s *Service) Take(q TakeRequest, reply *TakeReply) error {
	reply.Granted, reply.OpensIn = s.granter.Grant(q.Gateway, roster.Incarnation{ID: q.Endpoint, Born: q.Born}, q.ColdFor, time.Now())
	return nil
}

// Request sends q to the gateway at addr.
func Request(ctx context.Context, pool *peerconn.Pool, addr string, q TakeRequest) (*TakeReply, error) {
	reply := &TakeReply{}
	if err := pool.Call(ctx, addr, methodTake, q, reply); err != nil {
		return nil, err
	}
	return reply, nil
}
