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

// Service grants leases on suspected requests to other gateways. It is registered with net/rpc
// as ServiceName and safe for concurrent use.
type Service struct {
	table  *Table
	trials *Trials
}

// NewService returns a Service for a table and its trials.
func NewService(table *Table, trials *Trials) *Service {
	return &Service{table: table, trials: trials}
}

// BeginRequest asks for the lease with the given key. Holder identifies the one copy that it is for,
// For is the maximum duration, and Records is the packed record of the requesting gateway.
type BeginRequest struct {
	Key     Key
	Holder  string
	For     time.Duration
	Records []byte
	// Parts holds the packed records of the parts of the prompt; older versions omit and ignore it.
	Parts []byte
}

// BeginReply says whether the lease was granted. Records and Parts hold the packed records of the
// granting gateway.
type BeginReply struct {
	Given   bool
	Records []byte
	// Parts holds the records of the parts that were asked about; older versions omit and ignore it.
	Parts []byte
}

// EndRequest releases a lease. Records and Parts hold the packed records after the trial.
type EndRequest struct {
	Key     Key
	Holder  string
	Records []byte
	// Parts holds the records of the parts of the prompt; older versions omit and ignore it.
	Parts []byte
}

// EndReply is empty.
type EndReply struct{}

// Begin grants a lease, unless another holder has it or its request is quarantined.
func (s *Service) Begin(q BeginRequest, reply *BeginReply) error {
	now := time.Now()
	s.table.Merge(Unpack(q.Records), now)
	parts := UnpackParts(q.Parts)
	s.table.Merge(parts, now)
	quarantined := q.Key.Kind == KindRequest && s.table.State(q.Key) == Quarantined
	reply.Given = !quarantined && s.trials.Begin(q.Key, q.Holder, q.For, now)
	reply.Records = Pack([]Record{s.table.Record(q.Key)})
	keys := make([]Key, 0, len(parts))
	for _, r := range parts {
		keys = append(keys, r.Key)
	}
	reply.Parts = PackParts(s.table.Records(keys))
	return nil
}

// End merges the result of the trial and releases the lease.
func (s *Service) End(q EndRequest, _ *EndReply) error {
	now := time.Now()
	s.table.Merge(Unpack(q.Records), now)
	s.table.Merge(UnpackParts(q.Parts), now)
	s.trials.End(q.Key, q.Holder)
	return nil
}

// CallBegin calls Begin at the gateway at addr.
func CallBegin(ctx context.Context, pool *peerconn.Pool, addr string, q BeginRequest) (*BeginReply, error) {
	var reply BeginReply
	if err := pool.Call(ctx, addr, methodBegin, q, &reply); err != nil {
		return nil, err
	}
	return &reply, nil
}

// CallEnd calls End at the gateway at addr.
func CallEnd(ctx context.Context, pool *peerconn.Pool, addr string, q EndRequest) error {
	return pool.Call(ctx, addr, methodEnd, q, &EndReply{})
}
