package stage

import (
	"slices"
	"sync"

	"github.com/silverdeck/silverdeck/exchange"
	"github.com/silverdeck/silverdeck/weights"
)

// keptSets is how many versions are kept for other VMs: the one that is loaded, the newest,
// and one between them. docs/CAPACITY.md has the memory.
const keptSets = 3

// holdings keeps the newest sets of chunks. It is safe for concurrent use.
type holdings struct {
	*exchange.Sets

	mu       sync.Mutex
	versions map[versionKey]weights.Digest
	// order has the roots of the sets, the oldest first.
	order []weights.Digest
}

// versionKey names a version of a model.
type versionKey struct {
	model   string
	version int64
}

func newHoldings() *holdings {
	return &holdings{Sets: exchange.NewSets(), versions: map[versionKey]weights.Digest{}}
}

// version returns the set of a version, or nil.
func (h *holdings) version(model string, version int64) *weights.Set {
	h.mu.Lock()
	root := h.versions[versionKey{model, version}]
	h.mu.Unlock()
	return h.Set(root)
}

// add keeps an empty set for the version that m lists, and drops the oldest.
func (h *holdings) add(model string, version int64, m *weights.Manifest) *weights.Set {
	h.mu.Lock()
	defer h.mu.Unlock()
	set, added := h.Add(m)
	h.versions[versionKey{model, version}] = set.Root()
	if !added {
		return set
	}
	h.order = append(h.order, set.Root())
	if len(h.order) > keptSets {
		h.Remove(h.order[0])
		h.order = h.order[1:]
	}
	return set
}

// remove forgets a version.
func (h *holdings) remove(model string, version int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	key := versionKey{model, version}
	root := h.versions[key]
	delete(h.versions, key)
	h.Remove(root)
	h.order = slices.DeleteFunc(h.order, func(d weights.Digest) bool { return d == root })
}
