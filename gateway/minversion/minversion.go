// Package minversion tells below which version of each model no request may begin
// any more, by when this gateway first heard of each version.
package minversion

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/silverdeck/silverdeck/inventory"
)

// naming is when this gateway first heard of a version of a model.
type naming struct {
	version int64
	seenAt  time.Time
}

// Versions remembers the newest versions of each model. It is safe for concurrent
// use.
type Versions struct {
	// limit is the time after a version's naming from which older ones are not to be
	// used.
	limit time.Duration

	mu     sync.RWMutex
	models map[string][]naming
}

// New returns Versions of no model. limit is the time after the naming of a version
// from which no request may begin on an older one.
func New(limit time.Duration) *Versions {
	return &Versions{limit: limit, models: map[string][]naming{}}
}

// maxNamings bounds the versions remembered of one model: more are not named within
// one limit on the deployments seen. Chosen by judgement.
const maxNamings = 8

// Add takes in that a version of model was named, and returns whether it is the
// newest.
func (v *Versions) Add(model string, version int64, now time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	namings := v.models[model]
	if n := len(namings); n > 0 && namings[n-1].version >= version {
		return false
	}
	namings = append(namings, naming{version: version, seenAt: now})
	if len(namings) > maxNamings {
		namings = namings[1:]
	}
	v.models[model] = namings
	return true
}

// Required returns the newest version of model that every endpoint must hold by now.
func (v *Versions) Required(model string, now time.Time) int64 {
	v.mu.RLock()
	defer v.mu.RUnlock()
	var required int64
	for _, n := range v.models[model] {
		if now.Sub(n.seenAt) >= v.limit {
			required = n.version
		}
	}
	return required
}

// Newest returns the newest version of each model, by model.
func (v *Versions) Newest() []inventory.Version {
	v.mu.RLock()
	defer v.mu.RUnlock()
	out := make([]inventory.Version, 0, len(v.models))
	for model, namings := range v.models {
		out = append(out, inventory.Version{Model: model, Version: namings[len(namings)-1].version})
	}
	slices.SortFunc(out, func(a, b inventory.Version) int { return cmp.Compare(a.Model, b.Model) })
	return out
}
