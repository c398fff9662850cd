package stage

import "time"

// When endpoints change to new weights, as parts of the time limit from when those that
// they run were replaced.
const (
	// firstChange is when the first endpoint may change: most VMs have the version whole by
	// then.
	firstChange = 0.36
	// lastChange is when the last should have begun to change, so that a load and a retry
	// still fit.
	lastChange = 0.85
)

// FirstChange returns from when on an endpoint may change to other weights that has a lease:
// the others carry its requests meanwhile. The arguments are those of ChangeTime.
func FirstChange(replaced time.Time, limit time.Duration, whole time.Time) time.Time {
	first := replaced.Add(time.Duration(firstChange * float64(limit)))
	if whole.After(first) {
		return whole
	}
	return first
}

// LastChange returns when an endpoint changes that has waited for a lease in vain. The
// arguments are those of ChangeTime.
func LastChange(replaced time.Time, limit time.Duration) time.Time {
	return replaced.Add(time.Duration(lastChange * float64(limit)))
}

// ChangeTime returns when an endpoint changes to other weights without a lease, by when those that
// it runs were replaced, by the time limit, by when the others were there whole, and by
// the endpoint's draw from [0, 1). Endpoints change spread over the time that is left,
// so that few are away together.
func ChangeTime(replaced time.Time, limit time.Duration, whole time.Time, draw float64) time.Time {
	first := FirstChange(replaced, limit, whole)
	last := LastChange(replaced, limit)
	if !first.Before(last) {
		return first
	}
	return first.Add(time.Duration(draw * float64(last.Sub(first))))
}

// How long an endpoint drains before it changes weights: it takes nothing new, and what
// runs ends by itself, since the load cuts the rest. What is cut goes on elsewhere after
// a pause of 0.36 s in the median, over the 0.3 s that callers were promised.
const (
	// drainFactor is the longest drain, in usual times of an answer: prompts that are read
	// meanwhile stretch answers.
	drainFactor = 1.25
	// maxDrain bounds that where answers are very long: while endpoints drain, others take
	// their requests.
	maxDrain = 1800 * time.Millisecond
	// freeSlots is the part of an endpoint's slots that must be free for a drain as long as
	// that; with fewer it is shorter, since other endpoints have no room for its requests.
	freeSlots = 0.25
	// drainLead is how long before the limit of the weights that run a drain ends: after it
	// all chunks are read back, and the load must come before unloadLatest. Gateways send
	// nothing more to the endpoint by then (versionMargin).
	drainLead = 600 * time.Millisecond
)

// Capacity is what is known of how an endpoint runs requests. Fields are 0 where they are
// not known.
type Capacity struct {
	// Slots is how many requests it runs at once.
	Slots int
	// AnswerTime is how long it usually writes an answer.
	AnswerTime time.Duration
}

// DrainTime returns for how long an endpoint drains that runs so many requests, and whose
// weights may be used for left. What it runs stands for what others do.
func DrainTime(c Capacity, running int, left time.Duration) time.Duration {
	if c.Slots <= 0 {
		return 0
	}
	free := 1 - float64(running)/float64(c.Slots)
	room := min(max(free, 0)/freeSlots, 1)
	longest := min(time.Duration(drainFactor*float64(c.AnswerTime)), maxDrain)
	return max(0, min(time.Duration(room*float64(longest)), left-drainLead))
}

// minUse is how long before the limit of a version its load must begin to be of use: a load
// takes about half a second.
const minUse = 1500 * time.Millisecond

// Useful returns whether a version is worth loading on which no request may begin from
// end on.
func Useful(end, now time.Time) bool {
	return end.Sub(now) >= minUse
}

// worthFinishing is the part of a version that makes it worth being fetched whole although
// a newer one is named.
const worthFinishing = 0.7

// WorthFinishing returns whether a version of which have of total chunks are there
// is fetched whole although a newer one is named.
func WorthFinishing(have, total int) bool {
	return float64(have) >= worthFinishing*float64(total)
}

// firstCopiesShare is the part of a copy's time on the origin's link that a version must
// have had for the rest of its first copies to be brought in although a newer one is named:
// with less, the rest would hold the newer one up for longer than that.
const firstCopiesShare = 0.5

// FirstCopiesOfUse returns whether the rest of the first copies of a version that was named
// before is brought in, for so long it was fetched, by what a copy takes on the origin's
// link (0 if that is not known) and whether the version could still be of use. The origin
// may fail, and what has left it can be had from other VMs.
func FirstCopiesOfUse(fetched, oneCopy time.Duration, useful bool) bool {
	return useful && oneCopy > 0 && float64(fetched) >= firstCopiesShare*float64(oneCopy)
}

// stalledAfter is how long a version may make no progress before an older one is gone on
// with, of which other VMs may have all chunks.
const stalledAfter = 1200 * time.Millisecond

const (
	// stalledChunks is after how many times that a chunk takes on the VM's link a version
	// whose manifest is there counts as stalled, if that is sooner: chunks come one behind
	// the other then. Later, the limit of the older one comes while it is loaded.
	stalledChunks = 15
	// minStalled is the shortest such time: three looks.
	minStalled = 450 * time.Millisecond
)

// StallLimit returns for how long a version may make no progress, where a chunk takes so
// long on the VM's link; 0 where that is not known.
func StallLimit(chunkTime time.Duration) time.Duration {
	if chunkTime <= 0 {
		return stalledAfter
	}
	return min(max(stalledChunks*chunkTime, minStalled), stalledAfter)
}

// Progress is how the newest version comes on, and whether an older one would help.
type Progress struct {
	// Idle is for how long the newest has made none.
	Idle time.Duration
	// ChunkTime is how long one of its chunks takes on the VM's link; 0 before its manifest
	// is there.
	ChunkTime time.Duration
	// OlderHave is how many chunks of the older one are there.
	OlderHave int
	// Outdated is set when the older one could not be used any more.
	Outdated bool
}

// FallsBack returns whether an older version is gone on with as well. It is of no use
// where it comes too late: then it only fills the link, behind which requests wait.
func FallsBack(p Progress) bool {
	return p.Idle >= StallLimit(p.ChunkTime) && p.OlderHave > 0 && !p.Outdated
}

const (
	// freeLoads is how many loads an endpoint may end under, one after the other, before it
	// is left alone for a while: any endpoint may end once, in the third of a second that a
	// load takes.
	freeLoads = 3
	// firstLoadPause is that while, which doubles with each further end, maxLoadDoublings
	// times: up to a minute. A newer version is loaded at once in any case.
	firstLoadPause = time.Second
	// maxLoadDoublings is what firstLoadPause says.
	maxLoadDoublings = 6
)

// LoadPause returns for how long an endpoint is left alone that has ended under so many loads
// of a version in a row: weights that end it would do so again, as often as it starts.
func LoadPause(ended int) time.Duration {
	if ended < freeLoads {
		return 0
	}
	return firstLoadPause << min(ended-freeLoads, maxLoadDoublings)
}

// doubtAfter is how long a download may make no progress while chunks of the origin don't
// match the manifest before the manifest is read anew.
const doubtAfter = 3 * time.Second

// ManifestInDoubt returns whether a manifest is read anew, where so many chunks of
// the origin did not match it and the download has made no progress for idle.
func ManifestInDoubt(corruptOrigin int, idle time.Duration) bool {
	return corruptOrigin > 0 && idle > doubtAfter
}
