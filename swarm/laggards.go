package swarm

import (
	"time"

	"github.com/silverdeck/silverdeck/swarm/congestion"
)

// When a member lags: its link is narrow, or it is gone without a word. It is first
// reader of a part of the chunks and soon the only holder of some, so one such member
// would hold up its whole region. It is passed over for a while.

// lagTime is how long a member that lagged is passed over. A good part of what a version
// takes, so that each finds it out once or twice.
const lagTime = 3 * time.Second

// lagLimit returns after how long a chunk that is under way is late, by the usual time of
// a chunk and the shortest time after which one counts as stalled. Sooner, a member would
// be passed over whose link is as wide as any and has a queue, since all ask the only
// holder of a chunk, and the chunk would leave the origin twice.
func lagLimit(usual, minTimeout time.Duration) time.Duration {
	return max(slowFactor*usual, minTimeout)
}

// laggards are the members that lag, by VM, and until when they are passed over.
type laggards map[string]time.Time

// lag notes that m lags. The caller holds the lock.
func (d *Download) lag(m Member) {
	d.laggards[m.VM] = time.Now().Add(lagTime)
}

// lags returns whether m is to be passed over. The caller holds the lock.
func (d *Download) lags(m Member) bool {
	until, ok := d.laggards[m.VM]
	return ok && time.Now().Before(until) &&
		congestion.PassOver(d.lagging(), len(d.avail.neighbours), d.link.Congested())
}

// prompt returns the neighbours that do not lag. The caller holds the lock.
func (d *Download) prompt() uint32 {
	var mask uint32
	for i := range d.avail.neighbours {
		if !d.lags(d.avail.neighbours[i].member) {
			mask |= 1 << i
		}
	}
	return mask
}

// lagging returns how many members lag. The caller holds the lock.
func (d *Download) lagging() int {
	n := 0
	now := time.Now()
	for _, until := range d.laggards {
		if now.Before(until) {
			n++
		}
	}
	return n
}
