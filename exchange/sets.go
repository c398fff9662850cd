package exchange

import (
	"sync"

	"github.com/silverdeck/silverdeck/swarm"
	"github.com/silverdeck/silverdeck/weights"
)

// Sets implements Holdings: the sets of chunks that a VM holds, by root, each with
// the download that fills it. What is dropped, and when, is its owner's to decide.
// It is safe for concurrent use.
type Sets struct {
	mu        sync.RWMutex
	sets      map[weights.Digest]*weights.Set
	downloads map[weights.Digest]*swarm.Download
}

// NewSets returns empty Sets.
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

// Add returns the set of the version that m lists, and whether it was added just
// now, empty.
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

// Remove forgets a set and its download.
func (s *Sets) Remove(root weights.Digest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.sets, root)
	delete(s.downloads, root)
}

// SetDownload notes who fills the set of root.
func (s *Sets) SetDownload(root weights.Digest, d *swarm.Download) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.downloads[root] = d
}

// Download returns who fills the set of root, or nil.
func (s *Sets) Download(root weights.Digest) *swarm.Download {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.downloads[root]
}

// Bytes returns the size of all sets, complete or not.
func (s *Sets) Bytes() int64 {
	s.mu.RLock()
	defer s.mu.RUnlock()
	var n int64
	for _, set := range s.sets {
		n += set.Manifest().Size
	}
	return n
}
