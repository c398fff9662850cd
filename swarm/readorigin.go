package swarm

import (
	"context"
	"errors"

	"github.com/silverdeck/silverdeck/origin"
)

// maxOriginCorrupt is how many corrupt copies of a chunk from the origin make a member say
// that it is blocked.
const maxOriginCorrupt = 3

// readOrigin reads chunk c from the origin within this member's budget.
func (d *Download) readOrigin(ctx context.Context, c, rank int) {
	off, n := d.set.Manifest().Range(c)
	if !d.mayRead(c, n) {
		d.postpone(c)
		return
	}
	if err := d.schedule.limiter.WaitN(ctx, int(n)); err != nil {
		return
	}
	b, err := d.origin.ReadChunk(ctx, off, n)
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		d.originFailed(err, int64(len(b)), n)
		return
	}
	_, err = d.set.Put(c, b)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.stats.OriginBytes += n
	if err != nil {
		d.originCorrupt(c)
		return
	}
	if d.schedule.faults > 0 {
		d.schedule.faults = 0
		d.schedule.beginAnew(d)
	}
	d.avail.have[c] = true
	d.stats.Blocked = ""
	if rank > 0 {
		d.stats.Takeovers++
	}
}

// mayRead takes the n bytes of chunk c from the quota, if there are as many and the
// origin may be asked now.
func (d *Download) mayRead(c int, n int64) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.schedule.open(n) {
		d.explainClosed(n)
		return false
	}
	d.schedule.quota -= n
	d.schedule.fromOrigin[c] = true
	return true
}

// Reasons why a download is blocked.
const (
	blockedChanged = "the origin no longer has this version; the rest can only come from other VMs"
	blockedBudget  = "this member's share of the origin's budget is used up"
	blockedCorrupt = "the origin's bytes do not match the manifest"
)

// explainClosed notes why the origin may not be asked. The caller holds the lock.
func (d *Download) explainClosed(n int64) {
	switch {
	case d.schedule.changed:
		d.stats.Blocked = blockedChanged
	case d.schedule.quota < n:
		d.stats.Blocked = blockedBudget
	}
}

// originFailed notes a fault of the origin after read of n bytes, and backs off.
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
	// It is the origin's fault that chunks are late, and no other member's.
	s.beginAnew(d)
	s.backOff(d)
}

// originCorrupt notes a corrupt chunk from the origin. The caller holds the lock.
func (d *Download) originCorrupt(c int) {
	s := &d.schedule
	d.stats.CorruptOrigin++
	s.corrupt[c]++
	s.backOff(d)
	if s.corrupt[c] >= maxOriginCorrupt {
		d.stats.Blocked = blockedCorrupt
	}
}
