package stage

import (
	"slices"
	"sync"
	"time"

	"github.com/silverdeck/silverdeck/exchange"
	"github.com/silverdeck/silverdeck/weights"
)

// maxSets is the number of versions that are kept to serve other VMs: the loaded one, the
// newest one, and one in between. docs/CAPACITY.md gives the memory use.
const maxSets = 3

// holdings stores the chunk sets of the newest versions. It is safe for concurrent use.
type holdings struct {
	*exchange.Sets

	mu       sync.Mutex
	versions map[versionKey]weights.Digest
	// insertionOrder lists the roots of the sets, oldest first.
	insertionOrder []weights.Digest
	// added is closed and replaced when a set is added.
	added chan struct{}
}

// versionKey identifies a version of a model.
type versionKey struct {
	model   string
	version int64
}

func newHoldings() *holdings {
	return &holdings{Sets: exchange.NewSets(), versions: map[versionKey]weights.Digest{}, added: make(chan struct{})}
}

// lookup returns the chunk set of a version, or nil.
func (h *holdings) lookup(model string, version int64) *weights.Set {
	h.mu.Lock()
	root := h.versions[versionKey{model, version}]
	h.mu.Unlock()
	return h.Set(root)
}

// await returns the chunk set of a version, for which it waits up to limit, or nil.
func (h *holdings) await(model string, version int64, limit time.Duration) *weights.Set {
	t := time.NewTimer(limit)
	defer t.Stop()
	for {
		h.mu.Lock()
		added := h.added
		h.mu.Unlock()
		if set := h.lookup(model, version); set != nil {
			return set
		}
		select {
		case <-added:
		case <-t.C:
			return nil
		}
	}
}

// add adds an empty set for the version with manifest m and evicts the oldest set if there
// are more than maxSets.
func (h *holdings) add(model string, version int64, m *weights.Manifest) *weights.Set {
	h.mu.Lock()
	defer h.mu.Unlock()
	set, added := h.Add(m)
	h.versions[versionKey{model, version}] = set.Root()
	close(h.added)
	h.added = make(chan struct{})
	if !added {
		return set
	}
	h.insertionOrder = append(h.insertionOrder, set.Root())
	if len(h.insertionOrder) > maxSets {
		h.Remove(h.insertionOrder[0])
		h.insertionOrder = h.insertionOrder[1:]
	}
	return set
}

// remove removes the chunk set of a version.
func (h *holdings) remove(model string, version int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	key := versionKey{model, version}
	root := h.versions[key]
	delete(h.versions, key)
	h.Remove(root)
	h.insertionOrder = slices.DeleteFunc(h.insertionOrder, func(d weights.Digest) bool { return d == root })
}
