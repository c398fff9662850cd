package stage

import (
	"slices"
	"sync"

	"github.com/silverdeck/silverdeck/swarm"
	"github.com/silverdeck/silverdeck/weights"
)

// keptSets is how many versions are kept for other VMs.
const keptSets = 3

// holdings keeps the newest sets of chunks. It is safe for concurrent use.
type holdings struct {
	mu        sync.RWMutex
	sets      map[weights.Digest]*weights.Set
	downloads map[weights.Digest]*swarm.Download
	versions  map[versionKey]weights.Digest
	order     []weights.Digest
}

type versionKey struct {
	model   string
	version int64
}

func newHoldings() *holdings {
	return &holdings{
		sets:      map[weights.Digest]*weights.Set{},
		downloads: map[weights.Digest]*swarm.Download{},
		versions:  map[versionKey]weights.Digest{},
	}
}

// Set implements exchange.Holdings.
func (h *holdings) Set(root weights.Digest) *weights.Set {
	h.mu.RLock()
	defer h.mu.RUnlock()
	return h.sets[root]
}

// Reading implements exchange.Holdings.
func (h *holdings) Reading(root weights.Digest, i int) bool {
	h.mu.RLock()
	d := h.downloads[root]
	h.mu.RUnlock()
	return d != nil && d.Reading(i)
}

// version returns the set of a version, or nil.
func (h *holdings) version(model string, version int64) *weights.Set {
	h.mu.RLock()
	defer h.mu.RUnlock()
	return h.sets[h.versions[versionKey{model, version}]]
}

// add keeps an empty set for the version that m lists, and drops the oldest.
func (h *holdings) add(model string, version int64, m *weights.Manifest) *weights.Set {
	h.mu.Lock()
	defer h.mu.Unlock()
	root := m.Root()
	h.versions[versionKey{model, version}] = root
	if s := h.sets[root]; s != nil {
		return s
	}
	s := weights.NewSet(m)
	h.sets[root] = s
	h.order = append(h.order, root)
	if len(h.order) > keptSets {
		delete(h.sets, h.order[0])
		delete(h.downloads, h.order[0])
		h.order = h.order[1:]
	}
	return s
}

// remove forgets a version.
func (h *holdings) remove(model string, version int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	key := versionKey{model, version}
	root := h.versions[key]
	delete(h.versions, key)
	delete(h.sets, root)
	delete(h.downloads, root)
	h.order = slices.DeleteFunc(h.order, func(d weights.Digest) bool { return d == root })
}

func (h *holdings) setDownload(root weights.Digest, d *swarm.Download) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.downloads[root] = d
}
