package weights

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"

	"github.com/zeebo/blake3"
)

// ManifestSuffix is appended to the path of weights at the origin to form the path of their
// manifest.
const ManifestSuffix = ".manifest.json"

// MaxManifestBytes limits the size of a manifest, in bytes.
const MaxManifestBytes = 8 << 20

// Limits on the chunk size, in bytes.
const (
	// MinChunkSize limits the length of manifests.
	MinChunkSize = 4 << 10
	// MaxChunkSize limits the memory used for a chunk that is not verified yet.
	MaxChunkSize = 64 << 20
)

// Manifest lists the chunks of one version of weights.
type Manifest struct {
	// Size is the length of the weights in bytes.
	Size int64 `json:"size"`
	// ChunkSize is the length of each chunk except the last, in bytes.
	ChunkSize int64 `json:"chunkSize"`
	// Whole is the digest of the complete weights.
	Whole Digest `json:"whole"`
	// Chunks lists the digests of the chunks in order.
	Chunks []Digest `json:"chunks"`
	// Hash is the hash function of the digests in Chunks. If it is not BLAKE3, there is
	// no digest of the complete weights, and only the individual chunks are verified.
	Hash Hash `json:"hash,omitempty"`
}

// ManifestError reports why a manifest cannot be used.
type ManifestError struct {
	Reason string
}

// Error implements error.
func (e *ManifestError) Error() string {
	return "weights: bad manifest: " + e.Reason
}

// NewManifest reads weights from r and returns their manifest.
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

// ParseManifest decodes a manifest from JSON and checks it for consistency.
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
		return &ManifestError{Reason: fmt.Sprintf("unknown hash function %q", m.Hash)}
	}
	if m.Size <= 0 {
		return &ManifestError{Reason: fmt.Sprintf("size %d is not positive", m.Size)}
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

// Root returns the digest that identifies the manifest, and thereby the version.
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

// NewSHA256Manifest returns a manifest of chunks that each have chunkSize bytes and of which
// only the SHA-256 digests are known.
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
