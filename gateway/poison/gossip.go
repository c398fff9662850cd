package poison

import (
	"slices"
	"time"
)

// Limits of the records that a gateway includes in its heartbeats.
const (
	// gossipTime is how long a change is included: five heartbeats, of which four may be lost.
	gossipTime = time.Second
	// maxGossip is the maximum number of records in one heartbeat, at most 12 KB. It is enough
	// for the crashes of four full endpoints.
	maxGossip = 128
	// quarantineGossipInterval is how often all quarantined requests are included, for gateways
	// that have just started or were partitioned.
	quarantineGossipInterval = time.Second
)

// Gossip returns the records to include in the next heartbeat: recent changes and, at regular
// intervals, all quarantined requests. Relays set all, which adds the changes received from
// other gateways.
func (t *Table) Gossip(all bool, now time.Time) []Record {
	if t.size.Load() == 0 {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	whole := now.Sub(t.quarantineSentAt) >= quarantineGossipInterval
	if whole {
		t.quarantineSentAt = now
	}
	var selected []*request
	for _, q := range t.requests {
		fresh := now.Before(q.gossipOwnUntil) || all && now.Before(q.gossipUntil)
		if fresh || whole && q.State() == Quarantined {
			selected = append(selected, q)
		}
	}
	slices.SortFunc(selected, func(a, b *request) int { return b.changedAt.Compare(a.changedAt) })
	out := make([]Record, 0, len(selected))
	for _, q := range selected[:min(len(selected), maxGossip)] {
		out = append(out, q.Record)
	}
	return out
}
