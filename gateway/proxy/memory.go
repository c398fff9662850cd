package proxy

import (
	"sync/atomic"

	"github.com/rcrowley/go-metrics"
)

// Memory bounds the bytes of request and response bodies that are held at the same time. It is safe
// for concurrent use. A nil Memory has no limit.
type Memory struct {
	limit int64
	used  atomic.Int64
}

// NewMemory returns a Memory of limit bytes and registers the bytes in use in r.
func NewMemory(limit int64, r metrics.Registry) *Memory {
	m := &Memory{limit: limit}
	metrics.NewRegisteredFunctionalGauge("gateway.body_bytes", r, m.Used)
	return m
}

// Used returns the bytes in use.
func (m *Memory) Used() int64 {
	if m == nil {
		return 0
	}
	return m.used.Load()
}

// acquire reserves n bytes and reports whether it did.
func (m *Memory) acquire(n int64) bool {
	if m == nil || m.used.Add(n) <= m.limit {
		return true
	}
	m.used.Add(-n)
	return false
}

func (m *Memory) release(n int64) {
	if m != nil {
		m.used.Add(-n)
	}
}

// reservation is what one request holds of a Memory.
type reservation struct {
	memory *Memory
	// needed is the sum of what add has reserved, reserved the part that was taken from memory.
	needed, reserved int64
}

// add reserves n more bytes and reports whether it did. The first bytes, up to unreserved, are not
// taken from the memory, so that short bodies are never refused.
func (r *reservation) add(n int64) bool {
	if missing := r.needed + n - unreserved - r.reserved; missing > 0 {
		step := max(missing, reservationStep)
		if !r.memory.acquire(step) {
			return false
		}
		r.reserved += step
	}
	r.needed += n
	return true
}

// release gives everything back.
func (r *reservation) release() {
	r.memory.release(r.reserved)
	r.needed, r.reserved = 0, 0
}

// Sizes of reservations, in bytes.
const (
	// unreserved is the size of the bodies of a request that are held without a reservation.
	unreserved = 32 << 10
	// reservationStep is the smallest growth of a reservation.
	reservationStep = 64 << 10
)
