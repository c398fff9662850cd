package swarm

import (
	"context"
	"errors"
	"time"
)

// Timeouts of chunk requests to neighbours, relative to the expected chunk time.
const (
	// slowFactor times the expected chunk time is when a chunk is requested from a second
	// neighbour.
	slowFactor = 3
	// stallFactor times the expected chunk time is when a request times out.
	stallFactor = 8
	// busyDivisor sets the pause after a busy neighbour refused a request to half of the
	// expected chunk time.
	busyDivisor = 2
	// smoothing is the weight of the newest sample in the moving average of chunk times:
	// about the last five samples count.
	smoothing = 0.2
)

// fetchMore requests chunks from neighbours up to the limit of parallel requests.
// The caller holds the lock.
func (d *Download) fetchMore(ctx context.Context) {
	now := time.Now()
	for d.outstanding()+d.schedule.countReading(false) < d.parallel() {
		c, i, ok := d.avail.pick(now, d.cfg.PerNeighbour, slowFactor*d.expectedChunkTime())
		if !ok {
			return
		}
		d.avail.begin(c, i, now)
		d.inflight.Add(1)
		late := stragglerThreshold(d.expectedChunkTime(), d.cfg.MinTimeout)
		go d.fetch(ctx, c, i, d.avail.neighbours[i].member, late, d.chunkTimeout())
	}
}

// parallel returns how many chunks may be requested from other VMs at once: from
// neighbours and from the readers of other regions. The caller holds the lock.
func (d *Download) parallel() int {
	if d.link.Congested() {
		return max(1-len(d.schedule.reading), 0)
	}
	return d.cfg.Parallel
}

// outstanding returns the number of requests to neighbours in flight.
// The caller holds the lock.
func (d *Download) outstanding() int {
	n := 0
	for i := range d.avail.neighbours {
		n += d.avail.neighbours[i].outstanding
	}
	return n
}

// expectedChunkTime returns the moving average of the time that a chunk from a neighbour
// takes, with a lower bound. The caller holds the lock.
func (d *Download) expectedChunkTime() time.Duration {
	return max(d.meanChunkTime, d.cfg.MinTimeout/stallFactor)
}

// chunkTimeout returns the timeout of a chunk request to a neighbour. If this VM's own link
// is congested, the timeout also allows for the time that earlier chunks took on it: shorter
// timeouts wasted the link's bandwidth on abandoned chunks, and the VM received none while
// the link was narrow. The caller holds the lock.
func (d *Download) chunkTimeout() time.Duration {
	limit := stallFactor * d.expectedChunkTime()
	if d.link.Congested() {
		limit = max(limit, slowFactor*d.link.MeanTime())
	}
	return limit
}

// fetch requests chunk c from neighbour i, with limit as the timeout. If no reply has come
// after late, the neighbour is marked as a straggler.
func (d *Download) fetch(ctx context.Context, c, i int, m Member, late, limit time.Duration) {
	defer d.inflight.Done()
	began := time.Now()
	defer time.AfterFunc(late, func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.markStraggler(m)
	}).Stop()
	fctx, cancel := context.WithTimeout(ctx, limit)
	b, concurrent, err := d.getChunk(fctx, m, c, false)
	cancel()
	took := time.Since(began)
	if ctx.Err() != nil {
		return
	}
	var refused *RefusalError
	d.mu.Lock()
	if !errors.As(err, &refused) {
		d.link.Observe(d.linkSample(took, err), concurrent)
	}
	d.avail.end(c, i)
	d.mu.Unlock()
	defer d.signal()
	switch {
	case err == nil:
		d.handleChunk(c, i, m, b, took, took < late)
	case errors.As(err, &refused):
		d.handleRefusal(c, i, m, refused)
	default:
		d.handleFailure(c, i, m, err)
	}
}

// linkSample returns the sample for the link meter from a request that took the given time.
// A failed request is capped at MinTimeout, since the chunk may never have been sent:
// otherwise each unresponsive neighbour would lengthen the timeout of the next request.
func (d *Download) linkSample(took time.Duration, err error) time.Duration {
	if err == nil {
		return took
	}
	return min(took, d.cfg.MinTimeout)
}

// getChunk requests chunk c from m. It also returns the number of requests, including this
// one, that shared this VM's link when it ended.
func (d *Download) getChunk(ctx context.Context, m Member, c int, firstCopy bool) ([]byte, int, error) {
	d.link.Begin()
	_, size := d.set.Manifest().Range(c)
	b, err := d.peers.Chunk(ctx, m, ChunkRequest{Root: d.set.Root(), Chunk: c, FirstCopy: firstCopy, MaxBytes: size})
	return b, d.link.End(), err
}

// handleChunk stores chunk c from neighbour i if its digest matches the manifest.
func (d *Download) handleChunk(c, i int, m Member, b []byte, took time.Duration, prompt bool) {
	n := len(b)
	_, err := d.set.Put(c, b)
	d.mu.Lock()
	d.countPeerBytes(m, n)
	if err != nil {
		d.avail.holders[c] &^= 1 << i
		d.recordCorrupt(m)
		d.mu.Unlock()
		d.recordFailure(i, m)
		return
	}
	defer d.mu.Unlock()
	d.avail.have[c] = true
	if prompt {
		delete(d.stragglers, m.VM)
	}
	d.stats.Blocked = ""
	if d.meanChunkTime == 0 {
		d.meanChunkTime = took
	}
	d.meanChunkTime += time.Duration(smoothing * float64(took-d.meanChunkTime))
	if d.avail.neighbours[i].member == m {
		d.avail.neighbours[i].failures = 0
	}
}

// countPeerBytes adds n bytes received from m to the statistics. The caller holds the lock.
func (d *Download) countPeerBytes(m Member, n int) {
	d.stats.PeerBytes += int64(n)
	if m.Region != d.self.Region {
		d.delays.OtherRegionBytes += int64(n)
	}
}

// recordCorrupt counts a corrupt chunk from m. The caller holds the lock.
func (d *Download) recordCorrupt(m Member) {
	d.stats.CorruptPeer++
	d.corrupt[m.VM]++
}

// banned reports whether m has sent maxCorrupt corrupt chunks. The caller holds the lock.
func (d *Download) banned(m Member) bool {
	return d.corrupt[m.VM] >= maxCorrupt
}

// handleRefusal handles neighbour i declining to send chunk c. Unlike a failure, a refusal
// does not count against the neighbour.
func (d *Download) handleRefusal(c, i int, m Member, e *RefusalError) {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := &d.avail.neighbours[i]
	if n.member != m {
		return
	}
	if e.Refusal == RefusalBusy {
		n.retryAt = time.Now().Add(d.expectedChunkTime() / busyDivisor)
		return
	}
	d.avail.holders[c] &^= 1 << i
}

// handleFailure handles a request for chunk c to neighbour i that failed or timed out.
func (d *Download) handleFailure(c, i int, m Member, err error) {
	d.mu.Lock()
	if errors.Is(err, context.DeadlineExceeded) {
		d.stats.Stalled++
	}
	d.avail.holders[c] &^= 1 << i
	d.mu.Unlock()
	d.recordFailure(i, m)
}
