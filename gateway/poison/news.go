package poison

import (
	"slices"
	"time"
)

// What is told to other gateways.
const (
	// newsTime is for how long a change is told: five heartbeats, of which four may be lost.
	newsTime = time.Second
	// maxNews is how many records are told at once, at most 12 KB: four ends of full endpoints.
	maxNews = 128
	// quarantinedEvery is how often all quarantined requests are told, for who has just
	// started or was cut off.
	quarantinedEvery = time.Second
)

// News returns what is to be told to other gateways now: what changed of late and, once in a
// while, all that are quarantined. all asks also for changes that others told, as for who
// passes them on.
func (t *Table) News(all bool, now time.Time) []Record {
	if t.size.Load() == 0 {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	whole := now.Sub(t.toldAt) >= quarantinedEvery
	if whole {
		t.toldAt = now
	}
	var told []*request
	for _, q := range t.requests {
		fresh := now.Before(q.ownUntil) || all && now.Before(q.newsUntil)
		if fresh || whole && q.State() == Quarantined {
			told = append(told, q)
		}
	}
	slices.SortFunc(told, func(a, b *request) int { return b.changedAt.Compare(a.changedAt) })
	out := make([]Record, 0, len(told))
	for _, q := range told[:min(len(told), maxNews)] {
		out = append(out, q.Record)
	}
	return out
}
