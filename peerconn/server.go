package peerconn

import (
	"net/http"
	"net/rpc"
	"time"
)

// noDeadline takes a deadline off a connection.
var noDeadline = time.Time{}

// NewRPCHandler returns the handler of RPCPath, which serves the methods of
// each receiver under its name.
func NewRPCHandler(receivers map[string]any) (http.Handler, error) {
	s := rpc.NewServer()
	for name, receiver := range receivers {
		if err := s.RegisterName(name, receiver); err != nil {
			return nil, err
		}
	}
	return s, nil
}
