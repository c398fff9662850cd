package poison

import (
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/silverdeck/silverdeck/roster"
)

// Thresholds and durations of quarantines.
const (
	// crashThreshold is the number of endpoint crashes that quarantines a request. At most one
	// of the requests aborted by a crash caused it, and one of the others may meet that request
	// again where it is retried: with a threshold of two, one in eleven of the requests of a
	// dozen endpoints would be quarantined as well. The platform's rules use three, too.
	crashThreshold = 3
	// maxRecordedCrashes is the number of crashes that a record keeps. Those beyond
	// crashThreshold distinguish the request that causes the crashes from one that merely
	// shared some of its endpoints.
	maxRecordedCrashes = 8
	// relapseCrashThreshold replaces crashThreshold for a request that was quarantined before.
	relapseCrashThreshold = 1
	// quarantineTime is the duration of the first quarantine. It is limited because the
	// endpoints' software or weights may have been fixed, and doubles with each relapse. A
	// request that is sent continuously thus crashes one endpoint in ten minutes at first, and
	// one in about three hours in the end.
	quarantineTime = 10 * time.Minute
	// maxDoublings is the number of relapses after which the duration stays constant.
	maxDoublings = 4
	// suspicionTime is how long crashes below the threshold are remembered. It is longer than
	// callers repeat a request, but short enough that a permanent one, such as an identical
	// health check, does not accumulate unrelated crashes.
	suspicionTime = 10 * time.Minute
)

// Incarnation is a hash of an endpoint's incarnation. Incarnations with the same hash count
// once.
type Incarnation uint64

// IncarnationOf returns the hash of an endpoint's incarnation.
func IncarnationOf(l roster.Incarnation) Incarnation {
	return Incarnation(xxhash.Sum64String(l.ID + "\x00" + strconv.FormatInt(l.Born, 10)))
}

// Record is the state of a request that gateways exchange. Merging records of one request is
// commutative, associative and idempotent.
type Record struct {
	Key Key
	// Generation is the number of times that the request was cleared. Records of an earlier
	// generation are ignored.
	Generation uint32
	// Relapses is the number of quarantines that have expired.
	Relapses uint8
	// Crashes are the endpoint incarnations that crashed while processing the request in this
	// generation, sorted, without duplicates and limited to maxRecordedCrashes.
	Crashes []Incarnation
}

// State is the level of suspicion against a request.
type State int

// The states of a request.
const (
	// Clear means that no crash is recorded for the request.
	Clear State = iota
	// Suspected means that an endpoint crashed while processing the request.
	Suspected
	// Quarantined means that the request is sent to no endpoint.
	Quarantined
)

// State returns the state of the request.
func (r *Record) State() State {
	limit := crashThreshold
	if r.Relapses > 0 {
		limit = relapseCrashThreshold
	}
	switch {
	case len(r.Crashes) >= limit:
		return Quarantined
	case len(r.Crashes) > 0:
		return Suspected
	}
	return Clear
}

// Explains returns whether the crashes that both requests share are attributed to r: it is
// quarantined, and more endpoints crashed while processing it than o. The crashes of a request
// that was quarantined before are always attributed to that request itself.
func (r *Record) Explains(o *Record) bool {
	if r.State() != Quarantined || len(o.Crashes) >= len(r.Crashes) || o.Relapses > 0 {
		return false
	}
	return slices.ContainsFunc(o.Crashes, r.hasCrash)
}

func (r *Record) hasCrash(l Incarnation) bool {
	return slices.Contains(r.Crashes, l)
}

// withoutCrashesOf returns the record without the crashes that o has as well, in a new
// generation.
func (r *Record) withoutCrashesOf(o *Record) Record {
	out := r.cleared()
	for _, l := range r.Crashes {
		if !o.hasCrash(l) {
			out.Crashes = append(out.Crashes, l)
		}
	}
	return out
}

// Join merges two records of one request.
func Join(a, b Record) Record {
	switch {
	case a.Generation > b.Generation:
		return a
	case b.Generation > a.Generation:
		return b
	}
	out := a
	out.Relapses = max(a.Relapses, b.Relapses)
	out.Crashes = slices.Concat(a.Crashes, b.Crashes)
	slices.Sort(out.Crashes)
	out.Crashes = slices.Compact(out.Crashes)
	out.Crashes = out.Crashes[:min(len(out.Crashes), maxRecordedCrashes)]
	return out
}

// equal returns whether two records of one request are equal.
func (r *Record) equal(o *Record) bool {
	return r.Generation == o.Generation && r.Relapses == o.Relapses && slices.Equal(r.Crashes, o.Crashes)
}

// cleared returns the record that replaces r when the request is cleared.
func (r *Record) cleared() Record {
	return Record{Key: r.Key, Generation: r.Generation + 1}
}

// expired returns the record that replaces r when its quarantine expires.
func (r *Record) expired() Record {
	return Record{Key: r.Key, Generation: r.Generation + 1, Relapses: min(r.Relapses, maxDoublings) + 1}
}

// QuarantineTime returns the duration of a quarantine after the given number of relapses.
func QuarantineTime(relapses uint8) time.Duration {
	return quarantineTime << min(relapses, maxDoublings)
}
