package agent

import (
	"fmt"
	"sync"

	"github.com/silverdeck/silverdeck/swarm"
	"github.com/silverdeck/silverdeck/weights"
)

// holder keeps sets of weights in memory, within a bound.
type holder struct {
	limit int64

	mu        sync.RWMutex
	sets      map[weights.Digest]*weights.Set
	downloads map[weights.Digest]*swarm.Download
	// used has the roots from the one used longest ago to the latest.
	used []weights.Digest
}

func newHolder(limit int64) *holder {
	return &holder{
		limit:     limit,
		sets:      map[weights.Digest]*weights.Set{},
		downloads: map[weights.Digest]*swarm.Download{},
	}
}

// FullError tells that weights do not fit the memory that settings allow.
type FullError struct {
	Need, Limit int64
}

// Error names both sizes.
func (e *FullError) Error() string {
	return fmt.Sprintf("agent: weights of %d bytes do not fit beside those in use; holdBytes allows %d", e.Need, e.Limit)
}

// Set implements exchange.Holdings.
func (h *holder) Set(root weights.Digest) *weights.Set {
	h.mu.RLock()
	defer h.mu.RUnlock()
	return h.sets[root]
}

// Reading implements exchange.Holdings.
func (h *holder) Reading(root weights.Digest, i int) bool {
	h.mu.RLock()
	d := h.downloads[root]
	h.mu.RUnlock()
	return d != nil && d.Reading(i)
}

// add makes room for the version that m lists and returns its set. Weights
// that inUse names stay.
func (h *holder) add(m *weights.Manifest, inUse map[weights.Digest]bool) (*weights.Set, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	root := m.Root()
	if s := h.sets[root]; s != nil {
		h.touch(root)
		return s, nil
	}
	if err := h.makeRoom(m.Size, inUse); err != nil {
		return nil, err
	}
	s := weights.NewSet(m)
	h.sets[root] = s
	h.touch(root)
	return s, nil
}

func (h *holder) makeRoom(need int64, inUse map[weights.Digest]bool) error {
	for i := 0; h.held()+need > h.limit; {
		if i >= len(h.used) {
			return &FullError{Need: need, Limit: h.limit}
		}
		root := h.used[i]
		if inUse[root] {
			i++
			continue
		}
		delete(h.sets, root)
		delete(h.downloads, root)
		h.used = append(h.used[:i], h.used[i+1:]...)
	}
	return nil
}

func (h *holder) held() int64 {
	var n int64
	for _, s := range h.sets {
		n += s.Manifest().Size
	}
	return n
}

func (h *holder) touch(root weights.Digest) {
	for i, u := range h.used {
		if u == root {
			h.used = append(h.used[:i], h.used[i+1:]...)
			break
		}
	}
	h.used = append(h.used, root)
}

// setDownload notes who fills the set of root.
func (h *holder) setDownload(root weights.Digest, d *swarm.Download) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.downloads[root] = d
}

// download returns who fills the set of root, or nil.
func (h *holder) download(root weights.Digest) *swarm.Download {
	h.mu.RLock()
	defer h.mu.RUnlock()
	return h.downloads[root]
}
