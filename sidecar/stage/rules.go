package stage

import "time"

// How long before a version expires a load of it must begin to be worthwhile. A load takes about
// 500 ms.
const (
	// minLoadMargin applies to an endpoint that runs another version.
	minLoadMargin = 1500 * time.Millisecond
	// minEmptyLoadMargin applies to an endpoint that runs nothing: the load takes nothing from callers,
	// and what begins in the time that is left may end after it.
	minEmptyLoadMargin = 800 * time.Millisecond
)

// WorthLoading returns whether a version that expires at end is worth loading. empty is set if the
// endpoint runs no other version.
func WorthLoading(end, now time.Time, empty bool) bool {
	if empty {
		return end.Sub(now) >= minEmptyLoadMargin
	}
	return end.Sub(now) >= minLoadMargin
}

// finishShare is the share of a version's chunks from which its download is finished even
// if a newer version has been named.
const finishShare = 0.7

// WorthFinishing returns whether the download of a version is finished, given that have of
// total chunks are present, even if a newer version has been named.
func WorthFinishing(have, total int) bool {
	return float64(have) >= finishShare*float64(total)
}

// maxStallTimeout is how long the newest version may make no progress before the download of
// an older one is resumed, all chunks of which other VMs may have.
const maxStallTimeout = 1200 * time.Millisecond

const (
	// stallChunkTimes is the stall timeout of a version whose manifest is present, as a multiple
	// of a chunk's transfer time on the VM's link, if that is shorter: chunks normally arrive
	// back to back. With a longer timeout, the older version would expire while it is loaded.
	stallChunkTimes = 15
	// minStallTimeout is the shortest stall timeout: three polling intervals.
	minStallTimeout = 450 * time.Millisecond
)

// StallTimeout returns how long a version may make no progress, where chunkTime is the
// transfer time of a chunk on the VM's link; 0 if unknown.
func StallTimeout(chunkTime time.Duration) time.Duration {
	if chunkTime <= 0 {
		return maxStallTimeout
	}
	return min(max(stallChunkTimes*chunkTime, minStallTimeout), maxStallTimeout)
}

// Progress describes the download of the newest version and whether an older version is
// available instead.
type Progress struct {
	// Idle is the time since the newest version last made progress.
	Idle time.Duration
	// ChunkTime is the transfer time of one of its chunks on the VM's link; 0 before its
	// manifest is present.
	ChunkTime time.Duration
	// OlderChunks is the number of chunks present of the older version.
	OlderChunks int
	// OlderExpired is set if the older version could no longer be used.
	OlderExpired bool
}

// ShouldFallBack returns whether the download of an older version is resumed as well. If the
// older version arrives too late to be used, its download would only take up link bandwidth
// and delay requests.
func ShouldFallBack(p Progress) bool {
	return p.Idle >= StallTimeout(p.ChunkTime) && p.OlderChunks > 0 && !p.OlderExpired
}

const (
	// crashesBeforeBackoff is the number of consecutive loads during which the endpoint may
	// terminate before the next load is delayed. Fewer may be coincidence: any endpoint may
	// terminate during the third of a second that a load takes.
	crashesBeforeBackoff = 3
	// initialLoadBackoff is the first delay. It doubles with each further termination, up to
	// maxBackoffDoublings times, that is, to about a minute. A newer version is loaded without
	// delay.
	initialLoadBackoff = time.Second
	// maxBackoffDoublings limits the number of times that initialLoadBackoff is doubled.
	maxBackoffDoublings = 6
)

// LoadBackoff returns the delay before a version is loaded again after so many consecutive
// loads during which the endpoint terminated. If the weights are the cause, the endpoint
// would terminate on every load.
func LoadBackoff(crashes int) time.Duration {
	if crashes < crashesBeforeBackoff {
		return 0
	}
	return initialLoadBackoff << min(crashes-crashesBeforeBackoff, maxBackoffDoublings)
}

// suspectAfter is how long a download may make no progress, while chunks from the origin
// do not match the manifest, before the manifest is read again.
const suspectAfter = 3 * time.Second

// ManifestSuspect returns whether the manifest should be read again, given the number of
// chunks from the origin that did not match it and the time without progress.
func ManifestSuspect(corruptOrigin int, idle time.Duration) bool {
	return corruptOrigin > 0 && idle > suspectAfter
}
