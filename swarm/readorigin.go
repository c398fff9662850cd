package swarm

import (
	"context"
	"errors"
	"time"

	"github.com/silverdeck/silverdeck/origin"
)

// maxOriginCorrupt is the number of corrupt reads of a chunk from the origin after which the
// download reports that it is blocked.
const maxOriginCorrupt = 3

// readOrigin reads chunk c from the origin within this member's quota and rate limit. It returns
// false if the chunk may not be read now.
func (d *Download) readOrigin(ctx context.Context, c, rank int) bool {
	off, n := d.set.Manifest().Range(c)
	if !d.reserveRead(c, n) {
		return false
	}
	if err := d.schedule.limiter.WaitN(ctx, int(n)); err != nil {
		return true
	}
	b, err := d.origin.ReadChunk(ctx, off, n)
	if ctx.Err() != nil {
		return true
	}
	if err != nil {
		d.originFailed(err, int64(len(b)), n)
		return true
	}
	_, err = d.set.Put(c, b)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.stats.OriginBytes += n
	if err != nil {
		d.originCorrupt(c)
		return true
	}
	d.avail.have[c] = true
	d.cfg.OriginStatus.recordSuccess()
	d.stats.Blocked = ""
	if rank > 0 {
		d.stats.Takeovers++
	}
	return true
}

// reserveRead deducts the n bytes of chunk c from the quota. It returns false if the quota is
// too small or the origin may not be read now.
func (d *Download) reserveRead(c int, n int64) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.mayReadOrigin() || !d.schedule.allowsRead(n) || !d.cfg.OriginStatus.allowsRead() {
		d.recordBlockReason(n)
		return false
	}
	d.schedule.quota -= n
	d.schedule.fromOrigin[c] = true
	return true
}

// mayReadOrigin reports whether this download may read from the origin. While the origin does
// not answer, only the version that is read first tries it. The caller holds the lock.
func (d *Download) mayReadOrigin() bool {
	return d.mode == ModeAll && (d.after == nil || !d.cfg.OriginStatus.suspect())
}

// Values of Stats.Blocked.
const (
	blockedChanged = "the origin no longer has this version; the rest can only come from other VMs"
	blockedBudget  = "this member's share of the origin's budget is used up"
	blockedCorrupt = "the origin's bytes do not match the manifest"
)

// recordBlockReason sets Stats.Blocked if the origin has another version or the quota is below n
// bytes. A backoff does not count as blocked. The caller holds the lock.
func (d *Download) recordBlockReason(n int64) {
	switch {
	case d.schedule.changed:
		d.stats.Blocked = blockedChanged
	case d.schedule.quota < n:
		d.stats.Blocked = blockedBudget
	}
}

// originFailed handles a failed origin read that returned read of n bytes, and backs off.
func (d *Download) originFailed(err error, read, n int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := &d.schedule
	s.quota += n - read
	d.stats.OriginBytes += read
	var changed *origin.ChangedError
	if errors.As(err, &changed) {
		s.changed = true
		d.stats.Blocked = blockedChanged
		return
	}
	d.stats.Blocked = "origin: " + err.Error()
	d.cfg.OriginStatus.recordFailure(d.retryPause())
	if d.cfg.OriginStatus.Failing() {
		// The origin caused the delay, not the members that should have read chunks earlier.
		s.restart(d, time.Now())
		s.tryInTurn(d)
	}
}

// retryPause returns how long this member pauses after a failed read. The caller holds the lock.
func (d *Download) retryPause() time.Duration {
	shortest := d.cfg.takeoverDelay(d.set.Manifest().Size)
	missing := d.unknown()
	pause := RetryPause(missing, shortest)
	since := time.Since(d.began.Add(-d.cfg.HeadStart))
	next, place := time.Duration(0), 0
	for c := range d.avail.have {
		if d.avail.known(c) {
			continue
		}
		if d.schedule.home[c] && d.schedule.rank[c] == 0 {
			try := NextTry(since, pause, pause/2, float64(place)/float64(missing))
			if next == 0 || try < next {
				next = try
			}
		}
		place++
	}
	if next == 0 {
		return time.Duration(d.pauseJitter() * float64(pause))
	}
	return next
}

// pauseJitter returns the factor that keeps members from retrying at the same moment. The caller
// holds the lock.
func (d *Download) pauseJitter() float64 {
	return 0.5 + d.cfg.Rand.Float64()/2
}

// noteFirstCopy records that a neighbour has a chunk that no known member held. If none had come
// for lastingFault although chunks were due, the origin has failed meanwhile, perhaps unnoticed by
// this member, which then must not go by turns from before. The caller holds the lock.
func (d *Download) noteFirstCopy() {
	since := latest(d.firstCopyAt, d.schedule.start)
	d.firstCopyAt = time.Now()
	if d.firstCopyAt.Sub(since) >= lastingFault {
		d.cfg.OriginStatus.recordEndOfStall()
	}
}

// originCorrupt handles a corrupt chunk from the origin. The chunk is read again at once, and
// after further failures with growing pauses; other chunks are not affected. The caller holds the
// lock.
func (d *Download) originCorrupt(c int) {
	s := &d.schedule
	d.stats.CorruptOrigin++
	s.corrupt[c]++
	if n := s.corrupt[c] - 1; n > 0 {
		pause := d.cfg.takeoverDelay(d.set.Manifest().Size) << min(n-1, maxBackoffShift)
		s.due[c] = time.Now().Add(time.Duration(d.pauseJitter() * float64(pause)))
	}
	if s.corrupt[c] >= maxOriginCorrupt {
		d.stats.Blocked = blockedCorrupt
	}
}
