package gateway

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/silverdeck/silverdeck/inventory"
)

// versionNews is when a version of a model was first heard of.
type versionNews struct {
	version int64
	seenAt  time.Time
}

// versions tells below which version of each model no request may begin. It is
// safe for concurrent use.
type versions struct {
	// limit is the time after which older weights are not to be used.
	limit time.Duration

	mu     sync.RWMutex
	models map[string][]versionNews
}

func newVersions(limit time.Duration) *versions {
	return &versions{limit: limit, models: map[string][]versionNews{}}
}

// keptNews bounds the versions remembered of one model.
const keptNews = 8

// named takes in that a version of model was named.
func (v *versions) named(model string, version int64, now time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	news := v.models[model]
	if n := len(news); n > 0 && news[n-1].version >= version {
		return false
	}
	news = append(news, versionNews{version: version, seenAt: now})
	if len(news) > keptNews {
		news = news[1:]
	}
	v.models[model] = news
	return true
}

// floor returns the newest version of model that every endpoint must hold by now.
func (v *versions) floor(model string, now time.Time) int64 {
	v.mu.RLock()
	defer v.mu.RUnlock()
	var floor int64
	for _, n := range v.models[model] {
		if now.Sub(n.seenAt) >= v.limit {
			floor = n.version
		}
	}
	return floor
}

// newest returns the newest version of each model, by model.
func (v *versions) newest() []inventory.Version {
	v.mu.RLock()
	defer v.mu.RUnlock()
	out := make([]inventory.Version, 0, len(v.models))
	for model, news := range v.models {
		out = append(out, inventory.Version{Model: model, Version: news[len(news)-1].version})
	}
	slices.SortFunc(out, func(a, b inventory.Version) int { return cmp.Compare(a.Model, b.Model) })
	return out
}
