package stage

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"
)

// maySwitch returns whether this endpoint may switch to want now, and its lease. A lease is
// requested from the earliest permitted time on. Without one, the endpoint switches at its
// individual time or, if a lease will be available later, at the latest permitted time. The time
// limit counts from the version that first superseded the running one, whichever version is loaded
// in the end.
func (s *Stager) maySwitch(ctx context.Context, model string, report *Report, want target) (Lease, bool) {
	period, replaced := s.changePeriod(model, report.Version(model), want.completedAt)
	if !replaced {
		return Lease{}, true
	}
	now := time.Now()
	switch {
	case !now.Before(period.End):
		return Lease{}, true // no request may begin on the old weights
	case now.Before(period.First):
		return Lease{}, false
	}
	if !now.Before(period.Last) && s.leaseAskedAt.Before(period.Last) {
		s.leaseRetryAt = now // a last request
	}
	s.requestLease(ctx, model, report, want, period.Last)
	if s.lease.Granted {
		lease := s.lease
		s.lease.Granted = false
		return lease, true
	}
	if !time.Now().Before(period.Last) {
		return Lease{Scheduled: s.lease.Scheduled, Drain: LeasedDrain(s.cfg.Fleet.Capacity())}, true
	}
	at := period.At(s.switchOffset(model))
	switch {
	case FollowsSchedule(s.lease):
		at = period.Last
	case s.lease.AvailableLater:
		at = period.Latest
	}
	return Lease{}, !time.Now().Before(at)
}

// changePeriod returns the period in which the endpoint changes from version held, which it may do at once
// if nothing is loaded or if no newer version is known. completed is when the next weights became complete.
func (s *Stager) changePeriod(model string, held int64, completed time.Time) (ChangePeriod, bool) {
	naming, replaced := s.history.Replaced(model, held)
	switch {
	case held == 0 || !replaced:
		return ChangePeriod{}, false
	case naming.TimeUnknown:
		return FoundPeriod(s.startedAt, naming.At, s.cfg.ContactTime, completed), true
	}
	return NamedPeriod(naming.At, s.cfg.VersionLimit, completed), true
}

// switchOffset returns the endpoint's position in the switching period, in [0, 1). It is
// a hash, so that it stays the same after a restart.
func (s *Stager) switchOffset(model string) float64 {
	return float64(xxhash.Sum64String(model+"\x00"+s.cfg.Self.VM)) / (1 << 64)
}

// requestLease requests a load lease for the endpoint, no more often than the last answer permits.
func (s *Stager) requestLease(ctx context.Context, model string, report *Report, want target, last time.Time) {
	now := time.Now()
	if now.Before(s.leaseRetryAt) {
		return
	}
	held := report.Version(model)
	drain := LeasedDrain(s.cfg.Fleet.Capacity())
	lease := s.cfg.Fleet.RequestLoadLease(ctx, LeaseRequest{
		Model: model, Held: held, For: drain + maxLoadTime, Remaining: last.Sub(now), Drain: drain,
		NewerIn: s.newerIn(model, want), Running: report.Running + report.Queued, DrainsAhead: true,
	})
	s.leaseAskedAt, s.leaseRetryAt = now, now.Add(lease.RetryAfter)
	if !lease.Granted {
		s.leasesRefused++
	}
	s.lease = lease
}

// newerIn returns the expected time until a version newer than t is complete, or 0 if there is none or
// nothing can be said because the origin fails.
func (s *Stager) newerIn(model string, t target) time.Duration {
	newest := s.target(model)
	if newest.version <= t.version || s.originStatus.Failing() {
		return 0
	}
	d := Download{Named: newest.firstSeen}
	if set := s.holdings.lookup(model, newest.version); set != nil {
		d.Have, d.Total = set.Len(), len(set.Manifest().Chunks)
	}
	return TimeToComplete(d, Download{Named: t.firstSeen, Completed: t.completedAt}, time.Now())
}
