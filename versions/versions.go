// Package versions remembers when each version of a model was named, and tells from
// when on no request may begin on older weights.
package versions

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// Naming is when a version of a model was named, as far as is known.
type Naming struct {
	Model   string
	Version int64
	// At is when it was named, or when it was found.
	At time.Time
	// Found is set when the version stood there already when this process began, and
	// nobody has told since when.
	Found bool
	// Due is set when the version is required whenever it was named; see Require.
	Due bool
}

// History remembers the newest versions of each model. It is safe for concurrent
// use.
type History struct {
	// limit is the time after a version's naming from which older ones are not to be
	// used.
	limit time.Duration

	mu sync.RWMutex
	// models are the namings by model, in the order of versions.
	models map[string][]Naming
}

// New returns a History of no model. limit is the time after the naming of a version
// from which no request may begin on an older one.
func New(limit time.Duration) *History {
	return &History{limit: limit, models: map[string][]Naming{}}
}

// maxNamings bounds the versions remembered of one model. The first of those within one
// limit must stay: limits count from it. 64 within 8 s are eight a second, and take 5 KB.
const maxNamings = 64

// Add takes in that a version of model was named at that time, and returns whether
// it is the newest. A version that is known already was named at the earlier of the
// times told.
func (h *History) Add(model string, version int64, at time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.note(Naming{Model: model, Version: version, At: at})
}

// Find takes in that a version of model stood there when this process began, and
// returns whether it is the newest. Nothing changes where the version is known.
func (h *History) Find(model string, version int64, at time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.note(Naming{Model: model, Version: version, At: at, Found: true})
}

// Correct takes in a naming that another process told, and returns by how much earlier
// than known it was; 0 if it was not, or if the version was not known. One newer than all
// that are known is left to come as news.
func (h *History) Correct(told Naming) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	namings := h.models[told.Model]
	i, known := search(namings, told.Version)
	if i == len(namings) {
		return 0
	}
	if !known {
		h.note(told)
		return 0
	}
	before := namings[i].At
	h.note(told)
	return max(before.Sub(told.At), 0)
}

// search returns where a version stands among namings in order, or belongs, and whether
// it is there.
func search(namings []Naming, version int64) (int, bool) {
	return slices.BinarySearchFunc(namings, version, func(n Naming, v int64) int { return cmp.Compare(n.Version, v) })
}

// Cover returns whether told has all versions of newest.
func Cover(told, newest []Naming) bool {
	for _, n := range newest {
		if !slices.ContainsFunc(told, func(t Naming) bool { return t.Model == n.Model && t.Version == n.Version }) {
			return false
		}
	}
	return true
}

// Suspended takes in that this process's clock stood still for d while the platform's went on:
// all namings are that much longer ago. Without it, requests would be sent to weights past
// their limit for as long as the VM was suspended.
func (h *History) Suspended(d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, namings := range h.models {
		for i := range namings {
			namings[i].At = namings[i].At.Add(-d)
		}
	}
}

// Require makes a version that is known required from now on. It changes nothing of when
// it was named, and others are not told.
func (h *History) Require(model string, version int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if i, known := search(h.models[model], version); known {
		h.models[model][i].Due = true
	}
}

// note takes in a naming and returns whether it is of the newest version. The caller
// holds the lock.
func (h *History) note(n Naming) bool {
	namings := h.models[n.Model]
	i, known := search(namings, n.Version)
	if known {
		namings[i] = earlier(namings[i], n)
		return false
	}
	newest := i == len(namings)
	namings = slices.Insert(namings, i, n)
	if len(namings) > maxNamings {
		namings = namings[1:]
	}
	h.models[n.Model] = namings
	return newest
}

// earlier returns which of two tellings of one naming holds: the earlier, and
// any rather than none.
func earlier(known, told Naming) Naming {
	if told.Found || (!known.Found && known.At.Before(told.At)) {
		return known
	}
	told.Due = known.Due
	return told
}

// Required returns the newest version of model that every endpoint must hold by now.
func (h *History) Required(model string, now time.Time) int64 {
	h.mu.RLock()
	defer h.mu.RUnlock()
	var required int64
	for _, n := range h.models[model] {
		if n.Due || now.Sub(n.At) >= h.limit {
			required = n.Version
		}
	}
	return required
}

// Replaced returns the naming by which a version of model was first replaced: the
// earliest of a newer one. It returns false while there is none.
func (h *History) Replaced(model string, version int64) (Naming, bool) {
	h.mu.RLock()
	defer h.mu.RUnlock()
	var first Naming
	replaced := false
	for _, n := range h.models[model] {
		if n.Version > version && (!replaced || n.At.Before(first.At)) {
			first, replaced = n, true
		}
	}
	return first, replaced
}

// End returns from when on no request may begin on a version of model: the limit
// after it was first replaced. It returns false while none is newer.
func (h *History) End(model string, version int64) (time.Time, bool) {
	n, replaced := h.Replaced(model, version)
	return n.At.Add(h.limit), replaced
}

// Told returns the namings of which it is known when they were, by model and version.
func (h *History) Told() []Naming {
	h.mu.RLock()
	defer h.mu.RUnlock()
	var out []Naming
	for _, namings := range h.models {
		for _, n := range namings {
			if !n.Found {
				out = append(out, n)
			}
		}
	}
	slices.SortFunc(out, func(a, b Naming) int {
		return cmp.Or(cmp.Compare(a.Model, b.Model), cmp.Compare(a.Version, b.Version))
	})
	return out
}

// Latest returns the newest version of model that was named, or 0.
func (h *History) Latest(model string) int64 {
	h.mu.RLock()
	defer h.mu.RUnlock()
	namings := h.models[model]
	if len(namings) == 0 {
		return 0
	}
	return namings[len(namings)-1].Version
}

// Newest returns the naming of the newest version of each model, by model.
func (h *History) Newest() []Naming {
	h.mu.RLock()
	defer h.mu.RUnlock()
	out := make([]Naming, 0, len(h.models))
	for _, namings := range h.models {
		out = append(out, namings[len(namings)-1])
	}
	slices.SortFunc(out, func(a, b Naming) int { return cmp.Compare(a.Model, b.Model) })
	return out
}
