package poison

import (
	"cmp"
	"slices"
	"time"
)

// Limits of the records that a gateway includes in its heartbeats.
const (
	// gossipTime is how long a change is included: five heartbeats, of which four may be lost.
	gossipTime = time.Second
	// maxGossip is the maximum number of records of requests in one heartbeat, at most 12 KB. It is
	// enough for the crashes of four full endpoints.
	maxGossip = 128
	// maxPartGossip is the same for parts, at most 14 KB.
	maxPartGossip = 64
	// quarantineGossipInterval is how often everything quarantined is included, for gateways
	// that have just started or were partitioned.
	quarantineGossipInterval = time.Second
)

// Gossip returns the records to include in the next heartbeat: recent changes and, at regular
// intervals, everything quarantined. Relays set all, which adds the changes received from
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
	var requests, parts []*suspect
	for _, q := range t.suspects {
		fresh := now.Before(q.gossipOwnUntil) || all && now.Before(q.gossipUntil)
		switch {
		case !fresh && (!whole || q.State() != Quarantined):
		case q.Key.Kind == KindPart:
			parts = append(parts, q)
		default:
			requests = append(requests, q)
		}
	}
	return append(mostRecent(requests, maxGossip, now), mostRecent(parts, maxPartGossip, now)...)
}

// mostRecent returns the records of at most n suspects, quarantined and recently changed ones first.
func mostRecent(suspects []*suspect, n int, now time.Time) []Record {
	slices.SortFunc(suspects, func(a, b *suspect) int {
		return cmp.Or(-cmp.Compare(a.State(), b.State()), b.changedAt.Compare(a.changedAt))
	})
	var out []Record
	for _, q := range suspects[:min(len(suspects), n)] {
		out = append(out, q.withAges(now))
	}
	return out
}
