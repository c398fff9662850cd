package peerconn

import (
	"io"
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
	mux.HandleFunc(RPCPath, func(w http.ResponseWriter, r *http.Request) { serve(s, w, r) })
	return mux, nil
}

// serve switches a connection from HTTP to net/rpc, as rpc.Server does, and serves its calls.
func serve(s *rpc.Server, w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodConnect {
		http.Error(w, "405 must CONNECT", http.StatusMethodNotAllowed)
		return
	}
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	_, _ = io.WriteString(conn, "HTTP/1.0 "+connectStatus+"\n\n") // if this fails, so does the first read
	s.ServeCodec(serverCodec{newCodec(conn)})
}
