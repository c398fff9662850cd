package weights

import (
	"fmt"
	"io"
	"sync"

	"github.com/zeebo/blake3"
)

// ChunkError tells that bytes offered as a chunk are not that chunk.
type ChunkError struct {
	Chunk int
	Got   Digest
	Want  Digest
}

// Error names the chunk and both digests.
func (e *ChunkError) Error() string {
	return fmt.Sprintf("weights: chunk %d has digest %s, want %s", e.Chunk, e.Got.Short(), e.Want.Short())
}

// Set holds the verified chunks of one version. It is safe for concurrent use.
//
// Spec step: chunks.pml, "accept" and "complete".
type Set struct {
	m    *Manifest
	root Digest

	mu     sync.RWMutex
	chunks [][]byte
	order  []int
	notify chan struct{}
}

// NewSet returns an empty Set for the version that m lists.
func NewSet(m *Manifest) *Set {
	return &Set{
		m:      m,
		root:   m.Root(),
		chunks: make([][]byte, len(m.Chunks)),
		notify: make(chan struct{}),
	}
}

// Manifest returns what the set is checked against.
func (s *Set) Manifest() *Manifest {
	return s.m
}

// Root returns the digest that names the version.
func (s *Set) Root() Digest {
	return s.root
}

// Put verifies b and keeps it as chunk i. It returns whether the chunk is new,
// and a *ChunkError when b is anything else than chunk i of this version.
// The set owns b afterwards.
func (s *Set) Put(i int, b []byte) (bool, error) {
	if i < 0 || i >= len(s.m.Chunks) {
		return false, &ChunkError{Chunk: i}
	}
	if got := s.m.Hash.Sum(b); got != s.m.Chunks[i] {
		return false, &ChunkError{Chunk: i, Got: got, Want: s.m.Chunks[i]}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.chunks[i] != nil {
		return false, nil
	}
	s.chunks[i] = b
	s.order = append(s.order, i)
	close(s.notify)
	s.notify = make(chan struct{})
	return true, nil
}

// Get returns chunk i, or nil when the set does not hold it.
func (s *Set) Get(i int) []byte {
	s.mu.RLock()
	defer s.mu.RUnlock()
	if i < 0 || i >= len(s.chunks) {
		return nil
	}
	return s.chunks[i]
}

// Len returns how many chunks the set holds.
func (s *Set) Len() int {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return len(s.order)
}

// Complete returns whether every chunk is held.
func (s *Set) Complete() bool {
	return s.Len() == len(s.m.Chunks)
}

// Since returns the chunks that arrived after the first n, in order of
// arrival, and a channel that is closed when another arrives.
func (s *Set) Since(n int) ([]int, <-chan struct{}) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	if n < 0 || n > len(s.order) {
		n = 0
	}
	return append([]int(nil), s.order[n:]...), s.notify
}

// VerifyWhole hashes all bytes once more and compares them with the digest of
// the whole. Nothing is loaded before it has returned nil.
func (s *Set) VerifyWhole() error {
	if s.m.Hash != HashBLAKE3 {
		return s.verifyChunks()
	}
	h := blake3.New()
	if _, err := s.WriteTo(h); err != nil {
		return err
	}
	var got Digest
	h.Sum(got[:0])
	if got != s.m.Whole {
		return &ChunkError{Chunk: -1, Got: got, Want: s.m.Whole}
	}
	return nil
}

// verifyChunks hashes each chunk once more.
func (s *Set) verifyChunks() error {
	if !s.Complete() {
		return &ManifestError{Reason: "set is not complete"}
	}
	for i, want := range s.m.Chunks {
		if got := s.m.Hash.Sum(s.Get(i)); got != want {
			return &ChunkError{Chunk: i, Got: got, Want: want}
		}
	}
	return nil
}

// WriteTo writes the complete weights to w, or fails before the first byte.
func (s *Set) WriteTo(w io.Writer) (int64, error) {
	if !s.Complete() {
		return 0, &ManifestError{Reason: "set is not complete"}
	}
	var total int64
	for i := range s.m.Chunks {
		n, err := w.Write(s.Get(i))
		total += int64(n)
		if err != nil {
			return total, err
		}
	}
	return total, nil
}
