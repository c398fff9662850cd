package balance

import (
	"fmt"
	"slices"
	"strings"
)

// exclusion is why an endpoint may not receive a request at all.
type exclusion int

const (
	notExcluded exclusion = iota
	excludedLeaving
	excludedReassigned
	excludedEvacuated
	excludedRegion
	excludedWeights
	excludedAttempted
	exclusions
)

// exclusionNames are the names used in errors.
var exclusionNames = [exclusions]string{
	excludedLeaving: "leaving", excludedReassigned: "reassigned", excludedEvacuated: "evacuated", excludedRegion: "in other regions",
	excludedWeights: "with older weights or none", excludedAttempted: "attempted before",
}

// reassigned reports whether another endpoint has the address of e. That ends with a record that has another
// address, or with the next incarnation; the present one has ended.
func (e *endpoint) reassigned() bool {
	return e.health.reassigned != "" && e.health.reassigned == e.record.Addr
}

// exclusion returns why e may not receive a request for q at all, or notExcluded.
func (e *endpoint) exclusion(q *Query) exclusion {
	switch {
	case e.leaving():
		return excludedLeaving
	case e.reassigned():
		return excludedReassigned
	case e.evacuated:
		return excludedEvacuated
	case !q.Regions.Permits(e.record.Region):
		return excludedRegion
	case q.Model != "" && e.holds(q.Model) < max(q.MinVersion, 1):
		return excludedWeights
	case !e.included(q) || slices.Contains(q.Exclude, e.record.ID) && !e.reloadedSinceAttempt(q):
		return excludedAttempted
	}
	return notExcluded
}

// eligible reports whether e may receive a request for q at all.
func (e *endpoint) eligible(q *Query) bool {
	return e.exclusion(q) == notExcluded
}

// Exclusions tells how many endpoints of the service are excluded from q for which reason. It is empty if
// none is.
func (b *Balancer) Exclusions(q *Query) string {
	s := b.shard(q.Service)
	if s == nil {
		return ""
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var counts [exclusions]int
	for _, e := range s.ordered {
		counts[e.exclusion(q)]++
	}
	var parts []string
	for x := notExcluded + 1; x < exclusions; x++ {
		if counts[x] > 0 {
			parts = append(parts, fmt.Sprintf("%d %s", counts[x], exclusionNames[x]))
		}
	}
	return strings.Join(parts, ", ")
}
