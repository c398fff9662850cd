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
// together, where so many of those that have requests of this gateway are idle. What is
// known of none says nothing of an endpoint then.
func AllStandStill(idle, busy int) bool {
	return busy >= minJudged && float64(idle) > maxIdleShare*float64(busy)
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

// answers returns which endpoints answer, as Query.MaxIdle asks. The caller holds the
// shard's lock.
func (b *Balancer) answers(s *shard, maxIdle time.Duration, now time.Time) func(*endpoint) bool {
	if maxIdle == 0 {
		return func(*endpoint) bool { return true }
	}
	isIdle := func(e *endpoint) bool {
		return e.inFlight > 0 && b.idle(e, e.busySince, now) > maxIdle
	}
	idle, busy := 0, 0
	for _, e := range s.ordered {
		if e.inFlight == 0 {
			continue
		}
		busy++
		if isIdle(e) {
			idle++
		}
	}
	together := AllStandStill(idle, busy)
	return func(e *endpoint) bool {
		return !isIdle(e) && (e.inFlight > 0 || !together)
	}
}
