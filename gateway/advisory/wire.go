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
		a := member.Advice{
			ID:          r.Endpoint.ID,
			Born:        r.Endpoint.Born,
			HeardMS:     age(r.HeardAt, now),
			ConfirmedMS: age(r.ConfirmedAt, now),
			Leaving:     r.Leaving,
		}
		if rate, limited := r.Limit.(PerSecond); limited {
			limit := float64(rate)
			a.Limit = &limit
		}
		out = append(out, a)
	}
	return out
}

// Unpack returns the records that another gateway sent.
func Unpack(told []member.Advice, now time.Time) []Record {
	var out []Record
	for _, a := range told {
		r := Record{
			Endpoint:    roster.Incarnation{ID: a.ID, Born: a.Born},
			Limit:       Unlimited{},
			HeardAt:     ago(a.HeardMS, now),
			ConfirmedAt: ago(a.ConfirmedMS, now),
			Leaving:     a.Leaving,
		}
		if a.Limit != nil {
			r.Limit = PerSecond(max(*a.Limit, 0))
		}
		out = append(out, r)
	}
	return out
}

// age returns how many milliseconds before now t was, or nil if t is zero.
func age(t, now time.Time) *int64 {
	if t.IsZero() {
		return nil
	}
	ms := now.Sub(t).Milliseconds()
	return &ms
}

// ago returns the time so many milliseconds before now, which is never after now, or zero.
func ago(ms *int64, now time.Time) time.Time {
	if ms == nil {
		return time.Time{}
	}
	return now.Add(-time.Duration(max(*ms, 0)) * time.Millisecond)
}
