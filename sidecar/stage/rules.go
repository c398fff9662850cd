package stage

import "time"

// The period in which endpoints switch to new weights, as shares of the time limit that
// starts when the running weights are superseded.
const (
	// earliestSwitchShare is when the first endpoint may switch: by then most VMs have the
	// complete version.
	earliestSwitchShare = 0.36
	// latestSwitchShare is when the last endpoint should start to switch. It leaves time for
	// a load and one retry.
	latestSwitchShare = 0.85
)

// EarliestSwitch returns the time from which an endpoint with a load lease, whose requests
// are taken by other endpoints, may switch to other weights. The parameters are those of
// SwitchTime.
func EarliestSwitch(replaced time.Time, limit time.Duration, completed time.Time) time.Time {
	first := replaced.Add(time.Duration(earliestSwitchShare * float64(limit)))
	if completed.After(first) {
		return completed
	}
	return first
}

// LatestSwitch returns the time at which an endpoint switches if it has not been granted a
// lease until then. The parameters are those of SwitchTime.
func LatestSwitch(replaced time.Time, limit time.Duration) time.Time {
	return replaced.Add(time.Duration(latestSwitchShare * float64(limit)))
}

// SwitchTime returns the time at which an endpoint switches to other weights without a
// lease. replaced is when the running weights were superseded, limit the time limit, completed
// when the other weights became complete, and offset the endpoint's offset in [0, 1).
// Switches are spread over the remaining time, so that few endpoints are unavailable at
// once.
func SwitchTime(replaced time.Time, limit time.Duration, completed time.Time, offset float64) time.Time {
	first := EarliestSwitch(replaced, limit, completed)
	last := LatestSwitch(replaced, limit)
	if !first.Before(last) {
		return first
	}
	return first.Add(time.Duration(offset * float64(last.Sub(first))))
}

// Limits of the drain before a load. A draining endpoint takes no new requests and lets
// running ones end, since the load interrupts those that remain. Interrupted streams resume
// on another endpoint after a pause of 0.36 s in the median, which exceeds the 0.3 s promised
// to callers.
const (
	// drainFactor is the longest drain as a multiple of the usual response time: responses take
	// longer while other prompts are being processed.
	drainFactor = 1.25
	// maxDrain is the longest drain for endpoints with very long responses. Other endpoints
	// have to take the requests of those that drain.
	maxDrain = 1800 * time.Millisecond
	// fullDrainFreeShare is the share of an endpoint's slots that must be free for a full-length
	// drain. With fewer free slots the drain is shorter, since other endpoints have no capacity
	// for its requests.
	fullDrainFreeShare = 0.25
	// drainMargin is how long before the running weights expire the drain must end: all chunks
	// are read back after it, and the load must be ordered earlier than minUnloadLead before
	// the expiry. Gateways have stopped sending requests to the endpoint by then
	// (versionMargin).
	drainMargin = 600 * time.Millisecond
)

// Capacity describes an endpoint's request processing. Unknown fields are 0.
type Capacity struct {
	// Slots is the number of requests that the endpoint runs concurrently.
	Slots int
	// AnswerTime is the usual duration of a response.
	AnswerTime time.Duration
}

// DrainTime returns how long an endpoint with so many running requests drains, where remaining
// is the time until its weights expire. Its own load is taken as an estimate of the load
// of the other endpoints.
func DrainTime(c Capacity, running int, remaining time.Duration) time.Duration {
	if c.Slots <= 0 {
		return 0
	}
	free := 1 - float64(running)/float64(c.Slots)
	room := min(max(free, 0)/fullDrainFreeShare, 1)
	longest := min(time.Duration(drainFactor*float64(c.AnswerTime)), maxDrain)
	return max(0, min(time.Duration(room*float64(longest)), remaining-drainMargin))
}

// minLoadMargin is how long before a version expires a load of it must begin to be
// worthwhile. A load takes about 500 ms.
const minLoadMargin = 1500 * time.Millisecond

// WorthLoading returns whether a version that expires at end is worth loading.
func WorthLoading(end, now time.Time) bool {
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
