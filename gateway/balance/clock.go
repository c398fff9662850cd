package balance

import (
	"sync/atomic"
	"time"
)

// moment is a time that several goroutines note, first none. It is kept by the steady
// clock: by the time of day, which may be set by seconds, every endpoint would seem idle or
// fresh at once.
type moment struct {
	// since is the time since epoch, in nanoseconds, or 0.
	since atomic.Int64
}

// epoch is before anything that a moment notes.
var epoch = time.Now().Add(-time.Hour)

// note notes that it is now.
func (m *moment) note(now time.Time) {
	m.since.Store(int64(now.Sub(epoch)))
}

// last returns what was noted last, or a time long ago.
func (m *moment) last() time.Time {
	n := m.since.Load()
	if n == 0 {
		return time.Time{}
	}
	return epoch.Add(time.Duration(n))
}
