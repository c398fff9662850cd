package member

import (
	"context"

	"github.com/silverdeck/silverdeck/peerconn"
)

// RollService tells other gateways the whole roll of this one, by net/rpc under
// RollServiceName. It is safe for concurrent use.
type RollService struct {
	table *Table
}

// RollServiceName is the net/rpc name of RollService.
const RollServiceName = "Members"

// methodRoll is the net/rpc name of RollService.Roll.
const methodRoll = RollServiceName + ".Roll"

// NewRollService returns the service of table.
func NewRollService(table *Table) *RollService {
	return &RollService{table: table}
}

// RollRequest asks for the roll. Gateway is who asks, for the person who reads a trace.
type RollRequest struct {
	Gateway string
}

// RollReply lists all members of a roll.
type RollReply struct {
	Members []Member
}

// Roll gives the whole roll.
func (s *RollService) Roll(_ RollRequest, reply *RollReply) error {
	reply.Members = s.table.FullRoll()
	return nil
}

// FetchRoll asks the gateway at addr for its whole roll; self asks.
func FetchRoll(ctx context.Context, pool *peerconn.Pool, addr, self string) ([]Member, error) {
	var reply RollReply
	if err := pool.Call(ctx, addr, methodRoll, RollRequest{Gateway: self}, &reply); err != nil {
		return nil, err
	}
	return reply.Members, nil
}
