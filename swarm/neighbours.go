package swarm

import (
	"context"
	"slices"
	"time"

	"github.com/silverdeck/silverdeck/wait"
)

// Polling and replacement of neighbours.
const (
	// haveTimeout is the timeout of a Have call. The callee itself waits up to a second for
	// new chunks.
	haveTimeout = 5 * time.Second
	// failureBackoff is the pause in requests to a neighbour after a failure, multiplied by
	// the number of consecutive failures.
	failureBackoff = 500 * time.Millisecond
	// maxFailures is the number of consecutive failures after which a neighbour is replaced.
	maxFailures = 3
	// probeDivisor sets the shortest time between two attempts at a failing origin to half of
	// the takeover delay.
	probeDivisor = 2
	// maxCorrupt is the number of corrupt chunks after which a member is banned for the rest
	// of the download. A single one may be accidental.
	maxCorrupt = 2
)

// unusedCandidates returns the candidates that are neither active neighbours nor banned.
func (d *Download) unusedCandidates() []Member {
	var out []Member
	for _, m := range candidates(d.set.Root(), d.self, d.members, d.cfg.Degree) {
		used := slices.ContainsFunc(d.avail.neighbours, func(n neighbour) bool { return n.member.VM == m.VM && n.active })
		if !used && !d.banned(m) {
			out = append(out, m)
		}
	}
	return out
}

// fillNeighbours fills free neighbour slots with standby members. The caller holds the lock.
func (d *Download) fillNeighbours(ctx context.Context) {
	for i := range d.avail.neighbours {
		if !d.avail.neighbours[i].active && d.avail.neighbours[i].outstanding == 0 && len(d.standby) > 0 {
			d.replaceNeighbour(ctx, i)
		}
	}
	for len(d.avail.neighbours) < d.cfg.Degree && len(d.standby) > 0 {
		d.avail.neighbours = append(d.avail.neighbours, neighbour{})
		d.replaceNeighbour(ctx, len(d.avail.neighbours)-1)
	}
}

// replaceNeighbour puts the next standby member into slot i and starts to poll it.
// The caller holds the lock.
func (d *Download) replaceNeighbour(ctx context.Context, i int) {
	m := d.standby[0]
	d.standby = d.standby[1:]
	d.avail.clearHoldings(i)
	d.avail.neighbours[i] = neighbour{member: m, active: true}
	d.inflight.Add(1)
	go d.pollHoldings(ctx, i, m)
}

// pollHoldings polls neighbour i for the chunks that it holds until it is replaced.
func (d *Download) pollHoldings(ctx context.Context, i int, m Member) {
	defer d.inflight.Done()
	since := 0
	for ctx.Err() == nil {
		hctx, cancel := context.WithTimeout(ctx, haveTimeout)
		chunks, err := d.peers.Have(hctx, m, d.set.Root(), since)
		cancel()
		if ctx.Err() != nil {
			return
		}
		if err == nil {
			since += len(chunks)
			if !d.recordHoldings(i, m, chunks) {
				return
			}
			continue
		}
		if d.recordFailure(i, m) {
			return
		}
		since = 0
		if !wait.For(ctx, failureBackoff) {
			return
		}
	}
}

// recordHoldings records the chunks that neighbour i newly holds. It reports whether m still
// is that neighbour.
func (d *Download) recordHoldings(i int, m Member, chunks []int) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := &d.avail.neighbours[i]
	if n.member != m || !n.active {
		return false
	}
	if len(chunks) > 0 {
		n.failures = 0
	}
	for _, c := range chunks {
		if c < 0 || c >= len(d.avail.holders) {
			continue
		}
		if !d.avail.known(c) && n.failures == 0 {
			// Somebody may have read the chunk from the origin just now.
			d.cfg.OriginStatus.recordHint(d.cfg.takeoverDelay(d.set.Manifest().Size) / probeDivisor)
			d.noteFirstCopy()
		}
		d.avail.holders[c] |= 1 << i
	}
	if len(chunks) > 0 {
		d.signal()
	}
	return true
}

// recordFailure counts a failure of neighbour i. It reports whether m no longer is that
// neighbour.
func (d *Download) recordFailure(i int, m Member) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := &d.avail.neighbours[i]
	if n.member != m || !n.active {
		return true
	}
	n.failures++
	n.retryAt = time.Now().Add(time.Duration(n.failures) * failureBackoff)
	if n.failures < maxFailures && !d.banned(m) {
		return false
	}
	d.avail.clearHoldings(i)
	n.active = false
	if len(d.standby) == 0 {
		d.standby = d.unusedCandidates()
	}
	d.signal()
	return true
}
