// Package versions records when each version of a model was named and computes the time from which
// no request may begin on older weights.
package versions

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// Naming records when a version of a model was named.
type Naming struct {
	Model   string
	Version int64
	// At is the time of the naming, or of the discovery of the version if TimeUnknown is set.
	At time.Time
	// TimeUnknown is set if the version already existed when this process started and no other
	// process has reported when it was named.
	TimeUnknown bool
	// Required is set if the version is required regardless of when it was named; see Require.
	Required bool
}

// History records the newest versions of each model. It is safe for concurrent use.
type History struct {
	// limit is the time after the naming of a version from which no request may begin on an
	// older one.
	limit time.Duration

	mu sync.RWMutex
	// models holds the namings by model, ordered by version.
	models map[string][]Naming
}

// New returns an empty History. limit is the time after the naming of a version from which no
// request may begin on an older one.
func New(limit time.Duration) *History {
	return &History{limit: limit, models: map[string][]Naming{}}
}

// maxNamings is the maximum number of versions recorded per model. The first version named within
// one limit must be retained, since deadlines are computed from it: 64 versions in 8 s allow eight
// namings per second and occupy 5 KB.
const maxNamings = 64

// Add records that a version of model was named at the given time, and returns whether it is a new
// newest version. If the version is already known, the earlier time applies.
func (h *History) Add(model string, version int64, at time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.insert(Naming{Model: model, Version: version, At: at})
}

// AddExisting records that a version of model already existed when this process started, and
// returns whether it is a new newest version. It has no effect if the version is already known.
func (h *History) AddExisting(model string, version int64, at time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.insert(Naming{Model: model, Version: version, At: at, TimeUnknown: true})
}

// MergeReported merges a naming that another process reported. It returns by how much the reported
// time is earlier than the recorded one, or 0 if it is not earlier or the version was unknown. It
// ignores a version newer than all known ones, so that Add still reports that version as new.
func (h *History) MergeReported(reported Naming) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	namings := h.models[reported.Model]
	i, known := search(namings, reported.Version)
	if i == len(namings) {
		return 0
	}
	if !known {
		h.insert(reported)
		return 0
	}
	before := namings[i].At
	h.insert(reported)
	return max(before.Sub(reported.At), 0)
}

// search returns the index at which a version is or would be inserted in namings, which are ordered
// by version, and whether it is present.
func search(namings []Naming, version int64) (int, bool) {
	return slices.BinarySearchFunc(namings, version, func(n Naming, v int64) int { return cmp.Compare(n.Version, v) })
}

// ContainsAll returns whether namings contains all versions in wanted.
func ContainsAll(namings, wanted []Naming) bool {
	for _, w := range wanted {
		if !slices.ContainsFunc(namings, func(n Naming) bool { return n.Model == w.Model && n.Version == w.Version }) {
			return false
		}
	}
	return true
}

// AdjustForSuspension shifts all namings into the past by d, the time for which the VM was
// suspended and the monotonic clock of this process stopped. Otherwise requests would be sent to
// weights that are past their limit, for as long as the VM was suspended.
func (h *History) AdjustForSuspension(d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, namings := range h.models {
		for i := range namings {
			namings[i].At = namings[i].At.Add(-d)
		}
	}
}

// Require makes a known version required from now on. It does not change the time of the naming
// and is not reported to other processes.
func (h *History) Require(model string, version int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if i, known := search(h.models[model], version); known {
		h.models[model][i].Required = true
	}
}

// insert records a naming, merging it with a known one of the same version, and returns whether it
// is of a new newest version. The caller must hold h.mu.
func (h *History) insert(n Naming) bool {
	namings := h.models[n.Model]
	i, known := search(namings, n.Version)
	if known {
		namings[i] = merge(namings[i], n)
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

// merge combines two records of the same naming: a known time takes precedence over an unknown
// one, and the earlier of two known times over the later.
func merge(known, reported Naming) Naming {
	if reported.TimeUnknown || (!known.TimeUnknown && known.At.Before(reported.At)) {
		return known
	}
	reported.Required = known.Required
	return reported
}

// Required returns the newest version of model that every endpoint must hold at time now, or 0.
func (h *History) Required(model string, now time.Time) int64 {
	h.mu.RLock()
	defer h.mu.RUnlock()
	var required int64
	for _, n := range h.models[model] {
		if n.Required || now.Sub(n.At) >= h.limit {
			required = n.Version
		}
	}
	return required
}

// Replaced returns the naming that first replaced a version of model, which is the earliest naming
// of a newer version. It returns false if there is none.
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

// Deadline returns the time from which no request may begin on a version of model: the limit after
// the version was first replaced. It returns false if there is no newer version.
func (h *History) Deadline(model string, version int64) (time.Time, bool) {
	n, replaced := h.Replaced(model, version)
	return n.At.Add(h.limit), replaced
}

// WithKnownTime returns the namings whose time is known, ordered by model and version.
func (h *History) WithKnownTime() []Naming {
	h.mu.RLock()
	defer h.mu.RUnlock()
	var out []Naming
	for _, namings := range h.models {
		for _, n := range namings {
			if !n.TimeUnknown {
				out = append(out, n)
			}
		}
	}
	slices.SortFunc(out, func(a, b Naming) int {
		return cmp.Or(cmp.Compare(a.Model, b.Model), cmp.Compare(a.Version, b.Version))
	})
	return out
}

// Latest returns the newest known version of model, or 0.
func (h *History) Latest(model string) int64 {
	h.mu.RLock()
	defer h.mu.RUnlock()
	namings := h.models[model]
	if len(namings) == 0 {
		return 0
	}
	return namings[len(namings)-1].Version
}

// Newest returns the naming of the newest version of each model, ordered by model.
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
