package peerconn

import (
	"net/http"
	"net/rpc"
	"time"
)

// noDeadline takes a deadline off a connection.
var noDeadline = time.Time{}

// NewMux returns a mux that serves the methods of each receiver under its name, by
// net/rpc at RPCPath.
func NewMux(receivers map[string]any) (*http.ServeMux, error) {
	s := rpc.NewServer()
	for name, receiver := range receivers {
		if err := s.RegisterName(name, receiver); err != nil {
			return nil, err
		}
	}
	mux := http.NewServeMux()
	mux.Handle(RPCPath, s)
	return mux, nil
}
