package balance

import "time"

// Place is what is known of an endpoint's room.
type Place struct {
	// Addr is the endpoint's address.
	Addr string
	// Slots is how many requests it runs at once, 0 while it names a limit; InFlight is how
	// many all gateways have there, those of others as old as their last heartbeat.
	Slots, InFlight int
	// Usable is set when it takes requests of the query.
	Usable bool
}

// Places returns the endpoints of q's service that do not leave.
func (b *Balancer) Places(q *Query, now time.Time) []Place {
	s := b.shard(q.Service)
	if s == nil {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]Place, 0, len(s.ordered))
	for _, e := range s.ordered {
		if e.leaving() {
			continue
		}
		p := Place{Addr: e.record.Addr, InFlight: b.allInFlight(e)}
		if !e.limited(now) {
			p.Slots, p.Usable = e.record.Slots, e.fits(q) && b.usable(e, now) && !e.resting(now)
		}
		out = append(out, p)
	}
	return out
}
