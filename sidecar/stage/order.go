package stage

import (
	"math"
	"time"
)

// Pending describes two versions that are both incomplete and could both be used.
type Pending struct {
	// Chunks is the number of chunks of a version.
	Chunks int
	// OlderUnknown and Unknown are the numbers of chunks of the older and of the newest version
	// that no known member holds.
	OlderUnknown, Unknown int
	// ChunkTime is the transfer time of a chunk on the origin's link; 0 if it is unknown.
	ChunkTime time.Duration
	// Spread is the time from the last first copy until most members have a version.
	Spread time.Duration
	// RunningLeft and OlderLeft are the times left until the loaded weights and the older
	// version may no longer be used.
	RunningLeft, OlderLeft time.Duration
}

// loadLead is how long after a version is complete an endpoint serves it: a load with its
// preparation.
const loadLead = 500 * time.Millisecond

// nearlyRead is the share of chunks of an older version that known members must hold for it to
// be read to its end although no endpoint needs it: if the origin fails, members have at least
// one whole version.
const nearlyRead = 0.5

// readsUnderWay is the number of chunks that are read at once from the origin, which no
// member holds yet. They end soon if the rate of its link is known.
const readsUnderWay = 2

// OlderFirst returns whether the remaining chunks of an older version are read from the origin
// before those of the newest one. That order is chosen if endpoints are then without usable
// weights for a shorter time; and if no endpoint is without in either order, if most of the
// older version has been read. It answers two versions named within the time of a copy, and an
// origin that fails meanwhile.
func OlderFirst(p Pending) bool {
	older, newest := p.timeWithout(true), p.timeWithout(false)
	if older != newest {
		return older < newest
	}
	read := p.Chunks - p.OlderUnknown
	if p.ChunkTime > 0 {
		read += readsUnderWay
	}
	return p.olderUsable() && float64(read) >= nearlyRead*float64(p.Chunks)
}

// readTime returns how long the origin's link takes for so many chunks.
func (p Pending) readTime(chunks int) time.Duration {
	return time.Duration(chunks) * p.ChunkTime
}

// olderUsable returns whether the older version, read first, is complete early enough to be
// loaded.
func (p Pending) olderUsable() bool {
	return p.readTime(p.OlderUnknown)+p.Spread+minLoadMargin <= p.OlderLeft
}

// timeWithout returns for how long an endpoint has no usable weights if the older or the
// newest version is read first.
func (p Pending) timeWithout(olderFirst bool) time.Duration {
	ready := p.Spread + loadLead
	if !olderFirst {
		return max(p.readTime(p.Unknown)+ready-p.RunningLeft, 0)
	}
	both := p.readTime(p.OlderUnknown+p.Unknown) + ready
	if !p.olderUsable() {
		return max(both-p.RunningLeft, 0)
	}
	return max(p.readTime(p.OlderUnknown)+ready-p.RunningLeft, 0) + max(both-max(p.OlderLeft, p.RunningLeft), 0)
}

// chunkTimesPerDoubling is how many chunk transfers pass until twice as many members have the
// last chunk.
const chunkTimesPerDoubling = 1.5

// SpreadTime returns how long the last chunk of a version takes to reach most of n members,
// where chunkTime is the transfer time of a chunk on a member's link.
func SpreadTime(n int, chunkTime time.Duration) time.Duration {
	return time.Duration(chunkTimesPerDoubling * math.Log2(float64(max(n, 1))) * float64(chunkTime))
}
