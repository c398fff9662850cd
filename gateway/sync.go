package gateway

import (
	"bytes"
	"compress/flate"
	"errors"
	"io"
	"net/http"
	"sync"

	"github.com/silverdeck/silverdeck/mirror"
	"github.com/silverdeck/silverdeck/peerconn"
)

// Sync gives other entries this one's copies of the store, by net/rpc.
type Sync struct {
	mirrors map[string]*mirror.Mirror

	mu sync.Mutex
	// packed are large objects as they are sent, by name.
	packed map[string]mirror.Object
}

// newSync returns a Sync of mirrors.
func newSync(mirrors map[string]*mirror.Mirror) *Sync {
	return &Sync{mirrors: mirrors, packed: map[string]mirror.Object{}}
}

// syncService is the net/rpc name of Sync.
const syncService = "Sync"

// StateRequest asks for the copy of one kind of objects, without those that did
// not change after revision Changed.
type StateRequest struct {
	Kind    string
	Changed int64
}

// StateReply is a copy, with the data of large objects compressed.
type StateReply struct {
	Delta  mirror.Delta
	Packed map[string]bool
}

// Errors of copies.
var (
	// errUnknownKind answers a request for objects that are not copied.
	errUnknownKind = errors.New("gateway: unknown kind")
	// errNoCopy answers a request for a copy that is not there yet.
	errNoCopy = errors.New("gateway: no copy yet")
	// errNotWhole tells that a copy does not hold what its digest says.
	errNotWhole = errors.New("gateway: copy not whole")
)

// State gives the copy of a kind.
func (s *Sync) State(q StateRequest, reply *StateReply) error {
	m := s.mirrors[q.Kind]
	if m == nil {
		return errUnknownKind
	}
	state := m.State()
	if state.Revision == 0 {
		return errNoCopy
	}
	reply.Delta = *state.Since(q.Changed)
	reply.Packed = map[string]bool{}
	for i, o := range reply.Delta.Objects {
		if len(o.Data) < packAbove {
			continue
		}
		packed, err := s.pack(o)
		if err != nil {
			return err
		}
		reply.Delta.Objects[i] = packed
		reply.Packed[o.Name] = true
	}
	return nil
}

// packAbove is the size of an object's data, in bytes, above which it is
// compressed, and maxUnpacked the largest that is taken in.
const (
	packAbove   = 4 << 10
	maxUnpacked = 16 << 20
)

// pack returns o with its data compressed, and keeps that for others who ask.
func (s *Sync) pack(o mirror.Object) (mirror.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if kept := s.packed[o.Name]; kept.Revision == o.Revision {
		return kept, nil
	}
	var b bytes.Buffer
	w, err := flate.NewWriter(&b, flate.BestSpeed)
	if err != nil {
		return o, err
	}
	if _, err := w.Write(o.Data); err != nil {
		return o, err
	}
	if err := w.Close(); err != nil {
		return o, err
	}
	o.Data = b.Bytes()
	s.packed[o.Name] = o
	return o, nil
}

// unpack returns the reply's delta with all data as the store sent it.
func (r *StateReply) unpack() (*mirror.Delta, error) {
	for i, o := range r.Delta.Objects {
		if !r.Packed[o.Name] {
			continue
		}
		data, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(o.Data)), maxUnpacked))
		if err != nil {
			return nil, err
		}
		r.Delta.Objects[i].Data = data
	}
	return &r.Delta, nil
}

// servePeers takes calls of other processes of ours at addr.
func servePeers(addr string, services map[string]any) (*http.Server, error) {
	handler, err := peerconn.NewRPCHandler(services)
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.Handle(peerconn.RPCPath, handler)
	server := &http.Server{Handler: mux, ReadHeaderTimeout: headerLimit}
	return server, serve(server, addr)
}
