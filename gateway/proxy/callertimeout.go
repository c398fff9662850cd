package proxy

import (
	"sync"
	"time"
)

const (
	// timeoutWindow is how long, at least, the longest timeout is remembered. It is several
	// times as long as a caller may wait before it retries after a refusal.
	timeoutWindow = 30 * time.Second
	// maxTimeoutKeys limits the number of groups tracked in one window, and so the memory to a
	// few megabytes.
	maxTimeoutKeys = 20_000
)

// timeoutKey identifies a group of callers. Callers of one client account usually send the same
// timeout on a route.
type timeoutKey struct {
	route, account string
}

// timeoutTracker estimates how long callers have been waiting. It remembers the longest timeout
// of each group: a caller that sends a shorter one has spent the difference on earlier tries. It
// is safe for concurrent use.
type timeoutTracker struct {
	mu sync.Mutex
	// current holds the longest timeouts of the current window, previous those of the one
	// before.
	current, previous map[timeoutKey]time.Duration
	// windowStart is when the current window began.
	windowStart time.Time
}

func newTimeoutTracker() *timeoutTracker {
	return &timeoutTracker{current: map[timeoutKey]time.Duration{}}
}

// elapsed records that a caller of group k sent the remaining timeout d, and returns how long
// the caller has been waiting already.
func (t *timeoutTracker) elapsed(k timeoutKey, d time.Duration, now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if now.Sub(t.windowStart) >= timeoutWindow {
		t.current, t.previous, t.windowStart = map[timeoutKey]time.Duration{}, t.current, now
	}
	if d > t.current[k] && (t.current[k] > 0 || len(t.current) < maxTimeoutKeys) {
		t.current[k] = d
	}
	return max(t.current[k], t.previous[k], d) - d
}
