package balance

import (
	"slices"
	"time"

	"github.com/silverdeck/silverdeck/gateway/advisory"
)

// What is told to other gateways.
const (
	// newsTime is for how long a change is told: five heartbeats, of which four may be lost.
	newsTime = time.Second
	// confirmEvery is how often what stands is told again, for who has just started or was cut
	// off.
	confirmEvery = time.Second
	// maxRecords is how many records are told at once, some 9 KB. The rest are told next.
	maxRecords = 128
)

// news is when what is known changed, and when it was last told.
type news struct {
	changedAt time.Time
	// heard is set where the endpoint itself told the change to this gateway.
	heard  bool
	toldAt time.Time
}

// due returns whether it is told now. all asks also for what others told, as for who passes
// it on; stands is set while it has to be told again and again.
func (n *news) due(all, stands bool, now time.Time) bool {
	fresh := (n.heard || all) && now.Before(n.changedAt.Add(newsTime))
	return fresh || stands && now.Sub(n.toldAt) >= confirmEvery
}

// Advisories returns what is to be told to other gateways now: what has changed of late and,
// once in a while, what stands at endpoints that this gateway holds. all asks also for what
// others told, as for a relay.
func (b *Balancer) Advisories(all bool, now time.Time) []advisory.Record {
	var out []advisory.Record
	b.eachShard(func(s *shard) {
		s.expireDeparted(now)
		out = append(out, s.advisories(all, maxRecords-len(out), now)...)
	})
	return out
}

// advisories returns at most n records, those first that were not told for longest. The
// caller holds the lock.
func (s *shard) advisories(all bool, n int, now time.Time) []advisory.Record {
	var due []*endpoint
	for _, e := range s.ordered {
		stands := (e.held || all) && (e.limited(now) || e.said.leaving)
		if e.said.news.due(all, stands, now) {
			due = append(due, e)
		}
	}
	slices.SortFunc(due, func(a, b *endpoint) int {
		return a.said.news.toldAt.Compare(b.said.news.toldAt)
	})
	var out []advisory.Record
	for _, e := range due[:min(n, len(due))] {
		out = append(out, e.tell(now))
	}
	return out
}

// tell returns what is told of e now. Who holds an endpoint confirms its limit.
func (e *endpoint) tell(now time.Time) advisory.Record {
	l := &e.said.limit
	e.said.news.toldAt = now
	if e.held && l.named {
		l.confirmedAt = now
	}
	return advisory.Record{
		Endpoint:    e.record.Life(),
		Limit:       l.told(),
		HeardAt:     l.heardAt,
		ConfirmedAt: l.confirmedAt,
		Leaving:     e.said.leaving,
	}
}

// Learn takes in what another gateway tells and returns what of it was new.
func (b *Balancer) Learn(records []advisory.Record, now time.Time) []advisory.Record {
	var changed []advisory.Record
	for _, r := range records {
		b.withEndpoint(r.Endpoint, func(e *endpoint) {
			if e.said.learn(&r, now) {
				changed = append(changed, r)
			}
		})
	}
	return changed
}

// Hold tells which endpoints this gateway holds, by ID: those whose limits it keeps for all.
func (b *Balancer) Hold(ids map[string]bool, now time.Time) {
	b.eachShard(func(s *shard) {
		for id, e := range s.endpoints {
			if ids[id] && !e.held {
				e.said.limit.hold(now)
			}
			e.held = ids[id]
		}
	})
}
