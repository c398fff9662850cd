// Package congestion detects from the transfer times of chunks whether a VM's own link has
// much less bandwidth than configured. On such a link, other traffic such as requests queues
// behind the chunks.
package congestion

import (
	"sync"
	"time"
)

const (
	// limitFactor is the ratio of the mean chunk time to the baseline above which the link
	// counts as congested.
	limitFactor = 4
	// smoothing is the weight of the newest sample in the moving average: about the last
	// five samples count.
	smoothing = 0.2
)

// Meter measures the transfer times of chunks. All downloads of a VM, successive and
// concurrent, share one Meter: a download that started to measure from scratch would request
// several chunks at once over a narrow link before its first sample, and requests would queue
// behind them. It is safe for concurrent use.
type Meter struct {
	// baseline is the transfer time of a chunk on an uncongested link; 0 means unknown.
	baseline time.Duration

	mu sync.Mutex
	// inFlight is the number of chunks that share the link now.
	inFlight int
	// mean is the moving average of the transfer time of a chunk, divided by the number of
	// chunks in flight at the same time.
	mean time.Duration
}

// New returns a Meter for chunks of chunkSize bytes on a link of linkRate bytes per second.
// A linkRate of 0 means unknown; such a link never counts as congested.
func New(linkRate float64, chunkSize int64) *Meter {
	if linkRate <= 0 {
		return &Meter{}
	}
	return &Meter{baseline: time.Duration(float64(chunkSize) / linkRate * float64(time.Second))}
}

// Begin records the start of a chunk request.
func (m *Meter) Begin() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.inFlight++
}

// End records that a chunk request has completed or was abandoned. It returns the number of
// requests in flight before it ended, including this one.
func (m *Meter) End() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	concurrent := m.inFlight
	m.inFlight--
	return concurrent
}

// Observe adds a sample: a chunk was received or abandoned after d, with concurrent chunks in
// flight including it.
func (m *Meter) Observe(d time.Duration, concurrent int) {
	share := d / time.Duration(max(concurrent, 1))
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.mean == 0 {
		m.mean = share
	}
	m.mean += time.Duration(smoothing * float64(share-m.mean))
}

// MeanTime returns the mean transfer time of a chunk that does not share the link.
func (m *Meter) MeanTime() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.mean
}

// Congested reports whether the link is so slow that chunks should be transferred one at a
// time.
func (m *Meter) Congested() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.baseline > 0 && m.mean > limitFactor*m.baseline
}

// ShouldSkip reports whether stragglers among the neighbours are to be skipped. If the VM's own
// link is congested, several neighbours reply late because of that link, and skipping them
// would leave only the origin as a source. The same holds if most neighbours reply late.
func ShouldSkip(lagging, neighbours int, congested bool) bool {
	return lagging <= 1 || (!congested && 2*lagging <= neighbours)
}
