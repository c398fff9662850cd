package exchange

import (
	"sync"

	"github.com/silverdeck/silverdeck/swarm"
	"github.com/silverdeck/silverdeck/weights"
)

// Sets implements Holdings. It stores the chunk sets of a VM by root, along with the download
// of each set. It evicts nothing by itself; that is left to the caller. It is safe for
// concurrent use.
type Sets struct {
	mu        sync.RWMutex
	sets      map[weights.Digest]*weights.Set
	downloads map[weights.Digest]*swarm.Download
}

// NewSets returns Sets without any set.
func NewSets() *Sets {
	return &Sets{sets: map[weights.Digest]*weights.Set{}, downloads: map[weights.Digest]*swarm.Download{}}
}

// Set implements Holdings.
func (s *Sets) Set(root weights.Digest) *weights.Set {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.sets[root]
}

// Reading implements Holdings.
func (s *Sets) Reading(root weights.Digest, i int) bool {
	d := s.Download(root)
	return d != nil && d.Reading(i)
}

// Add returns the set of the version with manifest m. If there is none, it adds an empty set
// and returns true for added.
func (s *Sets) Add(m *weights.Manifest) (set *weights.Set, added bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	root := m.Root()
	if set := s.sets[root]; set != nil {
		return set, false
	}
	set = weights.NewSet(m)
	s.sets[root] = set
	return set, true
}

// Remove removes the set of root and its download.
func (s *Sets) Remove(root weights.Digest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.sets, root)
	delete(s.downloads, root)
}

// SetDownload sets the download of the set of root.
func (s *Sets) SetDownload(root weights.Digest, d *swarm.Download) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.downloads[root] = d
}

// Download returns the download of the set of root, or nil.
func (s *Sets) Download(root weights.Digest) *swarm.Download {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.downloads[root]
}

// Bytes returns the total size of all sets, counting incomplete sets at their full size.
func (s *Sets) Bytes() int64 {
	s.mu.RLock()
	defer s.mu.RUnlock()
	var n int64
	for _, set := range s.sets {
		n += set.Manifest().Size
	}
	return n
}
