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
	// endpoints returns the endpoints of a service that run a model.
	endpoints func(service, model string) []Endpoint
}

// NewService returns a Service that grants leases from table. endpoints returns the endpoints of
// a service that run a model.
func NewService(table *Table, endpoints func(service, model string) []Endpoint) *Service {
	return &Service{table: table, endpoints: endpoints}
}

// LoadRequest requests a lease for loading a model at the endpoint of VM.
type LoadRequest struct {
	Service, Model, VM string
	// For is the time after which the lease expires unless the load completes first.
	For time.Duration
}

// LoadReply is the reply to a LoadRequest.
type LoadReply struct {
	// Given is set if the lease was granted.
	Given bool
	// Again is the time after which to retry a refused request.
	Again time.Duration
	// Comes is set if a refused lease can be expected later; see CanGrantLater.
	Comes bool
}

// Begin grants or refuses a lease. Its name is part of the RPC protocol.
func (s *Service) Begin(q LoadRequest, reply *LoadReply) error {
	endpoints := s.endpoints(q.Service, q.Model)
	reply.Given = s.table.Acquire(q.Service, q.VM, endpoints, min(q.For, maxLeaseDuration), time.Now())
	reply.Again = RetryAfter(len(endpoints))
	reply.Comes = CanGrantLater(endpoints, q.VM)
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
