// Package congestion tells by the times of chunks whether a VM's own link is narrower
// than it should be. What else the link carries, such as requests, waits behind the
// chunks then.
package congestion

import (
	"sync"
	"time"
)

const (
	// limitFactor is how many times longer than on a free link a chunk may take before the
	// link counts as congested.
	limitFactor = 4
	// smoothing is the weight of the newest sample in the usual time: about the last five
	// count.
	smoothing = 0.2
)

// Meter measures the times of chunks. One is shared by all downloads of a VM, one
// after the other and at once: each that began to measure anew would fill a narrow link with
// several chunks before its first sample, and requests wait behind them. It is safe for
// concurrent use.
type Meter struct {
	// free is the time of a chunk on a free link; 0 means unknown.
	free time.Duration

	mu sync.Mutex
	// underWay counts the chunks that share the link now.
	underWay int
	// usual is the time of a chunk, shared out among those under way together.
	usual time.Duration
}

// New returns a Meter of a link of linkRate bytes a second, 0 if that is not known,
// for chunks of chunkSize bytes.
func New(linkRate float64, chunkSize int64) *Meter {
	if linkRate <= 0 {
		return &Meter{}
	}
	return &Meter{free: time.Duration(float64(chunkSize) / linkRate * float64(time.Second))}
}

// Begin notes that a chunk is asked for.
func (m *Meter) Begin() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.underWay++
}

// End notes that it came, or is given up, and returns how many were under way with it.
func (m *Meter) End() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	together := m.underWay
	m.underWay--
	return together
}

// Took takes in that a chunk took d, or was given up after d, while together
// chunks were under way.
func (m *Meter) Took(d time.Duration, together int) {
	share := d / time.Duration(max(together, 1))
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.usual == 0 {
		m.usual = share
	}
	m.usual += time.Duration(smoothing * float64(share-m.usual))
}

// Usual returns the time of a chunk that comes alone.
func (m *Meter) Usual() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.usual
}

// Congested returns whether chunks should come one at a time.
func (m *Meter) Congested() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.free > 0 && m.usual > limitFactor*m.free
}

// PassOver returns whether the neighbours that lag are to be passed over. Over a narrow
// link of the VM's own several seem to lag, and nobody is: it would have nobody left to
// ask but the origin.
func PassOver(lagging, neighbours int, congested bool) bool {
	return lagging <= 1 || (!congested && 2*lagging <= neighbours)
}
