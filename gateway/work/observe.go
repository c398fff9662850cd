package work

import "time"

// Constants of an estimate of an endpoint's pace from its streams.
const (
	// observedWeight is the weight of one stream among those of an endpoint.
	observedWeight = 1.0 / 8
	// serviceWeight is the weight of one stream among those of all endpoints of a service.
	serviceWeight = 1.0 / 64
	// minObserved is the number of streams of an endpoint before an estimate counts.
	minObserved = 8
	// minServiceObserved is the number of streams of all endpoints before an estimate counts.
	minServiceObserved = 64
	// slowAbove and normalBelow are the estimates from which an endpoint counts as slow, and
	// below which it no longer does.
	slowAbove   = 1.5
	normalBelow = SlowPace
	// maxObserved bounds the estimate. It also bounds what a gateway loses that is mistaken: the
	// endpoint keeps a place.
	maxObserved = 3
	// minEventsObserved is the number of events from which the mean pause of a stream says
	// something of its endpoint.
	minEventsObserved = 4
	// observedTTL is how long an endpoint counts as slow without a stream. It gets few, and only
	// these show that it no longer is.
	observedTTL = 30 * time.Second
)

// Observations estimates the pace of an endpoint from the pauses between the events of its streams,
// for endpoints whose own statement is not known. It compares them with those at a full endpoint, so
// that load alone makes no endpoint appear slow. The zero value is an estimate without streams.
type Observations struct {
	ratio float64
	n     int
	slow  bool
	// at is when the last stream was added.
	at time.Time
}

// ServiceRatio is the mean ratio of seen to expected pauses at all endpoints of a service. If a
// gateway or its link is slow, all endpoints appear so, which says nothing of one of them. The zero
// value is a mean without streams.
type ServiceRatio struct {
	ratio float64
	n     int
}

func (r *ServiceRatio) add(ratio float64) {
	r.n++
	r.ratio += max(serviceWeight, 1/float64(r.n)) * (ratio - r.ratio)
}

// Observe adds a stream that had the given number of events, the last of which arrived the given
// time after the first.
func (o *Observations) Observe(all *ServiceRatio, s *Speed, events int, duration time.Duration, now time.Time) {
	fullGap := float64(s.FullGap) / max(s.Pace, 1)
	if events < minEventsObserved || fullGap <= 0 {
		return
	}
	ratio := float64(duration) / float64(events-1) / fullGap
	all.add(ratio)
	ratio = min(ratio/max(all.ratio, 1), maxObserved)
	o.at = now
	o.n++
	o.ratio += max(observedWeight, 1/float64(o.n)) * (ratio - o.ratio)
	switch {
	case o.n >= minObserved && all.n >= minServiceObserved && o.ratio >= slowAbove:
		o.slow = true
	case o.ratio < normalBelow:
		o.slow = false
	}
}

// Pace returns the estimated pace: 1 unless the endpoint appears clearly slow.
func (o *Observations) Pace() float64 {
	if !o.slow {
		return 1
	}
	return o.ratio
}

// Expire drops the estimate of a slow endpoint without a stream for long, and reports whether it did.
func (o *Observations) Expire(now time.Time) bool {
	if !o.slow || now.Sub(o.at) <= observedTTL {
		return false
	}
	*o = Observations{}
	return true
}
