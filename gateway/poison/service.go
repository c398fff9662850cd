package poison

import (
	"context"
	"time"

	"github.com/silverdeck/silverdeck/peerconn"
)

// ServiceName is the net/rpc name of Service.
const ServiceName = "Poison"

// The net/rpc names of its methods.
const (
	methodBegin = ServiceName + ".Begin"
	methodEnd   = ServiceName + ".End"
)

// Service gives leases on suspected requests to other gateways, by net/rpc under ServiceName.
// It is safe for concurrent use.
type Service struct {
	table  *Table
	trials *Trials
}

// NewService returns the service of a table and its trials.
func NewService(table *Table, trials *Trials) *Service {
	return &Service{table: table, trials: trials}
}

// BeginRequest asks for the lease on a request. Holder names who asks, for one copy; it is
// wanted for at most For. Records is the packed record of what the asker knows.
type BeginRequest struct {
	Key     Key
	Holder  string
	For     time.Duration
	Records []byte
}

// BeginReply tells whether the lease was given. Records is the packed record of what the
// answering gateway knows.
type BeginReply struct {
	Given   bool
	Records []byte
}

// EndRequest ends a lease. Records is the packed record of what was learned.
type EndRequest struct {
	Key     Key
	Holder  string
	Records []byte
}

// EndReply is empty.
type EndReply struct{}

// Begin gives a lease, unless another has it or the request is quarantined.
func (s *Service) Begin(q BeginRequest, reply *BeginReply) error {
	now := time.Now()
	s.table.Take(Unpack(q.Records), now)
	reply.Given = s.table.State(q.Key) != Quarantined && s.trials.Begin(q.Key, q.Holder, q.For, now)
	reply.Records = Pack([]Record{s.table.Record(q.Key)})
	return nil
}

// End takes in what was learned and ends the lease.
func (s *Service) End(q EndRequest, _ *EndReply) error {
	s.table.Take(Unpack(q.Records), time.Now())
	s.trials.End(q.Key, q.Holder)
	return nil
}

// AskBegin asks the gateway at addr for a lease.
func AskBegin(ctx context.Context, pool *peerconn.Pool, addr string, q BeginRequest) (*BeginReply, error) {
	var reply BeginReply
	if err := pool.Call(ctx, addr, methodBegin, q, &reply); err != nil {
		return nil, err
	}
	return &reply, nil
}

// AskEnd ends a lease at the gateway at addr.
func AskEnd(ctx context.Context, pool *peerconn.Pool, addr string, q EndRequest) error {
	return pool.Call(ctx, addr, methodEnd, q, &EndReply{})
}
