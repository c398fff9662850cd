package swarm

import (
	"sync"
	"time"
)

// outageFaults is the number of consecutive failed reads from which the origin counts as
// failing. A single read may break off although the origin answers others.
const outageFaults = 2

// OriginStatus records whether the origin answers. All downloads of a VM share one: an origin
// that fails one version fails the others as well, and a download that starts during an outage
// must not try it at once. It is safe for concurrent use.
type OriginStatus struct {
	mu sync.Mutex
	// faults counts consecutive failed reads.
	faults int
	// failedAt is the time of the last failed read.
	failedAt time.Time
	// retryAt is when the origin may be read again after a failure.
	retryAt time.Time
}

// Failing reports whether the last reads from the origin failed.
func (o *OriginStatus) Failing() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.faults >= outageFaults
}

// suspect reports whether the last read from the origin failed.
func (o *OriginStatus) suspect() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.faults > 0
}

// allowsRead reports whether the origin may be read now.
func (o *OriginStatus) allowsRead() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return !time.Now().Before(o.retryAt)
}

// recordFailure suspends reads for pause, which doubles with each consecutive failure up to
// maxBackoffShift times. jitter in [0.5, 1] keeps members from retrying at the same moment. It
// reports whether the origin counts as failing.
func (o *OriginStatus) recordFailure(pause time.Duration, jitter float64) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.faults++
	pause <<= min(o.faults-1, maxBackoffShift)
	o.failedAt = time.Now()
	o.retryAt = o.failedAt.Add(time.Duration(jitter * float64(pause)))
	return o.faults >= outageFaults
}

// recordSuccess records a successful read. It reports whether the origin was failing before.
func (o *OriginStatus) recordSuccess() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	failing := o.faults >= outageFaults
	o.faults = 0
	o.retryAt = time.Time{}
	return failing
}

// retrySoon ends the suspension of reads because another member seems to have read from the
// origin. minPause is the shortest time between two attempts.
func (o *OriginStatus) retrySoon(minPause time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if at := o.failedAt.Add(minPause); at.Before(o.retryAt) {
		o.retryAt = at
	}
}
