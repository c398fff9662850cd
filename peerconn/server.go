package peerconn

import (
	"net/http"
	"net/rpc"
	"time"
)

// noDeadline clears the deadline of a connection.
var noDeadline = time.Time{}

// NewMux returns a mux that serves net/rpc at RPCPath. The keys of receivers are the service
// names.
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
