package swarm

import (
	"context"
	"errors"
	"time"
)

// When a chunk from a neighbour is late, in usual times of a chunk.
const (
	// slowFactor is after how many a chunk is asked for once more.
	slowFactor = 3
	// stallFactor is after how many the request is given up.
	stallFactor = 8
	// busyDivisor makes a neighbour whose slots are full be left alone for half of a usual
	// time.
	busyDivisor = 2
	// smoothing is the weight of the newest sample in the usual time: about the last five
	// count.
	smoothing = 0.2
)

// fetchMore asks neighbours for chunks while there are places for them.
func (d *Download) fetchMore(ctx context.Context) {
	now := time.Now()
	for d.outstanding()+d.schedule.countReading(false) < d.parallel() {
		c, i, ok := d.avail.pick(now, d.cfg.PerNeighbour, slowFactor*d.usualTime())
		if !ok {
			return
		}
		d.avail.begin(c, i, now)
		d.inflight.Add(1)
		late := lagLimit(d.usualTime(), d.cfg.MinTimeout)
		go d.fetch(ctx, c, i, d.avail.neighbours[i].member, late, d.giveUpLimit())
	}
}

// parallel returns how many chunks may come from other VMs at once: from neighbours, and
// from the readers of other regions.
func (d *Download) parallel() int {
	if d.link.Congested() {
		return max(1-len(d.schedule.reading), 0)
	}
	return d.cfg.Parallel
}

// outstanding returns how many requests to neighbours are under way.
func (d *Download) outstanding() int {
	n := 0
	for i := range d.avail.neighbours {
		n += d.avail.neighbours[i].outstanding
	}
	return n
}

// usualTime is how long a chunk from a neighbour takes of late.
func (d *Download) usualTime() time.Duration {
	return max(d.usual, d.cfg.MinTimeout/stallFactor)
}

// giveUpLimit returns after how long a chunk from a neighbour is given up. Over a narrow
// link of one's own it is longer by what earlier chunks took there: each that was given
// up sooner filled the link for nothing, and the VM got none while the link was narrow.
func (d *Download) giveUpLimit() time.Duration {
	limit := stallFactor * d.usualTime()
	if d.link.Congested() {
		limit = max(limit, slowFactor*d.link.Usual())
	}
	return limit
}

// fetch gets chunk c from neighbour i, who lags after late. It is given up after limit.
func (d *Download) fetch(ctx context.Context, c, i int, m Member, late, limit time.Duration) {
	defer d.inflight.Done()
	began := time.Now()
	defer time.AfterFunc(late, func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.lag(m)
	}).Stop()
	fctx, cancel := context.WithTimeout(ctx, limit)
	b, together, err := d.getChunk(fctx, m, c)
	cancel()
	took := time.Since(began)
	if ctx.Err() != nil {
		return
	}
	var refused *RefusalError
	d.mu.Lock()
	if !errors.As(err, &refused) {
		d.link.Took(d.linkTime(took, err), together)
	}
	d.avail.end(c, i)
	d.mu.Unlock()
	defer d.signal()
	switch {
	case err == nil:
		d.arrived(c, i, m, b, took, took < late)
	case errors.As(err, &refused):
		d.refused(c, i, m, refused)
	default:
		d.failed(c, i, m, err)
	}
}

// linkTime returns what the time of a chunk says of the own link. One that was given up
// may never have been sent: counted whole, each silent neighbour would make the next be
// waited for longer still.
func (d *Download) linkTime(took time.Duration, err error) time.Duration {
	if err == nil {
		return took
	}
	return min(took, d.cfg.MinTimeout)
}

// getChunk asks m for chunk c. It also returns how many chunks shared this VM's link.
func (d *Download) getChunk(ctx context.Context, m Member, c int) ([]byte, int, error) {
	d.link.Begin()
	b, err := d.peers.Chunk(ctx, m, d.set.Root(), c)
	return b, d.link.End(), err
}

// arrived takes in chunk c from neighbour i, if it is as it should be.
func (d *Download) arrived(c, i int, m Member, b []byte, took time.Duration, prompt bool) {
	n := len(b)
	_, err := d.set.Put(c, b)
	d.mu.Lock()
	d.countPeer(m, n)
	if err != nil {
		d.avail.holders[c] &^= 1 << i
		d.blame(m)
		d.mu.Unlock()
		d.strike(i, m)
		return
	}
	defer d.mu.Unlock()
	d.avail.have[c] = true
	if prompt {
		delete(d.laggards, m.VM)
	}
	d.stats.Blocked = ""
	if d.usual == 0 {
		d.usual = took
	}
	d.usual += time.Duration(smoothing * float64(took-d.usual))
	if d.avail.neighbours[i].member == m {
		d.avail.neighbours[i].strikes = 0
	}
}

// countPeer counts n bytes from m. The caller holds the lock.
func (d *Download) countPeer(m Member, n int) {
	d.stats.PeerBytes += int64(n)
	if m.Region != d.self.Region {
		d.delays.OtherRegionBytes += int64(n)
	}
}

// blame notes a corrupt chunk from m. The caller holds the lock.
func (d *Download) blame(m Member) {
	d.stats.CorruptPeer++
	d.corrupt[m.VM]++
}

// barred returns whether m gave too many corrupt chunks. The caller holds the
// lock.
func (d *Download) barred(m Member) bool {
	return d.corrupt[m.VM] >= maxCorrupt
}

// refused notes that neighbour i, who is well, does not send chunk c.
func (d *Download) refused(c, i int, m Member, e *RefusalError) {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := &d.avail.neighbours[i]
	if n.member != m {
		return
	}
	if e.Refusal == RefusalBusy {
		n.until = time.Now().Add(d.usualTime() / busyDivisor)
		return
	}
	d.avail.holders[c] &^= 1 << i
}

// failed notes that chunk c did not come from neighbour i.
func (d *Download) failed(c, i int, m Member, err error) {
	d.mu.Lock()
	if errors.Is(err, context.DeadlineExceeded) {
		d.stats.Stalled++
	}
	d.avail.holders[c] &^= 1 << i
	d.mu.Unlock()
	d.strike(i, m)
}
