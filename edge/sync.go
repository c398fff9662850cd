package edge

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/silverdeck/silverdeck/mirror"
	"github.com/silverdeck/silverdeck/peer"
)

// Sync gives other entries this one's copies of the store, by net/rpc.
type Sync struct {
	mirrors map[string]*mirror.Mirror
}

// syncService is the net/rpc name of Sync.
const syncService = "Sync"

// StateRequest asks for the copy of one kind of objects.
type StateRequest struct {
	Kind string
}

// errUnknownKind answers a request for objects that are not copied.
var errUnknownKind = errors.New("edge: unknown kind")

// State gives the copy of a kind.
func (s *Sync) State(q StateRequest, reply *mirror.State) error {
	m := s.mirrors[q.Kind]
	if m == nil {
		return errUnknownKind
	}
	*reply = *m.State()
	return nil
}

// serveSync takes other entries' calls at addr.
func serveSync(addr string, s *Sync) (*http.Server, error) {
	handler, err := peer.NewRPCHandler(map[string]any{syncService: s})
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.Handle(peer.RPCPath, handler)
	server := &http.Server{Handler: mux, ReadHeaderTimeout: headerLimit}
	return server, serve(server, addr)
}

// syncLimit bounds a call to another entry.
const syncLimit = 800 * time.Millisecond

// newPool returns the connections to other entries.
func newPool() *peer.Pool {
	return peer.NewPool(&net.Dialer{Timeout: syncLimit})
}

// fetchState asks the entry at addr for its copy of kind.
func fetchState(ctx context.Context, pool *peer.Pool, addr, kind string) (*mirror.State, error) {
	ctx, cancel := context.WithTimeout(ctx, syncLimit)
	defer cancel()
	reply := &mirror.State{}
	err := pool.Call(ctx, addr, syncService+".State", StateRequest{Kind: kind}, reply)
	return reply, err
}
