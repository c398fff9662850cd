package swarm

import (
	"sync"
	"time"
)

// outageFaults is the number of consecutive failed reads from which the origin counts as
// failing. A single read may break off although the origin answers others.
const outageFaults = 2

// lastingFault is the time after a failed read from which the origin counts as failing if no
// read has succeeded since.
const lastingFault = 500 * time.Millisecond

// relapseTime is how long after the end of an outage a single failed read shows that it lasts.
const relapseTime = time.Second

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
	// resumedAt is when the origin last seemed to answer again after an outage.
	resumedAt time.Time
}

// Failing reports whether the last reads from the origin failed.
func (o *OriginStatus) Failing() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.failing()
}

// failing is Failing for a caller that holds the lock.
func (o *OriginStatus) failing() bool {
	return o.faults >= outageFaults || (o.faults > 0 && time.Since(o.failedAt) >= lastingFault)
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

// Pauses of a failing origin's readers.
const (
	// probeInterval is the mean interval at which a fleet tries a failing origin, whose return is
	// then noticed within a fraction of a chunk's time.
	probeInterval = 15 * time.Millisecond
	// maxRetryPause limits the pause of one member.
	maxRetryPause = time.Second
)

// RetryPause returns how long the reader of a chunk pauses after a failed read, where unknown is
// the number of chunks that no known member holds, and shortest the lower limit. Each of these
// chunks has a reader that tries the origin, so that few of them have to try it more often.
func RetryPause(unknown int, shortest time.Duration) time.Duration {
	return min(max(time.Duration(unknown)*probeInterval, shortest), max(shortest, maxRetryPause))
}

// NextTry returns how long after a failed read, which was since after the naming, the reader of a
// missing chunk tries the origin again. Missing chunks take turns in each pause by their place among
// them, a part of 1, so that a fleet's tries are evenly spaced. It waits for shortest at least.
func NextTry(since, pause, shortest time.Duration, place float64) time.Duration {
	if pause <= 0 {
		return shortest
	}
	at := time.Duration(place * float64(pause))
	return shortest + ((at-since-shortest)%pause+pause)%pause
}

// recordFailure suspends reads for pause.
func (o *OriginStatus) recordFailure(pause time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.faults++
	if time.Since(o.resumedAt) < relapseTime {
		o.faults = max(o.faults, outageFaults)
	}
	o.failedAt = time.Now()
	o.retryAt = o.failedAt.Add(pause)
}

// nextTry returns when the origin may be read again.
func (o *OriginStatus) nextTry() time.Time {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.retryAt
}

// recordEndOfStall records the end of an outage that no failed read may have shown here.
func (o *OriginStatus) recordEndOfStall() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.resumedAt = time.Now()
	o.faults = 0
	o.retryAt = time.Time{}
}

// recordSuccess records a successful read.
func (o *OriginStatus) recordSuccess() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.resume()
}

// recordHint records that another member seems to have read from the origin. It has no effect
// within minPause of the last failed read.
func (o *OriginStatus) recordHint(minPause time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.failing() && time.Since(o.failedAt) >= minPause {
		o.resume()
	}
}

// resume ends the suspension of reads. The caller holds the lock.
func (o *OriginStatus) resume() {
	if o.failing() {
		o.resumedAt = time.Now()
	}
	o.faults = 0
	o.retryAt = time.Time{}
}

// resumed returns when the origin last seemed to answer again after an outage.
func (o *OriginStatus) resumed() time.Time {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.resumedAt
}

// returned returns when the origin began to answer again after an outage, if that takes lag to become
// known: not before the last failed read here.
func (o *OriginStatus) returned(lag time.Duration) time.Time {
	o.mu.Lock()
	defer o.mu.Unlock()
	return latest(o.resumedAt.Add(-lag), o.failedAt)
}
