package loader

import (
	"fmt"
	"slices"
	"sync"

	"github.com/silverdeck/silverdeck/exchange"
	"github.com/silverdeck/silverdeck/weights"
)

// holder keeps sets of weights in memory, within a bound.
type holder struct {
	*exchange.Sets
	// limit is the bound, in bytes.
	limit int64

	mu sync.Mutex
	// used has the roots from the one used longest ago to the latest.
	used []weights.Digest
}

func newHolder(limit int64) *holder {
	return &holder{Sets: exchange.NewSets(), limit: limit}
}

// FullError tells that weights do not fit the memory that settings allow.
type FullError struct {
	// Need and Limit are in bytes.
	Need, Limit int64
}

// Error names both sizes.
func (e *FullError) Error() string {
	return fmt.Sprintf("agent: weights of %d bytes do not fit beside those in use; holdBytes allows %d", e.Need, e.Limit)
}

// add makes room for the version that m lists and returns its set. Weights
// that inUse names stay.
func (h *holder) add(m *weights.Manifest, inUse map[weights.Digest]bool) (*weights.Set, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	root := m.Root()
	if h.Set(root) == nil {
		if err := h.makeRoom(m.Size, inUse); err != nil {
			return nil, err
		}
	}
	h.touch(root)
	s, _ := h.Add(m)
	return s, nil
}

// makeRoom drops sets, those used longest ago first, until need more bytes fit. The
// caller holds the lock.
func (h *holder) makeRoom(need int64, inUse map[weights.Digest]bool) error {
	for i := 0; h.Bytes()+need > h.limit; {
		if i >= len(h.used) {
			return &FullError{Need: need, Limit: h.limit}
		}
		root := h.used[i]
		if inUse[root] {
			i++
			continue
		}
		h.Remove(root)
		h.used = slices.Delete(h.used, i, i+1)
	}
	return nil
}

// touch notes that root was used last. The caller holds the lock.
func (h *holder) touch(root weights.Digest) {
	h.used = slices.DeleteFunc(h.used, func(d weights.Digest) bool { return d == root })
	h.used = append(h.used, root)
}
