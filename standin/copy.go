package standin

import (
	"maps"
	"slices"
)

// EraHeader is set in all responses of the store. It counts the store's returns from a copy.
const EraHeader = "Store-Era"

// StoreCopy is a copy of a store's objects at a revision.
type StoreCopy struct {
	revision int64
	objects  map[string]map[string]storedObject
}

// Copy returns a copy of all objects.
func (s *Store) Copy() *StoreCopy {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := &StoreCopy{revision: s.revision, objects: map[string]map[string]storedObject{}}
	for kind, objects := range s.objects {
		c.objects[kind] = maps.Clone(objects)
	}
	return c
}

// Restore makes the store return from a copy: what was written since is lost, its revisions are given
// out again, and the era rises.
func (s *Store) Restore(c *StoreCopy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	s.revision, s.objects = c.revision, map[string]map[string]storedObject{}
	for kind, objects := range c.objects {
		s.objects[kind] = maps.Clone(objects)
	}
	s.compactedAt = min(s.compactedAt, s.revision)
	s.history = slices.DeleteFunc(s.history, func(h change) bool { return h.object.Metadata.Revision > c.revision })
	close(s.changed)
	s.changed = make(chan struct{})
}

// Names returns the names of the objects of a kind.
func (c *StoreCopy) Names(kind string) []string {
	return slices.Sorted(maps.Keys(c.objects[kind]))
}
