package balance

import "time"

// index divides the endpoints of a shard into those at which each selection looks and those of which it
// draws samples, so that a selection costs the same in a large fleet. The zero value is out of date.
type index struct {
	// current is unset if the endpoints or the groups to which they belong may have changed.
	current bool
	// always holds the endpoints that the gateway prefers and those with a rate limit or a back-off.
	// Endpoints whose limit or back-off has ended leave it with the next selection.
	always group
	// sameZone and otherZone hold the others, in this zone and in others.
	sameZone, otherZone group
	// zone is this gateway's availability zone.
	zone string
}

// group is a set of endpoints that can be drawn.
type group struct {
	members []*endpoint
}

func (g *group) add(e *endpoint) {
	e.group, e.position = g, len(g.members)
	g.members = append(g.members, e)
}

func (g *group) remove(e *endpoint) {
	last := len(g.members) - 1
	g.swap(e.position, last)
	g.members[last] = nil
	g.members = g.members[:last]
	e.group = nil
}

func (g *group) swap(i, j int) {
	m := g.members
	m[i], m[j] = m[j], m[i]
	m[i].position, m[j].position = i, j
}

func (g *group) clear() {
	clear(g.members)
	g.members = g.members[:0]
}

// refreshIndex divides the endpoints anew if that is needed. The lock must be held.
func (s *shard) refreshIndex(zone string, now time.Time) {
	x := &s.index
	if x.current {
		return
	}
	x.current, x.zone = true, zone
	x.always.clear()
	x.sameZone.clear()
	x.otherZone.clear()
	for _, e := range s.ordered {
		x.groupOf(e, now).add(e)
	}
}

// groupOf returns the group to which e belongs.
func (x *index) groupOf(e *endpoint, now time.Time) *group {
	switch {
	case e.preferred || e.rateLimited(now) || e.inBackoff(now):
		return &x.always
	case e.record.Zone == x.zone:
		return &x.sameZone
	}
	return &x.otherZone
}

// note updates the index after the rate limit or back-off of e may have changed. The lock must be held.
func (s *shard) note(e *endpoint, now time.Time) {
	if s.index.current && s.isCurrent(e) {
		s.index.move(e, now)
	}
}

func (x *index) move(e *endpoint, now time.Time) {
	if to := x.groupOf(e, now); to != e.group {
		e.group.remove(e)
		to.add(e)
	}
}

// settle removes the endpoints from always whose limit or back-off has ended.
func (x *index) settle(now time.Time) {
	for i := len(x.always.members) - 1; i >= 0; i-- {
		x.move(x.always.members[i], now)
	}
}
