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
	// roundThreshold is the number of rounds of crashes that quarantines a part of prompts.
	roundThreshold = 3
	// minRounds is the number of rounds that is enough if they have manyCrashes together: endpoints
	// may be so few that they are all down between two rounds.
	minRounds = 2
	// manyCrashes is the number of crashes with which minRounds are enough.
	manyCrashes = 5
	// roundTime is the duration of a round. All crashes within a round count once for a part: a
	// rack, or all endpoints that meet the same fault, end within it as seen by all gateways.
	roundTime = 200 * time.Millisecond
	// trialRounds is the number of rounds from which a part is sent in one copy at a time.
	trialRounds = 2
	// survivedRounds is the number of rounds that replaces those above for a part that an endpoint
	// survived. Streams take longer than the time between two rounds, so that parts which most
	// requests share may not be answered completely in between.
	survivedRounds = 6
	// contestTime is how long a quarantined part is not tried because of others with fewer crashes.
	// By then most of these have been answered.
	contestTime = 2 * time.Second
	// SurvivalTime is how long after the first event of an answer further events show that the
	// endpoint survives it.
	SurvivalTime = 500 * time.Millisecond
	// maxRecordedCrashes is the number of crashes that the record of a request keeps. Those beyond
	// crashThreshold distinguish the request that causes the crashes from one that merely
	// shared some of its endpoints.
	maxRecordedCrashes = 8
	// maxPartCrashes is the same for a part, of which several requests are in progress at a time.
	maxPartCrashes = 16
	// relapseCrashThreshold replaces the thresholds for a suspect that was quarantined before.
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

// Record is the state of a suspect that gateways exchange. Merging records of one suspect is
// commutative, associative and idempotent.
type Record struct {
	Key Key
	// Generation is the number of times that the suspect was cleared. Records of an earlier
	// generation are ignored.
	Generation uint32
	// Relapses is the number of quarantines that have expired.
	Relapses uint8
	// Confirmed is set for a part once a gateway has counted enough rounds of crashes in this
	// generation; see isConfirmed.
	Confirmed bool
	// Survived is set for a part if an endpoint has written a part of an answer with it for
	// SurvivalTime since a crash of this generation. That is weaker than a complete answer: the
	// endpoint may crash later.
	Survived bool
	// Crashes are the endpoint incarnations that crashed while processing the suspect in this
	// generation, sorted, without duplicates and limited in number.
	Crashes []Incarnation
	// Ages are the times since the crashes of a part were noticed, in the order of Crashes, if
	// they are known. They are not a part of the state.
	Ages []time.Duration
}

// State is the level of suspicion against a suspect, or against a request because of its suspects.
type State int

// The states.
const (
	// Clear means that no crash is recorded.
	Clear State = iota
	// Suspected means that an endpoint crashed while processing the suspect.
	Suspected
	// OnTrial means that one copy at a time is sent to an endpoint. It is a state of requests.
	OnTrial
	// Quarantined means that the suspect is sent to no endpoint.
	Quarantined
)

// State returns the state of the suspect.
func (r *Record) State() State {
	quarantined := r.Confirmed
	if r.Key.Kind == KindRequest {
		quarantined = len(r.Crashes) >= crashThreshold
	}
	if r.Relapses > 0 {
		quarantined = len(r.Crashes) >= relapseCrashThreshold
	}
	switch {
	case quarantined:
		return Quarantined
	case len(r.Crashes) > 0:
		return Suspected
	}
	return Clear
}

// maxCrashes returns the number of crashes that the record keeps.
func (r *Record) maxCrashes() int {
	if r.Key.Kind == KindPart {
		return maxPartCrashes
	}
	return maxRecordedCrashes
}

// isInitial reports whether the record says nothing: no crash in this generation, and no quarantine
// before.
func (r *Record) isInitial() bool {
	return len(r.Crashes) == 0 && r.Relapses == 0
}

// contestedBy reports whether o is an alternative explanation of the crashes of r, a quarantined part that
// has not changed for the given time: as many endpoints crashed under o, and too few under r alone. After
// contestTime o may have fewer crashes, because a part that most requests share is also charged with
// crashes that have other causes, or whose cause no gateway reported.
func (r *Record) contestedBy(o *Record, unchanged time.Duration) bool {
	if o.State() != Quarantined || r.standsWithout(o) {
		return false
	}
	return len(o.Crashes) >= len(r.Crashes) || unchanged >= contestTime
}

// standsWithout reports whether enough endpoints crashed under r that did not crash under o.
func (r *Record) standsWithout(o *Record) bool {
	unshared := 0
	for _, l := range r.Crashes {
		if !o.hasCrash(l) {
			unshared++
		}
	}
	return unshared >= min(crashThreshold, len(r.Crashes))
}

// isConfirmed reports whether crashes in so many rounds confirm a part as their cause. survived is set if
// an endpoint survived an answer with it meanwhile.
func isConfirmed(rounds, crashes int, survived bool) bool {
	if survived {
		return rounds >= survivedRounds
	}
	return rounds >= roundThreshold || rounds >= minRounds && crashes >= manyCrashes
}

// requiresTrial reports whether a part under which endpoints crashed in so many rounds is sent in one copy
// at a time.
func requiresTrial(rounds int, survived bool) bool {
	return rounds >= trialRounds && !survived
}

// roundsOf returns the number of rounds of crashes that were noticed at the given times.
func roundsOf(times []time.Time) int {
	rounds := 0
	var began time.Time
	for _, at := range slices.SortedFunc(slices.Values(times), time.Time.Compare) {
		if rounds == 0 || at.Sub(began) >= roundTime {
			rounds++
			began = at
		}
	}
	return rounds
}

// Explains returns whether the crashes that both suspects share are attributed to r: it is
// quarantined, and more endpoints crashed while processing it than o. The crashes of a suspect
// that was quarantined before are always attributed to that suspect itself, and a part explains only
// what does not contest it.
func (r *Record) Explains(o *Record) bool {
	if r.State() != Quarantined || len(o.Crashes) >= len(r.Crashes) || o.Relapses > 0 {
		return false
	}
	if r.Key.Kind == KindPart && !r.standsWithout(o) {
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

// Join merges two records of one suspect.
func Join(a, b Record) Record {
	switch {
	case a.Generation > b.Generation:
		return a
	case b.Generation > a.Generation:
		return b
	}
	out := Record{Key: a.Key, Generation: a.Generation}
	out.Relapses = max(a.Relapses, b.Relapses)
	out.Confirmed, out.Survived = a.Confirmed || b.Confirmed, a.Survived || b.Survived
	out.Crashes = slices.Concat(a.Crashes, b.Crashes)
	slices.Sort(out.Crashes)
	out.Crashes = slices.Compact(out.Crashes)
	out.Crashes = out.Crashes[:min(len(out.Crashes), out.maxCrashes())]
	return out
}

// equal returns whether two records of one suspect are equal.
func (r *Record) equal(o *Record) bool {
	return r.Generation == o.Generation && r.Relapses == o.Relapses && r.Confirmed == o.Confirmed && r.Survived == o.Survived && slices.Equal(r.Crashes, o.Crashes)
}

// cleared returns the record that replaces r when the suspect is cleared.
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
