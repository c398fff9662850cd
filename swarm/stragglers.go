package swarm

import (
	"time"

	"github.com/silverdeck/silverdeck/swarm/congestion"
)

// A straggler is a member that replies late because its link is narrow or because it stopped
// without notice. Every member is the first reader of some chunks, and for a while the only
// holder of those it has read, so a single straggler would delay its whole region. Stragglers
// are skipped for a while.

// stragglerSkipTime is how long a straggler is skipped. It is a large part of the duration of
// a download, so that each member detects a straggler only once or twice per download.
const stragglerSkipTime = 3 * time.Second

// stragglerThreshold returns after how long a requested chunk is late, given the expected
// chunk time and the minimum timeout. With a lower threshold, the only holder of a chunk would
// count as a straggler when all other members request the chunk and queue on its link, even
// though the link is not narrow, and the chunk would be read from the origin twice.
func stragglerThreshold(expected, minTimeout time.Duration) time.Duration {
	return max(slowFactor*expected, minTimeout)
}

// stragglerSet maps the VM of each straggler to the time until which it is skipped.
type stragglerSet map[string]time.Time

// markStraggler marks m as a straggler. The caller holds the lock.
func (d *Download) markStraggler(m Member) {
	d.stragglers[m.VM] = time.Now().Add(stragglerSkipTime)
}

// skips reports whether m is to be skipped as a straggler. The caller holds the lock.
func (d *Download) skips(m Member) bool {
	until, ok := d.stragglers[m.VM]
	return ok && time.Now().Before(until) &&
		congestion.ShouldSkip(d.countStragglers(), len(d.avail.neighbours), d.link.Congested())
}

// promptNeighbours returns the bit mask of the neighbours that are not skipped as stragglers.
// The caller holds the lock.
func (d *Download) promptNeighbours() uint32 {
	var mask uint32
	for i := range d.avail.neighbours {
		if !d.skips(d.avail.neighbours[i].member) {
			mask |= 1 << i
		}
	}
	return mask
}

// countStragglers returns the number of stragglers. The caller holds the lock.
func (d *Download) countStragglers() int {
	n := 0
	now := time.Now()
	for _, until := range d.stragglers {
		if now.Before(until) {
			n++
		}
	}
	return n
}
