package stage

import (
	"context"
	"time"

	"github.com/silverdeck/silverdeck/wait"
	"github.com/silverdeck/silverdeck/weights"
)

// Durations and timeouts of a load.
const (
	// loadPauseDuration is how long gateways are asked to send no requests during a load. The
	// notification at its end lifts the pause early.
	loadPauseDuration = 900 * time.Millisecond
	// noticeDelay is how long requests that gateways sent before they received the pause
	// notice may be in transit: the one-way delay between regions.
	noticeDelay = 40 * time.Millisecond
	// queueTimeout is how long the drain waits for queued requests to begin.
	queueTimeout = 400 * time.Millisecond
	// queuePollInterval is the interval at which the endpoint's queue is polled while draining.
	queuePollInterval = 20 * time.Millisecond
	// orderTimeout is the timeout of a call that sends an order. It is short since the call
	// stays on the VM; an order whose answer is lost may still have been accepted, which the
	// next report shows.
	orderTimeout = 300 * time.Millisecond
	// loadPollInterval is the interval at which the endpoint is polled while it loads.
	loadPollInterval = 50 * time.Millisecond
	// maxLoadTime is the longest time that an endpoint with a lease takes from the end of its
	// drain until it runs the new weights, plus the time to stage the chunks beforehand.
	maxLoadTime = 2 * time.Second
	// loadTimeout is how long a load is awaited before the endpoint's state is evaluated
	// again.
	loadTimeout = 3 * time.Second
	// finishTimeout is that of a load for which running requests end first.
	finishTimeout = 5 * time.Second
)

// load verifies the staged chunks and orders the endpoint to load them, or those of a newer version
// that was completed meanwhile. lease is the endpoint's load lease, if it was granted one.
func (s *Stager) load(ctx context.Context, model string, want target, set *weights.Set, lease Lease) error {
	s.setLoading(model, want.version)
	defer s.setLoading(model, 0)
	if err := s.verify(ctx, model, set); err != nil {
		return err
	}
	report, err := s.report(ctx)
	if err != nil || report.Busy || report.Version(model) >= want.version {
		return err
	}
	prep, held := preparation{}, report.Version(model)
	if held != 0 {
		prep = s.prepare(ctx, model, held, report.Running, lease, want)
		if want, set, err = s.restage(ctx, model, want, set); err != nil {
			return err
		}
		// The staged chunks may have been corrupted in the meantime.
		if err := s.verify(ctx, model, set); err != nil {
			return err
		}
	}
	if !s.worthLoading(model, want.version, held == 0) {
		return nil // the preparation took too long
	}
	if err := s.orderLoad(ctx, Order{Model: model, Version: want.version, Sequence: report.Sequence, Finish: prep.finish}); err != nil {
		return err
	}
	s.cfg.Log.Info("load ordered", "model", model, "version", want.version, "sequence", report.Sequence,
		"running", report.Running, "drainMs", prep.drain.Milliseconds(), "leased", lease.Granted, "leasesRefused", s.leasesRefused, "sinceNamedMs", time.Since(want.firstSeen).Milliseconds(),
		"left", prep.left, "spare", lease.Spare, "finish", prep.finish)
	s.leasesRefused = 0
	s.recordLoadOutcome(model, want.version, s.awaitLoaded(ctx, model, want.version, prep.loadTimeout(), &Report{StartMillis: report.StartMillis, Sequence: report.Sequence + 1}))
	return nil
}

// preparation is how an endpoint that runs older weights prepared for a load.
type preparation struct {
	// drain is how long it could drain, left the number of requests that still ran then.
	drain time.Duration
	left  int
	// finish is set if these end before the load, and are cut otherwise.
	finish bool
}

// loadTimeout returns how long the load is awaited.
func (p *preparation) loadTimeout() time.Duration {
	if p.finish {
		return finishTimeout
	}
	return loadTimeout
}

// prepare keeps requests away from the endpoint, which runs version held, and drains it. A lease may
// have been granted before a version newer than want is complete.
func (s *Stager) prepare(ctx context.Context, model string, held int64, running int, lease Lease, want target) preparation {
	period, _ := s.changePeriod(model, held, want.completedAt)
	end := period.End
	if FinishesRequests(lease, time.Until(end)) {
		return preparation{finish: true, left: s.drain(ctx, 0, finishTimeout)}
	}
	drain := s.leasedDrain(model, held, running, lease)
	if !lease.Granted || s.newerIn(model, want) == 0 {
		return preparation{drain: drain, left: s.drain(ctx, drain, drain+loadPauseDuration)}
	}
	prep := preparation{drain: drain, left: s.drain(ctx, drain, drain+loadLead+loadPauseDuration)}
	s.awaitNewer(ctx, model, want, end.Add(-drainMargin))
	return prep
}

