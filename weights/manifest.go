package weights

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"

	"github.com/zeebo/blake3"
)

// ManifestSuffix follows the path of weights at the origin to name their manifest.
const ManifestSuffix = ".manifest.json"

// MaxManifestBytes is the largest manifest that is read, in bytes.
const MaxManifestBytes = 8 << 20

// Limits on a chunk's size, in bytes.
const (
	// MinChunkSize keeps manifests short.
	MinChunkSize = 4 << 10
	// MaxChunkSize is what is held in memory of a chunk that is not verified yet.
	MaxChunkSize = 64 << 20
)

// Manifest lists what one complete version of weights consists of.
type Manifest struct {
	// Size is the length of the weights in bytes.
	Size int64 `json:"size"`
	// ChunkSize is the length of each chunk but the last, in bytes.
	ChunkSize int64 `json:"chunkSize"`
	// Whole is the digest of all bytes.
	Whole Digest `json:"whole"`
	// Chunks has the digest of each chunk in order.
	Chunks []Digest `json:"chunks"`
	// Hash is the function of the digests in Chunks. With another than BLAKE3
	// there is no digest of the whole; it is checked chunk by chunk.
	Hash Hash `json:"hash,omitempty"`
}

// ManifestError tells why a manifest can't be used.
type ManifestError struct {
	Reason string
}

// Error returns the reason.
func (e *ManifestError) Error() string {
	return "weights: bad manifest: " + e.Reason
}

// NewManifest returns the manifest of the weights read from r.
func NewManifest(r io.Reader, chunkSize int64) (*Manifest, error) {
	m := &Manifest{ChunkSize: chunkSize}
	whole := blake3.New()
	b := make([]byte, chunkSize)
	for {
		n, err := io.ReadFull(r, b)
		if n > 0 {
			m.Size += int64(n)
			m.Chunks = append(m.Chunks, Sum(b[:n]))
			_, _ = whole.Write(b[:n])
		}
		if err == io.EOF || err == io.ErrUnexpectedEOF {
			break
		}
		if err != nil {
			return nil, err
		}
	}
	whole.Sum(m.Whole[:0])
	return m, m.check()
}

// ParseManifest returns the manifest in b, checked for consistency.
func ParseManifest(b []byte) (*Manifest, error) {
	d := json.NewDecoder(bytes.NewReader(b))
	d.DisallowUnknownFields()
	m := &Manifest{}
	if err := d.Decode(m); err != nil {
		return nil, &ManifestError{Reason: err.Error()}
	}
	return m, m.check()
}

func (m *Manifest) check() error {
	if m.Hash != HashBLAKE3 && m.Hash != HashSHA256 {
		return &ManifestError{Reason: fmt.Sprintf("hash %q", m.Hash)}
	}
	if m.Size <= 0 {
		return &ManifestError{Reason: fmt.Sprintf("size %d", m.Size)}
	}
	if m.ChunkSize < MinChunkSize || m.ChunkSize > MaxChunkSize {
		return &ManifestError{Reason: fmt.Sprintf("chunk size %d, want %d to %d", m.ChunkSize, MinChunkSize, MaxChunkSize)}
	}
	want := (m.Size + m.ChunkSize - 1) / m.ChunkSize
	if int64(len(m.Chunks)) != want {
		return &ManifestError{Reason: fmt.Sprintf("%d chunks, want %d", len(m.Chunks), want)}
	}
	return nil
}

// Root returns the digest that names this manifest, and so the version.
func (m *Manifest) Root() Digest {
	h := blake3.New()
	var n [16]byte
	binary.BigEndian.PutUint64(n[:8], uint64(m.Size))
	binary.BigEndian.PutUint64(n[8:], uint64(m.ChunkSize))
	_, _ = h.Write(n[:])
	_, _ = h.Write(m.Whole[:])
	for _, c := range m.Chunks {
		_, _ = h.Write(c[:])
	}
	var d Digest
	h.Sum(d[:0])
	return d
}

// NewSHA256Manifest returns the manifest of chunks of chunkSize bytes each,
// which are known by their SHA-256 digests alone.
func NewSHA256Manifest(chunkSize int64, chunks []Digest) (*Manifest, error) {
	m := &Manifest{Size: chunkSize * int64(len(chunks)), ChunkSize: chunkSize, Chunks: chunks, Hash: HashSHA256}
	return m, m.check()
}

// Range returns the offset and length in bytes of chunk i.
func (m *Manifest) Range(i int) (off, n int64) {
	off = int64(i) * m.ChunkSize
	n = min(m.ChunkSize, m.Size-off)
	return off, n
}
