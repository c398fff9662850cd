package balance

import (
	"sync/atomic"
	"time"
)

// atomicTime is a time that several goroutines store and load; initially zero. It uses the
// monotonic clock: the wall clock can jump by seconds, which would make all endpoints look
// idle or recently active at once.
type atomicTime struct {
	// nanos is the time since epoch in nanoseconds, or 0 if no time is stored.
	nanos atomic.Int64
}

// epoch is earlier than any time stored in an atomicTime.
var epoch = time.Now().Add(-time.Hour)

func (m *atomicTime) store(now time.Time) {
	m.nanos.Store(int64(now.Sub(epoch)))
}

// load returns the stored time, or the zero time.
func (m *atomicTime) load() time.Time {
	n := m.nanos.Load()
	if n == 0 {
		return time.Time{}
	}
	return epoch.Add(time.Duration(n))
}
