package advisory

import (
	"time"

	"github.com/silverdeck/silverdeck/member"
	"github.com/silverdeck/silverdeck/roster"
)

// Pack returns records as they are sent: ages in place of times, since clocks differ.
func Pack(records []Record, now time.Time) []member.Advice {
	var out []member.Advice
	for _, r := range records {
		a := member.Advice{ID: r.Endpoint.ID, Born: r.Endpoint.Born, HeardMS: now.Sub(r.HeardAt).Milliseconds()}
		if rate, limited := r.Limit.(PerSecond); limited {
			limit := float64(rate)
			a.Limit = &limit
		}
		if !r.ConfirmedAt.IsZero() {
			confirmed := now.Sub(r.ConfirmedAt).Milliseconds()
			a.ConfirmedMS = &confirmed
		}
		out = append(out, a)
	}
	return out
}

// Unpack returns the records that another gateway sent.
func Unpack(told []member.Advice, now time.Time) []Record {
	var out []Record
	for _, a := range told {
		r := Record{Endpoint: roster.Life{ID: a.ID, Born: a.Born}, Limit: Unlimited{}, HeardAt: ago(a.HeardMS, now)}
		if a.Limit != nil {
			r.Limit = PerSecond(max(*a.Limit, 0))
		}
		if a.ConfirmedMS != nil {
			r.ConfirmedAt = ago(*a.ConfirmedMS, now)
		}
		out = append(out, r)
	}
	return out
}

// ago returns the time so many milliseconds before now, which is never after now.
func ago(ms int64, now time.Time) time.Time {
	return now.Add(-time.Duration(max(ms, 0)) * time.Millisecond)
}
