package weights

import (
	"fmt"
	"io"
	"sync"

	"github.com/zeebo/blake3"
)

// ChunkError reports data that does not match its digest in the manifest.
type ChunkError struct {
	// Chunk is the index of the chunk, or -1 for the complete weights.
	Chunk int
	Got   Digest
	Want  Digest
}

// Error implements error.
func (e *ChunkError) Error() string {
	return fmt.Sprintf("weights: chunk %d has digest %s, want %s", e.Chunk, e.Got.Short(), e.Want.Short())
}

// Set holds the verified chunks of one version. It is safe for concurrent use.
//
// spec/chunks.pml models Put, Complete and VerifyWhole.
type Set struct {
	m    *Manifest
	root Digest

	mu     sync.RWMutex
	chunks [][]byte
	// arrivalOrder lists the indices of the chunks held in order of arrival.
	arrivalOrder []int
	// notify is closed and replaced when a chunk is added.
	notify chan struct{}
}

// NewSet returns an empty Set for the version with manifest m.
func NewSet(m *Manifest) *Set {
	return &Set{
		m:      m,
		root:   m.Root(),
		chunks: make([][]byte, len(m.Chunks)),
		notify: make(chan struct{}),
	}
}

// Manifest returns the manifest that chunks are verified against.
func (s *Set) Manifest() *Manifest {
	return s.m
}

// Root returns the root digest of the manifest, which identifies the version.
func (s *Set) Root() Digest {
	return s.root
}

// Put verifies b and stores it as chunk i. It reports whether the chunk is new, and returns a
// *ChunkError if b is not chunk i of this version. The set retains b, so the caller must not
// modify it afterwards.
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
	s.arrivalOrder = append(s.arrivalOrder, i)
	close(s.notify)
	s.notify = make(chan struct{})
	return true, nil
}

// Get returns chunk i, or nil if the set does not hold it.
func (s *Set) Get(i int) []byte {
	s.mu.RLock()
	defer s.mu.RUnlock()
	if i < 0 || i >= len(s.chunks) {
		return nil
	}
	return s.chunks[i]
}

// Len returns the number of chunks held.
func (s *Set) Len() int {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return len(s.arrivalOrder)
}

// Complete reports whether all chunks are held.
func (s *Set) Complete() bool {
	return s.Len() == len(s.m.Chunks)
}

// Since returns the indices of the chunks that arrived after the first n, in order of
// arrival, and a channel that is closed when the next chunk arrives. If n is out of range, it
// returns all chunks.
func (s *Set) Since(n int) ([]int, <-chan struct{}) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	if n < 0 || n > len(s.arrivalOrder) {
		n = 0
	}
	return append([]int(nil), s.arrivalOrder[n:]...), s.notify
}

// VerifyWhole hashes the complete weights again and compares the result with the manifest.
// Weights must not be loaded unless it returns nil.
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

// verifyChunks hashes each chunk again and compares the result with the manifest.
func (s *Set) verifyChunks() error {
	if !s.Complete() {
		return &ManifestError{Reason: "chunk set is incomplete"}
	}
	for i, want := range s.m.Chunks {
		if got := s.m.Hash.Sum(s.Get(i)); got != want {
			return &ChunkError{Chunk: i, Got: got, Want: want}
		}
	}
	return nil
}

// WriteTo writes the complete weights to w. If the set is incomplete, it fails without writing
// anything.
func (s *Set) WriteTo(w io.Writer) (int64, error) {
	if !s.Complete() {
		return 0, &ManifestError{Reason: "chunk set is incomplete"}
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
