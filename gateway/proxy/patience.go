package proxy

import (
	"sync"
	"time"
)

const (
	// patienceWindow is for how long at least the longest patience of callers is
	// remembered: several times as long as a caller may stay away after a refusal.
	patienceWindow = 30 * time.Second
	// maxPatienceKeys bounds the callers that are told apart in one window, some megabytes
	// of memory.
	maxPatienceKeys = 20_000
)

// patienceKey is whose callers are told apart: those of a client account usually wait
// equally long on a route.
type patienceKey struct {
	route, account string
}

// patience remembers the longest time that callers said they wait. One who says less has
// spent the rest on earlier tries. It is safe for concurrent use.
type patience struct {
	mu sync.Mutex
	// longest are the longest times of this window, earlier those of the window before.
	longest, earlier map[patienceKey]time.Duration
	// began is when this window began.
	began time.Time
}

func newPatience() *patience {
	return &patience{longest: map[patienceKey]time.Duration{}}
}

// spent notes that a caller of k waits for d from now on, and returns how long it has
// waited already.
func (p *patience) spent(k patienceKey, d time.Duration, now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Sub(p.began) >= patienceWindow {
		p.longest, p.earlier, p.began = map[patienceKey]time.Duration{}, p.longest, now
	}
	if d > p.longest[k] && (p.longest[k] > 0 || len(p.longest) < maxPatienceKeys) {
		p.longest[k] = d
	}
	return max(p.longest[k], p.earlier[k], d) - d
}
