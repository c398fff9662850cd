package balance

import "time"

const (
	// ownIdleLimit is for how long nothing at all may come from other processes before that
	// is put down to this gateway or its link: one heartbeat, sent every 0.2 s, may be late.
	ownIdleLimit = 300 * time.Millisecond
	// minJudged is how many endpoints must have requests of this gateway for their idleness
	// to tell of the others.
	minJudged = 3
	// maxIdleShare is the part of these above which all are taken to stand still together.
	maxIdleShare = 0.5
)

// AllStandStill returns whether the endpoints of a service are taken to stand still
// together, where so many of those that have requests of this gateway are idle.
func AllStandStill(idle, busy int) bool {
	return busy >= minJudged && float64(idle) > maxIdleShare*float64(busy)
}

// TakesUnknown returns whether a request is tried at an endpoint of which nothing is known,
// where so many others are silent and so many answer: not while all stand still, and one
// after the other where none answers. tried is set while one is being tried.
func TakesUnknown(silent, answering int, tried bool) bool {
	if AllStandStill(silent, silent+answering) {
		return false
	}
	return silent == 0 || answering > 0 || !tried
}

// idle returns for how long nothing came from e, at most since.
func (b *Balancer) idle(e *endpoint, since, now time.Time) time.Duration {
	if last := e.lastByte.last(); last.After(since) {
		since = last
	}
	until := now
	if last := b.lastTraffic.last(); now.Sub(last) > ownIdleLimit {
		until = last
	}
	return max(until.Sub(since), 0)
}

// pulse is what the streams of this gateway at an endpoint show of it.
type pulse int

// The pulses.
const (
	// unknown means that it has no requests of this gateway, or that they began a moment ago.
	unknown pulse = iota
	// answering means that it sent something a moment ago.
	answering
	// silent means that it sent nothing for longer than it may.
	silent
)

// pulse returns the pulse of e, which may be idle for maxIdle.
func (b *Balancer) pulse(e *endpoint, maxIdle time.Duration, now time.Time) pulse {
	switch {
	case e.inFlight == 0:
		return unknown
	case b.idle(e, e.busySince, now) > maxIdle:
		return silent
	case e.lastByte.last().After(e.busySince):
		return answering
	}
	return unknown
}

// answers returns which endpoints answer, as Query.MaxIdle asks. The caller holds the
// shard's lock.
func (b *Balancer) answers(s *shard, maxIdle time.Duration, now time.Time) func(*endpoint) bool {
	if maxIdle == 0 {
		return func(*endpoint) bool { return true }
	}
	count, tried := map[pulse]int{}, false
	for _, e := range s.ordered {
		p := b.pulse(e, maxIdle, now)
		count[p]++
		tried = tried || p == unknown && e.inFlight > 0
	}
	takesUnknown := TakesUnknown(count[silent], count[answering], tried)
	return func(e *endpoint) bool {
		p := b.pulse(e, maxIdle, now)
		return p == answering || p == unknown && takesUnknown
	}
}
