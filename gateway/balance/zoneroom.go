package balance

import "time"

// RoomByZone returns the room of the endpoints of a service that may be used for any of queries, in
// places by availability zone. Endpoints that are paused, ejected, or evacuated have none.
func (b *Balancer) RoomByZone(service string, queries []Query, now time.Time) map[string]float64 {
	out := map[string]float64{}
	s := b.shard(service)
	if s == nil {
		return out
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range s.ordered {
		if e.eligibleForAny(queries) && b.usable(e, now) && !e.inBackoff(now) {
			out[e.record.Zone] += e.room(now)
		}
	}
	return out
}

func (e *endpoint) eligibleForAny(queries []Query) bool {
	for i := range queries {
		if e.eligible(&queries[i]) {
			return true
		}
	}
	return false
}

// room returns the room of e in places. An endpoint that declares a limit has none: its holder has to
// protect it. A cold one has as many as its rate fills, if the time of a mean stream is known.
func (e *endpoint) room(now time.Time) float64 {
	if l := &e.advisory.limit; l.declared && l.active(e.held, now) {
		return 0
	}
	if e.speed.MeanTime == 0 {
		return e.speed.Places
	}
	return e.places(now)
}
