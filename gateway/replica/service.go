package replica

import (
	"bytes"
	"compress/flate"
	"errors"
	"io"
	"sync"

	"github.com/silverdeck/silverdeck/mirror"
)

// Service gives other gateways this one's copies of the store, by net/rpc under
// ServiceName. It is safe for concurrent use.
type Service struct {
	mirrors map[string]*mirror.Mirror

	mu sync.Mutex
	// packed are large objects as they are sent, by name.
	packed map[string]mirror.Object
}

// NewService returns a Service of mirrors, by kind.
func NewService(mirrors map[string]*mirror.Mirror) *Service {
	return &Service{mirrors: mirrors, packed: map[string]mirror.Object{}}
}

// ServiceName is the net/rpc name of Service.
const ServiceName = "Sync"

// methodState is the net/rpc name of Service.State.
const methodState = ServiceName + ".State"

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
	// ErrUnknownKind answers a request for objects that are not copied.
	ErrUnknownKind = errors.New("replica: unknown kind")
	// ErrNoCopy answers a request for a copy that is not there yet.
	ErrNoCopy = errors.New("replica: no copy yet")
)

// State gives the copy of a kind.
func (s *Service) State(q StateRequest, reply *StateReply) error {
	m := s.mirrors[q.Kind]
	if m == nil {
		return ErrUnknownKind
	}
	state := m.State()
	if state.Revision == 0 {
		return ErrNoCopy
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

// Sizes of objects, in bytes.
const (
	// packAbove is the size of the data above which an object is compressed: a record
	// of an endpoint stays below, a configuration is far above. Chosen by judgement.
	packAbove = 4 << 10
	// maxUnpacked is the largest data that is taken in, so that a broken peer can't
	// fill the memory. Chosen by judgement.
	maxUnpacked = 16 << 20
)

// pack returns o with its data compressed, and keeps that for others who ask.
func (s *Service) pack(o mirror.Object) (mirror.Object, error) {
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
