package swarm

import (
	"context"
	"errors"
	"time"
)

// How a member obtains chunks for its region.
const (
	// originParallel is how many chunks a member reads from the origin at once: one may
	// stall.
	originParallel = 2
	// defaultPatience is how often a chunk is left to a member that says it is about to
	// read it: enough for that member's longest backoff.
	defaultPatience = 10
	// maxPostponedFar is the same for a member of another region. It is much less, so that
	// of two members who wait for each other one gives up first.
	maxPostponedFar = 2
	// postponeDivisor makes a chunk be left alone for half the lateness, or half of what a
	// member that stalls takes to be found out.
	postponeDivisor = 2
	// farPollDivisor makes the first reader of a region ask again for a chunk that another
	// region reads after a fifth of the lateness: all VMs of its region wait for it.
	farPollDivisor = 5
)

// startDue begins to obtain the chunks whose time has come: those that this region reads
// first of all, and beside them those that it asks for elsewhere, so that the asking does
// not keep the origin's link idle.
func (d *Download) startDue(ctx context.Context) {
	d.startDueOf(ctx, true)
	d.startDueOf(ctx, false)
}

// startDueOf begins to obtain due chunks whose home reader is in this region, or those of
// other regions.
func (d *Download) startDueOf(ctx context.Context, home bool) {
	now := time.Now()
	s := &d.schedule
	parallel := originParallel
	if s.faults > 0 || d.link.Congested() {
		parallel = 1
	}
	prompt := d.prompt()
	for c := range s.due {
		if s.countReading(home) >= parallel {
			return
		}
		if d.cfg.FirstCopies && !s.firstOfAll(c) {
			continue
		}
		if s.home[c] != home || now.Before(s.due[c]) || d.avail.have[c] || s.reading[c] || d.avail.expected(c, prompt) {
			continue
		}
		s.reading[c] = true
		d.inflight.Add(1)
		go d.obtain(ctx, c, s.earlier[c], s.rank[c])
	}
}

// countReading returns how many chunks are being obtained whose home reader is in this
// region, or in another.
func (s *schedule) countReading(home bool) int {
	n := 0
	for c := range s.reading {
		if s.home[c] == home {
			n++
		}
	}
	return n
}

// obtain gets chunk c from the members that should read it earlier, or else from
// the origin.
func (d *Download) obtain(ctx context.Context, c int, earlier []Member, rank int) {
	defer d.inflight.Done()
	defer d.signal()
	defer func() {
		d.mu.Lock()
		delete(d.schedule.reading, c)
		delete(d.schedule.fromOrigin, c)
		d.mu.Unlock()
	}()
	for _, m := range earlier {
		d.mu.Lock()
		passed := d.barred(m) || d.lags(m)
		d.mu.Unlock()
		if passed {
			continue
		}
		switch d.askReader(ctx, c, m) {
		case readerGave:
			return
		case readerIsReading:
			if d.mayPostpone(c, m) {
				d.postpone(c)
				return
			}
		case readerLacks:
		}
	}
	if d.originFails() && d.askOtherRegions(ctx, c) {
		return
	}
	if d.waitsForFirstCopy(c) {
		d.postpone(c)
		return
	}
	d.readOrigin(ctx, c, rank)
}

// waitsForFirstCopy returns whether chunk c is left to the region that reads it first.
func (d *Download) waitsForFirstCopy(c int) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return time.Now().Before(d.schedule.originAt[c])
}

// readerAnswer is what a member says that should have read a chunk.
type readerAnswer int

// The answers.
const (
	// readerLacks means that the member does not have the chunk, or can't be asked.
	readerLacks readerAnswer = iota
	// readerGave means that the chunk came and is as it should be.
	readerGave
	// readerIsReading means that the chunk may be had there soon.
	readerIsReading
)

// askReader asks m, who should have read chunk c from the origin, for it. One that does
// not answer in time may be reading; it is passed over from then on.
func (d *Download) askReader(ctx context.Context, c int, m Member) readerAnswer {
	actx, cancel := context.WithTimeout(ctx, d.readerLimit())
	defer cancel()
	b, _, err := d.getChunk(actx, m, c)
	var refused *RefusalError
	if errors.As(err, &refused) && refused.Refusal != RefusalAbsent {
		return readerIsReading
	}
	if errors.Is(err, context.DeadlineExceeded) && ctx.Err() == nil {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.lag(m)
		return readerIsReading
	}
	if err != nil {
		return readerLacks
	}
	n := len(b)
	_, err = d.set.Put(c, b)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.countPeer(m, n)
	if err != nil {
		d.blame(m)
		return readerLacks
	}
	d.avail.have[c] = true
	return readerGave
}

// readerLimit returns how long a reader may take to answer with a chunk.
func (d *Download) readerLimit() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.link.Congested() {
		return max(d.cfg.MinTimeout, slowFactor*d.link.Usual())
	}
	return d.cfg.MinTimeout
}

// postpone leaves chunk c alone for half the lateness, or for half of what a
// member that stalls takes to be found out.
func (d *Download) postpone(c int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.delays.Postponed++
	if !time.Now().Before(d.schedule.originAt[c]) {
		d.schedule.postponed[c]++
	}
	step := max(d.cfg.lateness(d.set.Manifest().Size), d.cfg.MinTimeout) / postponeDivisor
	if !d.schedule.home[c] && d.schedule.rank[c] == 0 {
		step = d.cfg.lateness(d.set.Manifest().Size) / farPollDivisor
	}
	d.schedule.due[c] = time.Now().Add(step)
}

// mayPostpone returns whether chunk c may be left to m once more.
func (d *Download) mayPostpone(c int, m Member) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if m.Region != d.self.Region {
		return d.schedule.postponed[c] < maxPostponedFar
	}
	return d.schedule.postponed[c] < d.cfg.Patience
}
