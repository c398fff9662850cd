package main

import (
	"context"
	"errors"
	"slices"
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
	// takeLimit is how long all runners may take to hold named weights.
	takeLimit = 10 * time.Second
	// lastVersion is the last version that is named.
	lastVersion = 4
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
		c.run(traffic, kinds(150))
	}()
	sleep(ctx, calm)
	version, named, err := nameUntilStaged(ctx, d)
	if err != nil {
		return false, err
	}
	killed := time.Now()
	d.rec.say("version %d lies at all runners %.1f s after it was named, and none has taken it", version, killed.Sub(named).Seconds())
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

// nameUntilStaged names new weights and waits until their pieces lie at all runners. If a runner takes them
// before, it waits until all have and names the next ones.
func nameUntilStaged(ctx context.Context, d *deployment) (version int64, named time.Time, err error) {
	for version := int64(2); version <= lastVersion; version++ {
		named := d.nameVersion(version)
		for !anyTakes(d, version) && time.Since(named) < takeLimit && sleep(ctx, 10*time.Millisecond) {
			if allStaged(d, version) && !anyTakes(d, version) {
				return version, named, nil
			}
		}
		d.rec.say("a runner takes version %d before its pieces lie at all of them", version)
		for !allHold(d, version) && time.Since(named) < takeLimit && sleep(ctx, 100*time.Millisecond) {
		}
		sleep(ctx, time.Second)
	}
	return 0, time.Time{}, errNotStaged
}

// anyTakes returns whether a runner holds a version or is about to.
func anyTakes(d *deployment, version int64) bool {
	return slices.ContainsFunc(d.models(), func(r *runner) bool { return r.isBusy() || r.held() == version })
}

// allHold returns whether all runners hold a version.
func allHold(d *deployment, version int64) bool {
	return !slices.ContainsFunc(d.models(), func(r *runner) bool { return r.held() != version })
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
