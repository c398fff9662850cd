package balance

import (
	"slices"
	"time"

	"github.com/silverdeck/silverdeck/roster"
)

// Announcement is a notice from an endpoint's sidecar.
type Announcement struct {
	// Addr is the endpoint's address as the sidecar knows it. Born identifies the
	// incarnation of the endpoint, as in roster.Incarnation.
	Addr string
	Born int64
	// PausedUntil is the time until which the endpoint must not receive requests. A time in
	// the past ends an earlier pause.
	PausedUntil time.Time
	// Weights are the weights that the endpoint serves, if the notice names any.
	Weights roster.Weights
	// Pace is the factor by which the endpoint is slower than its engine's figures; 0 if the
	// notice does not tell it. ReceivedAt is when the notice was received.
	Pace       float64
	ReceivedAt time.Time
}

// ApplyAnnouncement applies a notice from a sidecar. If the notice is from a later
// incarnation than the record in the store, which follows within a second or two, the
// endpoint counts as restarted. A notice from an earlier incarnation is out of date and
// ignored.
func (b *Balancer) ApplyAnnouncement(a Announcement) {
	if a.Pace != 0 {
		defer b.setPace(a.Addr, a.Pace, a.ReceivedAt)
	}
	find := b.finderFor(a.Addr)
	b.eachShard(func(s *shard) {
		for _, e := range find(s) {
			announced := roster.Incarnation{ID: e.record.ID, Born: a.Born}
			if announced.Before(e.record.Incarnation()) {
				continue
			}
			if !announced.Same(e.record.Incarnation()) {
				e = s.restart(e, restartedRecord(e.record, a.Born))
			}
			e.health.pausedUntil = a.PausedUntil
			if a.Weights.Model != "" {
				e.announced = a.Weights
				e.health.prepare()
			}
		}
	})
}

// finderFor returns a function that finds the endpoints of a shard which a sidecar's notice for
// addr concerns: those with that address or, if no shard has any, all on the same VM.
func (b *Balancer) finderFor(addr string) func(*shard) []*endpoint {
	known := false
	b.eachShard(func(s *shard) { known = known || len(s.at(addr)) > 0 })
	if known {
		return func(s *shard) []*endpoint { return s.at(addr) }
	}
	return func(s *shard) []*endpoint { return slices.Clone(s.byVM[roster.VM(addr)]) }
}

// restartedRecord returns the record of a restarted endpoint, which holds no weights yet.
func restartedRecord(r *roster.Endpoint, born int64) *roster.Endpoint {
	restarted := *r
	restarted.Born, restarted.Leaving, restarted.Weights = born, false, nil
	return &restarted
}
