package member

import (
	"context"

	"github.com/silverdeck/silverdeck/peerconn"
)

// RollService serves this gateway's full membership list to other gateways over net/rpc, under
// RollServiceName. It is safe for concurrent use.
type RollService struct {
	table *Table
}

// RollServiceName is the net/rpc name of RollService.
const RollServiceName = "Members"

// methodRoll is the net/rpc name of RollService.Roll.
const methodRoll = RollServiceName + ".Roll"

// NewRollService returns a RollService that reads from table.
func NewRollService(table *Table) *RollService {
	return &RollService{table: table}
}

// RollRequest requests the membership list. Gateway names the requester and serves only for
// traces.
type RollRequest struct {
	Gateway string
}

// RollReply lists all members of a roll.
type RollReply struct {
	Members []Member
}

// Roll returns the full membership list.
func (s *RollService) Roll(_ RollRequest, reply *RollReply) error {
	reply.Members = s.table.FullRoll()
	return nil
}

// FetchRoll requests the full membership list of the gateway at addr on behalf of gateway self.
func FetchRoll(ctx context.Context, pool *peerconn.Pool, addr, self string) ([]Member, error) {
	var reply RollReply
	if err := pool.Call(ctx, addr, methodRoll, RollRequest{Gateway: self}, &reply); err != nil {
		return nil, err
	}
	return reply.Members, nil
}
