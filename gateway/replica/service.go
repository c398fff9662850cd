package replica

import (
	"bytes"
	"compress/flate"
	"encoding/gob"
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
	// bundles are the last bundles that were sent, by kind.
	bundles map[string]bundle
}

// bundle is a delta that is compressed as a whole, between two versions of a copy.
type bundle struct {
	from int64
	to   mirror.Version
	data []byte
}

// NewService returns a Service of mirrors, by kind.
func NewService(mirrors map[string]*mirror.Mirror) *Service {
	return &Service{mirrors: mirrors, packed: map[string]mirror.Object{}, bundles: map[string]bundle{}}
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
	// Bundles is set by a gateway that reads StateReply.Bundle.
	Bundles bool
}

// StateReply is a copy, with the data of large objects compressed.
type StateReply struct {
	Delta  mirror.Delta
	Packed map[string]bool
	// Bundle is, if not empty, what stands in place of Delta: its gob, compressed.
	Bundle []byte
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
	if !q.Bundles || size(&reply.Delta, reply.Packed) < packAbove {
		return nil
	}
	data, err := s.bundle(q, &reply.Delta)
	if err != nil {
		return err
	}
	reply.Delta, reply.Bundle = mirror.Delta{}, data
	return nil
}

// size returns the bytes of d's names, and of its objects but for those that are packed.
func size(d *mirror.Delta, packed map[string]bool) int {
	n := 0
	for _, name := range d.Names {
		n += len(name)
	}
	for _, o := range d.Objects {
		if !packed[o.Name] {
			n += len(o.Data)
		}
	}
	return n
}

// bundle returns d, the answer to q, compressed as a whole. Records of endpoints and
// gateways are small and alike, and there are hundreds: after a loss of all power each
// gateway of a zone takes the whole list, and then each change of it, from the few that
// watch the store. With 512 records that is 192 KB for each gateway, 1.1 s of a link of
// 40 Mbit/s for 30 of them; as a bundle 21 KB (TestTheListOfALargeFleet…).
func (s *Service) bundle(q StateRequest, d *mirror.Delta) ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	kept := s.bundles[q.Kind]
	if kept.from == q.Changed && kept.to == d.Version && len(kept.data) > 0 {
		return kept.data, nil
	}
	var b bytes.Buffer
	if err := gob.NewEncoder(&b).Encode(d); err != nil {
		return nil, err
	}
	data, err := compress(b.Bytes())
	if err != nil {
		return nil, err
	}
	s.bundles[q.Kind] = bundle{from: q.Changed, to: d.Version, data: data}
	return data, nil
}

// Sizes of objects, in bytes.
const (
	// packAbove is the size of the data above which an object is compressed: a record of an
	// endpoint stays below, a configuration is far above.
	packAbove = 4 << 10
	// maxUnpacked is the largest data that is taken in, so that a broken peer can't fill
	// the memory.
	maxUnpacked = 16 << 20
)

// pack returns o with its data compressed, and keeps that for others who ask.
func (s *Service) pack(o mirror.Object) (mirror.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if kept := s.packed[o.Name]; kept.Revision == o.Revision {
		return kept, nil
	}
	data, err := compress(o.Data)
	if err != nil {
		return o, err
	}
	o.Data = data
	s.packed[o.Name] = o
	return o, nil
}

func compress(data []byte) ([]byte, error) {
	var b bytes.Buffer
	w, err := flate.NewWriter(&b, flate.BestSpeed)
	if err != nil {
		return nil, err
	}
	if _, err := w.Write(data); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return b.Bytes(), nil
}

// decompress reads what compress returned, up to maxUnpacked.
func decompress(data []byte) ([]byte, error) {
	return io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(data)), maxUnpacked))
}

// unpack returns the reply's delta with all data as the store sent it.
func (r *StateReply) unpack() (*mirror.Delta, error) {
	if len(r.Bundle) > 0 {
		data, err := decompress(r.Bundle)
		if err != nil {
			return nil, err
		}
		if err := gob.NewDecoder(bytes.NewReader(data)).Decode(&r.Delta); err != nil {
			return nil, err
		}
	}
	for i, o := range r.Delta.Objects {
		if !r.Packed[o.Name] {
			continue
		}
		data, err := decompress(o.Data)
		if err != nil {
			return nil, err
		}
		r.Delta.Objects[i].Data = data
	}
	return &r.Delta, nil
}
