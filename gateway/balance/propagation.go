package balance

import (
	"slices"
	"time"

	"github.com/silverdeck/silverdeck/gateway/advisory"
)

// Propagation of advisories to other gateways.
const (
	// propagationPeriod is how long a change is included in heartbeats: five of them, of
	// which four may be lost.
	propagationPeriod = time.Second
	// confirmInterval is how often unchanged state is sent again, for gateways that have
	// just started or were disconnected.
	confirmInterval = time.Second
	// maxRecordsPerMessage is the number of records sent at once, about 9 KB. The remaining
	// ones are sent next.
	maxRecordsPerMessage = 128
)

// propagation tracks when an endpoint's advisory state changed and when it was last sent to
// other gateways.
type propagation struct {
	changedAt time.Time
	// firsthand is set if this gateway received the change from the endpoint itself.
	firsthand  bool
	lastSentAt time.Time
}

// due reports whether the state is sent now. all also includes changes received from other
// gateways, for relays. active is set if the state must be repeated periodically.
func (p *propagation) due(all, active bool, now time.Time) bool {
	fresh := (p.firsthand || all) && now.Before(p.changedAt.Add(propagationPeriod))
	return fresh || active && now.Sub(p.lastSentAt) >= confirmInterval
}

// Advisories returns the records to send to other gateways now: recent changes and,
// periodically, the active state of endpoints that this gateway holds. all also includes
// state received from other gateways, for relays.
func (b *Balancer) Advisories(all bool, now time.Time) []advisory.Record {
	var out []advisory.Record
	b.eachShard(func(s *shard) {
		s.expireRemoved(now)
		out = append(out, s.advisories(all, maxRecordsPerMessage-len(out), now)...)
	})
	return out
}

// advisories returns at most n records, least recently sent first. The lock must be held.
func (s *shard) advisories(all bool, n int, now time.Time) []advisory.Record {
	var due []*endpoint
	for _, e := range s.ordered {
		active := (e.held || all) && (e.rateLimited(now) || e.leavingForGood())
		if e.advisory.propagation.due(all, active, now) {
			due = append(due, e)
		}
	}
	slices.SortFunc(due, func(a, b *endpoint) int {
		return a.advisory.propagation.lastSentAt.Compare(b.advisory.propagation.lastSentAt)
	})
	var out []advisory.Record
	for _, e := range due[:min(n, len(due))] {
		out = append(out, e.advisoryRecord(now))
	}
	return out
}

// advisoryRecord returns the record to send for e now. The holder of an endpoint thereby
// confirms its limit.
func (e *endpoint) advisoryRecord(now time.Time) advisory.Record {
	l := &e.advisory.limit
	e.advisory.propagation.lastSentAt = now
	if e.held && l.declared {
		l.confirmedAt = now
	}
	return advisory.Record{
		Endpoint:    e.record.Incarnation(),
		Limit:       l.advertised(),
		HeardAt:     l.heardAt,
		ConfirmedAt: l.confirmedAt,
		Leaving:     e.leavingForGood(),
	}
}

// leavingForGood reports whether e is leaving and can't be ready again in its incarnation. A record
// without a sequence may be followed by that of a later run under the same ID.
func (e *endpoint) leavingForGood() bool {
	return e.advisory.leaving || e.record.Leaving && e.record.Sequence > 0
}

// MergeAdvisories applies records from another gateway and returns those that contained new
// information.
func (b *Balancer) MergeAdvisories(records []advisory.Record, now time.Time) []advisory.Record {
	var changed []advisory.Record
	for _, r := range records {
		b.withEndpoint(r.Endpoint, now, func(e *endpoint) {
			if e.advisory.merge(&r, e.record.Leaving, now) {
				changed = append(changed, r)
			}
		})
	}
	return changed
}

// SetHeld sets the endpoints that this gateway holds, by ID. The holder of an endpoint
// enforces its rate limit on behalf of all gateways.
func (b *Balancer) SetHeld(ids map[string]bool, now time.Time) {
	b.eachShard(func(s *shard) {
		for id, e := range s.endpoints {
			if ids[id] && !e.held {
				e.advisory.limit.startHolding(now)
			}
			e.held = ids[id]
		}
		s.index.current = false
	})
}
