package main

import (
	"context"
	"errors"
	"time"
)

// Bounds of the deployment.
const (
	recoveryTime = 12 * time.Second
	versionLimit = 8 * time.Second
	contactTime  = 3 * time.Second
	// downTime is how long killed processes are down.
	downTime = time.Second
)

// scenario is a case.
type scenario struct {
	size size
	play func(ctx context.Context, d *deployment, trouble bool) (broken bool, err error)
}

// cases are the cases by rule.
var cases = map[string]*scenario{
	"RECOVER": {size: size{fronts: 1, sides: 2}, play: playRecover},
	"VERSION": {size: size{fronts: 2, sides: 4}, play: playVersion},
}

var (
	errNotStaged = errors.New("the new weights did not reach the runners")
	errNoTraffic = errors.New("too few requests were served before the fault")
)

// Timing of RECOVER.
const (
	// calm is how long requests are served before the new weights are named.
	calm = 5 * time.Second
	// stagingLimit is how long the new weights may take to reach all runners. From 2.9 s on, runners
	// drain, and take them a second later.
	stagingLimit = 3500 * time.Millisecond
	// judged is for how long the requests that are sent after the recovery count.
	judged = 12 * time.Second
)

// playRecover names new weights and kills all processes once the pieces lie at all runners. Requests that
// are sent more than recovery_s after the processes' return count.
func playRecover(ctx context.Context, d *deployment, trouble bool) (bool, error) {
	c := &clients{d: d, rec: d.rec}
	traffic, stop := context.WithCancel(ctx)
	defer stop()
	done := make(chan struct{})
	go func() {
		defer close(done)
		c.run(traffic, kinds(100))
	}()
	sleep(ctx, calm)
	named := d.nameVersion(2)
	for !allStaged(d, 2) {
		if time.Since(named) > stagingLimit || !sleep(ctx, 20*time.Millisecond) {
			return false, errNotStaged
		}
	}
	sleep(ctx, 100*time.Millisecond)
	killed := time.Now()
	d.rec.say("the new weights lie at all runners %.1f s after they were named", killed.Sub(named).Seconds())
	if trouble {
		if err := d.restart(ctx, downTime); err != nil {
			return false, err
		}
	}
	back := time.Now()
	sleep(ctx, recoveryTime+judged)
	to := time.Now()
	stop()
	<-done
	for _, r := range d.models() {
		d.rec.say("runner %s holds version %d", r.id, r.held())
	}
	before, sentBefore := c.share(back.Add(-time.Hour), killed.Add(-time.Second), nil)
	after, sentAfter := c.share(back.Add(recoveryTime), to, nil)
	streams, sentStreams := c.share(back.Add(recoveryTime), to, func(a *attempt) bool { return a.stream })
	d.rec.say("before the fault %d of %d requests were served", before, sentBefore)
	d.rec.say("later than %v after the return %d of %d requests were served, of the streams %d of %d", recoveryTime, after, sentAfter, streams, sentStreams)
	if 4*before < sentBefore || sentAfter == 0 {
		return false, errNoTraffic
	}
	broken := 4*after < sentAfter
	d.rec.say("RECOVER broken: %t", broken)
	return broken, nil
}

// allStaged returns whether all pieces of a version lie at all runners.
func allStaged(d *deployment, version int64) bool {
	for _, r := range d.models() {
		if r.stagedVersion() != version {
			return false
		}
	}
	return true
}

// Timing of VERSION, from the naming of version 2 on.
const (
	// originAway is how long the origin of weights is down.
	originAway = 6 * time.Second
	// killAfter is when the processes are killed.
	killAfter = 2 * time.Second
	// watched is until when requests are looked at.
	watched = 16 * time.Second
)

// playVersion names new weights while the origin is down, and kills all processes 2 s later. Requests
// count that begin on the older version later than version_ms after the naming, when the gateways have
// run for contact_ms.
func playVersion(ctx context.Context, d *deployment, trouble bool) (bool, error) {
	c := &clients{d: d, rec: d.rec}
	traffic, stop := context.WithCancel(ctx)
	defer stop()
	done := make(chan struct{})
	go func() {
		defer close(done)
		c.run(traffic, kinds(100))
	}()
	sleep(ctx, calm)
	if err := d.setOrigin(false); err != nil {
		return false, err
	}
	away := time.Now()
	named := d.nameVersion(2)
	sleep(ctx, killAfter)
	from := named.Add(versionLimit)
	if trouble {
		if err := d.restart(ctx, downTime); err != nil {
			return false, err
		}
		if inTouch := time.Now().Add(contactTime); inTouch.After(from) {
			from = inTouch
		}
	}
	sleep(ctx, originAway-time.Since(away))
	if err := d.setOrigin(true); err != nil {
		return false, err
	}
	sleep(ctx, watched-time.Since(named))
	stop()
	<-done
	return judgeVersion(d, named, from), nil
}

// judgeVersion returns whether requests began on a version before 2 at from or later.
func judgeVersion(d *deployment, named, from time.Time) bool {
	old, begun, last := 0, 0, time.Duration(0)
	for _, r := range d.models() {
		for _, s := range r.starts() {
			if s.at.Before(from) {
				continue
			}
			begun++
			if s.version < 2 {
				old++
				last = max(last, s.at.Sub(named))
				d.rec.add("%s began on version %d at %s, %.3f s after version 2 was acknowledged", s.id, s.version, r.id, s.at.Sub(named).Seconds())
			}
		}
		d.rec.say("runner %s holds version %d", r.id, r.held())
	}
	d.rec.say("later than %v after the acknowledgement %d requests began, %d of them on the older version, the last one %.1f s after it",
		versionLimit, begun, old, last.Seconds())
	d.rec.say("VERSION broken: %t", old > 0)
	return old > 0
}
