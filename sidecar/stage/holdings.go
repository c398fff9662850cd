package stage

import (
	"slices"
	"sync"

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
}

// versionKey identifies a version of a model.
type versionKey struct {
	model   string
	version int64
}

func newHoldings() *holdings {
	return &holdings{Sets: exchange.NewSets(), versions: map[versionKey]weights.Digest{}}
}

// lookup returns the chunk set of a version, or nil.
func (h *holdings) lookup(model string, version int64) *weights.Set {
	h.mu.Lock()
	root := h.versions[versionKey{model, version}]
	h.mu.Unlock()
	return h.Set(root)
}

// add adds an empty set for the version with manifest m and evicts the oldest set if there
// are more than maxSets.
func (h *holdings) add(model string, version int64, m *weights.Manifest) *weights.Set {
	h.mu.Lock()
	defer h.mu.Unlock()
	set, added := h.Add(m)
	h.versions[versionKey{model, version}] = set.Root()
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
