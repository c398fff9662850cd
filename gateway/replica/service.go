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

// Service serves this gateway's copies of the store to other gateways, over net/rpc under
// ServiceName. It is safe for concurrent use.
type Service struct {
	mirrors map[string]*mirror.Mirror

	mu sync.Mutex
	// compressed caches large objects in compressed form, by name.
	compressed map[string]compressedObject
	// bundles caches the last encoded bundle of each kind.
	bundles map[string]bundle
}

// compressedObject is an object of an era in compressed form.
type compressedObject struct {
	era    int64
	object mirror.Object
}

// bundle is an encoded and compressed delta between two versions of a copy.
type bundle struct {
	from int64
	to   mirror.Version
	data []byte
}

// NewService returns a Service for mirrors, which are keyed by kind.
func NewService(mirrors map[string]*mirror.Mirror) *Service {
	return &Service{mirrors: mirrors, compressed: map[string]compressedObject{}, bundles: map[string]bundle{}}
}

// ServiceName is the net/rpc name of Service.
const ServiceName = "Sync"

// methodState is the net/rpc name of Service.State.
const methodState = ServiceName + ".State"

// StateRequest requests the copy of one kind of objects, without those unchanged since revision
// Changed.
type StateRequest struct {
	Kind    string
	Changed int64
	// Bundles is set by gateways that support StateReply.Bundle.
	Bundles bool
	// Era is the era of Changed; older versions omit and ignore it.
	Era int64
}

// StateReply is a copy. Packed names the objects whose data is compressed.
type StateReply struct {
	Delta  mirror.Delta
	Packed map[string]bool
	// Bundle, if not empty, replaces Delta. It is the compressed gob encoding of the delta.
	Bundle []byte
}

// Errors returned by Service.State.
var (
	// ErrUnknownKind means that objects of the requested kind are not copied.
	ErrUnknownKind = errors.New("replica: unknown kind")
	// ErrNoCopy means that this gateway does not have a copy yet.
	ErrNoCopy = errors.New("replica: no copy yet")
)

// State returns the copy of a kind. It is called over net/rpc.
func (s *Service) State(q StateRequest, reply *StateReply) error {
	m := s.mirrors[q.Kind]
	if m == nil {
		return ErrUnknownKind
	}
	state := m.State()
	if state.Revision == 0 {
		return ErrNoCopy
	}
	if q.Era != state.Era && q.Era != 0 {
		q.Changed = 0 // its revisions mean something else
	}
	reply.Delta = *state.Since(q.Changed)
	reply.Packed = map[string]bool{}
	for i, o := range reply.Delta.Objects {
		if len(o.Data) < compressionThreshold {
			continue
		}
		compressed, err := s.compressObject(state.Era, o)
		if err != nil {
			return err
		}
		reply.Delta.Objects[i] = compressed
		reply.Packed[o.Name] = true
	}
	if !q.Bundles || uncompressedSize(&reply.Delta, reply.Packed) < compressionThreshold {
		return nil
	}
	data, err := s.encodeBundle(q, &reply.Delta)
	if err != nil {
		return err
	}
	reply.Delta, reply.Bundle = mirror.Delta{}, data
	return nil
}

// uncompressedSize returns the number of bytes of the names in d and of the data of objects
// that are not compressed.
func uncompressedSize(d *mirror.Delta, packed map[string]bool) int {
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

// encodeBundle returns d, the response to q, encoded and compressed as a whole. The records of
// endpoints and gateways are small, similar and number in the hundreds. After a complete power
// loss, every gateway of a zone fetches the whole list, and then each change, from the few
// gateways that watch the store. With 512 records the list takes 192 KB per gateway, or 1.1 s
// on a 40 Mbit/s link for 30 gateways; as a bundle it takes 21 KB (see
// TestTheListOfALargeFleetIsSentAsOneBundle).
func (s *Service) encodeBundle(q StateRequest, d *mirror.Delta) ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	cached := s.bundles[q.Kind]
	if cached.from == q.Changed && cached.to == d.Version && len(cached.data) > 0 {
		return cached.data, nil
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

// Size limits, in bytes.
const (
	// compressionThreshold is the size above which data is compressed. An endpoint record is
	// smaller, a configuration much larger.
	compressionThreshold = 4 << 10
	// maxDecompressedSize limits the size of decompressed data, so that a faulty peer cannot
	// exhaust memory.
	maxDecompressedSize = 16 << 20
)

// compressObject returns o, which is of the given era, with compressed data, and caches the result.
func (s *Service) compressObject(era int64, o mirror.Object) (mirror.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if cached := s.compressed[o.Name]; cached.era == era && cached.object.Revision == o.Revision {
		return cached.object, nil
	}
	data, err := compress(o.Data)
	if err != nil {
		return o, err
	}
	o.Data = data
	s.compressed[o.Name] = compressedObject{era, o}
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

// decompress reverses compress. It truncates the result to maxDecompressedSize.
func decompress(data []byte) ([]byte, error) {
	return io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(data)), maxDecompressedSize))
}

// decode returns the delta of the reply with all data decompressed.
func (r *StateReply) decode() (*mirror.Delta, error) {
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
