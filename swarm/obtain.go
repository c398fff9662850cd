package swarm

import (
	"context"
	"errors"
	"time"
)

// Limits on how a member obtains chunks for its region.
const (
	// originParallel is how many chunks a member reads from the origin at once. It is more
	// than one because a read may stall.
	originParallel = 2
	// defaultMaxPostponements is how often a chunk is postponed in favour of a member that
	// reports that it is going to read it. It covers that member's longest backoff.
	defaultMaxPostponements = 10
	// maxRemotePostponements is the same limit for a member of another region. It is much
	// lower, so that one of two members that wait for each other gives up first.
	maxRemotePostponements = 2
	// postponeDivisor sets the postponement to half of the takeover delay or of MinTimeout,
	// after which a stalled member is detected, whichever is longer.
	postponeDivisor = 2
	// remotePollDivisor makes the first reader of a region retry a chunk that another region
	// reads after a fifth of the takeover delay, because all VMs of its region wait for it.
	remotePollDivisor = 5
)

// startDue starts to obtain the chunks that are due. Chunks of this region's home readers and
// those of other regions are limited separately, so that requests to other regions do not
// leave the origin's link idle. The caller holds the lock.
func (d *Download) startDue(ctx context.Context) {
	d.startDueOf(ctx, true)
	d.startDueOf(ctx, false)
}

// startDueOf starts to obtain the due chunks whose home reader is in this region (home) or in
// another one. The caller holds the lock.
func (d *Download) startDueOf(ctx context.Context, home bool) {
	now := time.Now()
	s := &d.schedule
	parallel := originParallel
	if d.cfg.OriginStatus.suspect() || d.link.Congested() {
		parallel = 1
	}
	prompt := d.promptNeighbours()
	for c := range s.due {
		if s.countReading(home) >= parallel {
			return
		}
		if s.home[c] != home || now.Before(s.due[c]) || d.avail.have[c] || s.reading[c] || d.avail.obtainable(c, prompt) {
			continue
		}
		s.reading[c] = true
		d.inflight.Add(1)
		go d.obtain(ctx, c, s.earlier[c], s.rank[c])
	}
}

// countReading returns the number of chunks being obtained whose home reader is in this region
// (home) or in another one.
func (s *schedule) countReading(home bool) int {
	n := 0
	for c := range s.reading {
		if s.home[c] == home {
			n++
		}
	}
	return n
}

// obtain fetches chunk c from the members that should read it earlier, or else from the origin.
func (d *Download) obtain(ctx context.Context, c int, earlier []Member, rank int) {
	defer d.inflight.Done()
	defer d.signal()
	began := time.Now()
	defer func() {
		d.mu.Lock()
		delete(d.schedule.reading, c)
		delete(d.schedule.fromOrigin, c)
		d.mu.Unlock()
	}()
	homeReaderGone := false
	for _, m := range earlier {
		d.mu.Lock()
		passed := d.banned(m) || d.skips(m)
		d.mu.Unlock()
		if passed {
			homeReaderGone = homeReaderGone || m.Region != d.self.Region
			continue
		}
		switch d.fetchFromReader(ctx, c, m, m.Region != d.self.Region) {
		case readerDelivered:
			return
		case readerPending:
			if d.mayPostpone(c, m) {
				d.postpone(c, began)
				return
			}
		case readerUnavailable:
			homeReaderGone = homeReaderGone || m.Region != d.self.Region
		}
	}
	if homeReaderGone && rank == 0 && d.fetchFromHomeRegion(ctx, c) {
		return
	}
	if d.originUnusable() && d.fetchFromOtherRegions(ctx, c) {
		return
	}
	if d.waitsForFirstCopy(c) || !d.readOrigin(ctx, c, rank) {
		d.postpone(c, began)
	}
}

// waitsForFirstCopy reports whether this member has to leave chunk c to the region of its home
// reader for now, or the chunk's turn has been put off by the end of an outage.
func (d *Download) waitsForFirstCopy(c int) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.followOrigin()
	return time.Now().Before(d.schedule.originAt[c])
}

// readerResult is the result of requesting a chunk from a member that should have read it.
type readerResult int

const (
	// readerUnavailable means that the member does not hold the chunk, is unreachable, or
	// sent corrupt data.
	readerUnavailable readerResult = iota
	// readerDelivered means that the chunk was received and verified.
	readerDelivered
	// readerPending means that the member may have the chunk soon.
	readerPending
)

// fetchFromReader requests chunk c from m, which should have read it from the origin. A member
// that does not reply in time may still be reading the chunk, but is marked as a straggler.
// firstCopy is set if this region waits for the chunk.
func (d *Download) fetchFromReader(ctx context.Context, c int, m Member, firstCopy bool) readerResult {
	actx, cancel := context.WithTimeout(ctx, d.readerTimeout())
	defer cancel()
	b, _, err := d.getChunk(actx, m, c, firstCopy)
	var refused *RefusalError
	if errors.As(err, &refused) && refused.Refusal != RefusalAbsent {
		return readerPending
	}
	if errors.Is(err, context.DeadlineExceeded) && ctx.Err() == nil {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.markStraggler(m)
		return readerPending
	}
	if err != nil {
		return readerUnavailable
	}
	n := len(b)
	_, err = d.set.Put(c, b)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.countPeerBytes(m, n)
	if err != nil {
		d.recordCorrupt(m)
		return readerUnavailable
	}
	d.avail.have[c] = true
	return readerDelivered
}

// readerTimeout returns the timeout of a chunk request to a reader.
func (d *Download) readerTimeout() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.link.Congested() {
		return max(d.cfg.MinTimeout, slowFactor*d.link.MeanTime())
	}
	return d.cfg.MinTimeout
}

// postpone sets a later due time for chunk c, unless the turns were recomputed since the attempt
// to obtain it began; see postponeDivisor and remotePollDivisor.
func (d *Download) postpone(c int, began time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.resumedAt.After(began) {
		return
	}
	d.delays.Postponed++
	if !time.Now().Before(d.schedule.originAt[c]) {
		d.schedule.postponed[c]++
	}
	step := max(d.cfg.takeoverDelay(d.set.Manifest().Size), d.cfg.MinTimeout) / postponeDivisor
	if !d.schedule.home[c] && d.schedule.rank[c] == 0 {
		step = d.cfg.takeoverDelay(d.set.Manifest().Size) / remotePollDivisor
	}
	d.schedule.due[c] = time.Now().Add(step)
}

// mayPostpone reports whether chunk c may be postponed once more in favour of m. While the origin
// does not answer, no other member could read it either. A straggler is not waited for: it has been
// silent for longer than a read takes.
func (d *Download) mayPostpone(c int, m Member) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.cfg.OriginStatus.suspect() {
		return true
	}
	if d.skips(m) {
		return false
	}
	if m.Region != d.self.Region {
		return d.schedule.postponed[c] < maxRemotePostponements
	}
	return d.schedule.postponed[c] < d.cfg.MaxPostponements
}
