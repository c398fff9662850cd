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

// Service gives leases by net/rpc under ServiceName. It is safe for concurrent use.
type Service struct {
	table *Table
	// endpoints returns what is known of the endpoints of a service that run a model.
	endpoints func(service, model string) []Endpoint
}

// NewService returns the service of table. endpoints returns what is known of the endpoints
// of a service that run a model.
func NewService(table *Table, endpoints func(service, model string) []Endpoint) *Service {
	return &Service{table: table, endpoints: endpoints}
}

// LoadRequest asks for a lease on a load of a model at the endpoint of VM.
type LoadRequest struct {
	Service, Model, VM string
	// For is when the lease runs out unless the load ends it.
	For time.Duration
}

// LoadReply says whether the lease was given, and if not, after what time to ask again and
// whether it comes later.
type LoadReply struct {
	Given bool
	Again time.Duration
	Comes bool
}

// Begin gives a lease.
func (s *Service) Begin(q LoadRequest, reply *LoadReply) error {
	endpoints := s.endpoints(q.Service, q.Model)
	reply.Given = s.table.Begin(q.Service, q.VM, endpoints, min(q.For, maxLease), time.Now())
	reply.Again = Again(len(endpoints))
	reply.Comes = Comes(endpoints, q.VM)
	return nil
}

// maxLease bounds a lease, so that an endpoint whose sidecar has died does not keep others
// waiting.
const maxLease = 5 * time.Second

// AskBegin asks the gateway at addr for a lease.
func AskBegin(ctx context.Context, pool *peerconn.Pool, addr string, q LoadRequest) (*LoadReply, error) {
	reply := &LoadReply{}
	if err := pool.Call(ctx, addr, methodBegin, q, reply); err != nil {
		return nil, err
	}
	return reply, nil
}
