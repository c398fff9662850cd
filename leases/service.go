package leases

import (
	"context"
	"time"

	"github.com/silverdeck/silverdeck/peerconn"
)

// ServiceName is the net/rpc name of Service.
const ServiceName = "LoadLeases"

// methodBegin is the net/rpc name of Service.Begin.
const methodBegin = ServiceName + ".Begin"

// Service grants leases over net/rpc under ServiceName. It is safe for concurrent use.
type Service struct {
	table *Table
	// fleet returns the endpoints of a service that run a model.
	fleet func(service, model string) *Fleet
	// onDecision is called after each decision on a request that states what the endpoint runs.
	onDecision func(q LoadRequest, g Grant)
	// mayGrant reports whether this gateway may grant leases of a service now.
	mayGrant func(service string) bool
}

// Option changes a Service.
type Option func(*Service)

// WithOwnership makes a Service refuse the requests for which mayGrant returns false. They are repeated.
func WithOwnership(mayGrant func(service string) bool) Option {
	return func(s *Service) { s.mayGrant = mayGrant }
}

// NewService returns a Service that grants leases from table. fleet returns the endpoints of a
// service that run a model. onDecision is called after each decision on a request of a sidecar that
// states what the endpoint runs.
func NewService(table *Table, fleet func(service, model string) *Fleet, onDecision func(q LoadRequest, g Grant), options ...Option) *Service {
	s := &Service{table: table, fleet: fleet, onDecision: onDecision, mayGrant: func(string) bool { return true }}
	for _, o := range options {
		o(s)
	}
	return s
}

// LoadRequest requests a lease for loading a model at the endpoint of VM.
type LoadRequest struct {
	Service, Model, VM string
	// For is the time after which the lease expires unless the load completes first.
	For time.Duration
	// Held is the version that the endpoint runs, 0 if the sender does not state it. The fields
	// below are those of Change and set if Held is.
	Held                      int64
	Remaining, Drain, NewerIn time.Duration
	Running                   int
	DrainsAhead               bool
}

// LoadReply is the reply to a LoadRequest.
type LoadReply struct {
	// Given is set if the lease was granted.
	Given bool
	// Again is the time after which to retry a refused request.
	Again time.Duration
	// Comes is set if a refused lease can be expected later; see CanGrantLater.
	Comes bool
	// Scheduled is set if the gateway spreads the changes of all endpoints over the remaining
	// time, so that a lease is granted in time. Drain is then how long the endpoint may drain.
	Scheduled bool
	Drain     time.Duration
	// Spare is set if the other endpoints have capacity for all requests.
	Spare bool
	// Turn is set if Again is when the endpoint's turn comes, however late that is.
	Turn bool
}

// Begin grants or refuses a lease. Its name is part of the RPC protocol.
func (s *Service) Begin(q LoadRequest, reply *LoadReply) error {
	f := s.fleet(q.Service, q.Model)
	reply.Again = RetryAfter(len(f.Endpoints))
	reply.Comes = CanGrantLater(f, q.VM)
	if !s.mayGrant(q.Service) {
		reply.Scheduled = q.Held != 0
		return nil
	}
	d := min(q.For, maxLeaseDuration)
	if q.Held == 0 {
		reply.Given = s.table.Acquire(q.Service, q.VM, f, d, time.Now())
		return nil
	}
	c := Change{VM: q.VM, Held: q.Held, Remaining: q.Remaining, Drain: q.Drain, NewerIn: q.NewerIn, Running: q.Running, DrainsAhead: q.DrainsAhead}
	g := s.table.Schedule(q.Service, c, f, d, time.Now())
	reply.Given, reply.Drain, reply.Scheduled, reply.Again, reply.Spare = g.Given, g.Drain, true, g.RetryAfter, g.Spare
	reply.Turn = g.Turn
	s.onDecision(q, g)
	return nil
}

// maxLeaseDuration limits the duration of a lease, so that an endpoint whose sidecar has died
// does not block others for long.
const maxLeaseDuration = 5 * time.Second

// RequestLease requests a lease from the gateway at addr.
func RequestLease(ctx context.Context, pool *peerconn.Pool, addr string, q LoadRequest) (*LoadReply, error) {
	reply := &LoadReply{}
	if err := pool.Call(ctx, addr, methodBegin, q, reply); err != nil {
		return nil, err
	}
	return reply, nil
}
