package balance

import (
	"time"

	"github.com/silverdeck/silverdeck/roster"
)

// Suspicion of endpoints that gateways share.
const (
	// suspicionTime is how long, after an endpoint may be tried again, others are told to
	// leave the trial to this gateway.
	suspicionTime = 2 * time.Second
	// maxSuspectShare is the part of a service's endpoints above which a gateway puts their
	// failures down to itself.
	maxSuspectShare = 0.34
	// freshByte is how recent an endpoint's last byte must be to count for more than the
	// suspicion of others: two heartbeats.
	freshByte = 400 * time.Millisecond
)

// usable returns whether requests may be sent to e. An endpoint that others
// suspect is left to their trials, unless this gateway gets answers from it or has
// its own trial to make.
func (b *Balancer) usable(e *endpoint, now time.Time) bool {
	if !e.health.usable(now) {
		return false
	}
	if e.health.ejections > 0 || now.Sub(e.lastByte.last()) < freshByte {
		return true
	}
	return !b.cfg.Suspected(e.record.Life())
}

// suspects returns the endpoints that this gateway tells others to leave to it. The
// caller holds the lock.
func (s *shard) suspects(now time.Time) []roster.Life {
	var out []roster.Life
	for _, e := range s.endpoints {
		if e.health.suspect && e.health.ejections > 0 && now.Before(e.health.ejectedUntil.Add(suspicionTime)) {
			out = append(out, e.record.Life())
		}
	}
	if len(out) > 1 && float64(len(out)) > maxSuspectShare*float64(len(s.endpoints)) {
		return nil
	}
	return out
}
