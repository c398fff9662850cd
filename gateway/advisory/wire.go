package advisory

import (
	"time"

	"github.com/silverdeck/silverdeck/member"
	"github.com/silverdeck/silverdeck/roster"
)

// Encode converts records to their wire format. Times are sent as ages because the clocks of
// gateways differ.
func Encode(records []Record, now time.Time) []member.Advice {
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

// Decode converts records received from another gateway. Negative limits become 0, and times
// in the future become now.
func Decode(received []member.Advice, now time.Time) []Record {
	var out []Record
	for _, a := range received {
		r := Record{
			Endpoint:    roster.Incarnation{ID: a.ID, Born: a.Born},
			Limit:       Unlimited{},
			HeardAt:     timeFromAge(a.HeardMS, now),
			ConfirmedAt: timeFromAge(a.ConfirmedMS, now),
			Leaving:     a.Leaving,
		}
		if a.Limit != nil {
			r.Limit = PerSecond(max(*a.Limit, 0))
		}
		out = append(out, r)
	}
	return out
}

// age returns the number of milliseconds from t to now, or nil if t is zero.
func age(t, now time.Time) *int64 {
	if t.IsZero() {
		return nil
	}
	ms := now.Sub(t).Milliseconds()
	return &ms
}

// timeFromAge returns the time ms milliseconds before now, or the zero time if ms is nil. A
// negative age counts as 0.
func timeFromAge(ms *int64, now time.Time) time.Time {
	if ms == nil {
		return time.Time{}
	}
	return now.Add(-time.Duration(max(*ms, 0)) * time.Millisecond)
}