// loadCrashes counts consecutive loads of a version during which the endpoint terminated.
type loadCrashes struct {
	version int64
	count   int
	// backoffUntil is the time before which the version is not loaded again.
	backoffUntil time.Time
}

// recordLoadOutcome records whether the endpoint terminated during a load.
func (s *Stager) recordLoadOutcome(model string, version int64, crashed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !crashed {
		delete(s.crashes, model)
		return
	}
	e := s.crashes[model]
	if e.version != version {
		e = loadCrashes{version: version}
	}
	e.count++
	pause := LoadBackoff(e.count)
	e.backoffUntil = time.Now().Add(pause)
	s.crashes[model] = e
	s.cfg.Log.Warn("endpoint terminated or unreachable during load", "model", model, "version", version, "times", e.count, "pauseMs", pause.Milliseconds())
}

// inLoadBackoff returns whether loading a version is suspended because the endpoint
// terminated during earlier loads of it.
func (s *Stager) inLoadBackoff(model string, version int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.crashes[model]
	return e.version == version && time.Now().Before(e.backoffUntil)
}

// setLoading records the version of model that is about to be loaded; 0 means none.
func (s *Stager) setLoading(model string, version int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loading[model] = version
}

// orderLoad sends the endpoint a load order.
func (s *Stager) orderLoad(ctx context.Context, o Order) error {
	s.orderSem <- struct{}{}
	defer func() { <-s.orderSem }()
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	return s.cfg.Endpoint.Load(ctx, o)
}

// drainTime returns how long the endpoint, which runs version held, may drain.
func (s *Stager) drainTime(model string, held int64, running int) time.Duration {
	period, replaced := s.changePeriod(model, held, time.Time{})
	if !replaced {
		return 0
	}
	return DrainTime(s.cfg.Fleet.Capacity(), running, time.Until(period.End))
}

// leasedDrain returns how long the endpoint drains. With a lease, or if all others were scheduled to
// change before it, the drain is not shortened because of running requests: other endpoints take the
// ones that would follow.
func (s *Stager) leasedDrain(model string, held int64, running int, lease Lease) time.Duration {
	switch {
	case lease.Scheduled:
		period, _ := s.changePeriod(model, held, time.Time{})
		return max(0, min(lease.Drain, time.Until(period.End)-drainMargin))
	case !lease.Granted:
		return s.drainTime(model, held, running)
	}
	return s.drainTime(model, held, 0)
}

// drain asks gateways to stop sending requests for the time pause, waits up to limit for running
// requests to end, and returns how many are left. It waits up to queueTimeout for requests that
// gateways sent before they received the pause and that are still queued: they would begin on the
// old weights, and past their limit if this VM were suspended now.
func (s *Stager) drain(ctx context.Context, limit, pause time.Duration) (left int) {
	s.cfg.Fleet.Pause(ctx, pause)
	wait.For(ctx, noticeDelay)
	began := time.Now()
	for {
		report, err := s.report(ctx)
		waited := time.Since(began)
		queued := err != nil || report.Queued > 0
		running := err != nil || report.Running > 0
		waits := (queued && waited < queueTimeout) || (running && waited < limit)
		if err == nil {
			left = report.Running
		}
		if !waits || !wait.For(ctx, queuePollInterval) {
			return left
		}
	}
}

// awaitLoaded waits up to limit until the endpoint runs a version and notifies the gateways.
// ordered is the state right after the order was accepted; an endpoint that has restarted since
// has lost the order. It returns whether the endpoint restarted or is unreachable.
func (s *Stager) awaitLoaded(ctx context.Context, model string, version int64, limit time.Duration, ordered *Report) (restarted bool) {
	began := time.Now()
	away := false
	for time.Since(began) < limit && wait.For(ctx, loadPollInterval) {
		report, err := s.report(ctx)
		away = err != nil
		if away {
			continue
		}
		if report.Restarted(ordered) {
			return true
		}
		if report.Version(model) < version {
			continue
		}
		s.cfg.Fleet.NotifyLoaded(ctx, model, version)
		s.cfg.Log.Info("weights loaded", "model", model, "version", version, "ms", time.Since(began).Milliseconds())
		return false
	}
	return away && ctx.Err() == nil
}
