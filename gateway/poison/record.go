package poison

import (
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/silverdeck/silverdeck/roster"
)

// When a request is quarantined, and for how long.
const (
	// maxEnds is how many endpoints end under a request before it is quarantined. Of those
	// that one end takes along at most one is to blame, and one that goes on elsewhere may
	// meet the same request there: with two ends, one in eleven of a dozen endpoints'
	// requests would be quarantined with it. From the platform's rule, too.
	maxEnds = 3
	// keptEnds is how many a record keeps: by those beyond maxEnds a request that only went
	// where the one to blame was is told apart from it.
	keptEnds = 8
	// relapseEnds is the same for a request that was quarantined before.
	relapseEnds = 1
	// quarantineTime is how long a quarantine lasts at first: the endpoints' software or
	// their weights may have been mended. It doubles with each relapse. A request that is
	// sent all the time then ends one endpoint in ten minutes, and one in three hours in
	// the end.
	quarantineTime = 10 * time.Minute
	// maxDoublings is after how many the time stays.
	maxDoublings = 4
	// suspicionTime is for how long ends are remembered that quarantine nothing yet. Longer
	// than callers repeat a request, and short enough that a long-lived one, such as a
	// check that is always the same, does not gather unrelated ends.
	suspicionTime = 10 * time.Minute
)

// Life names a life of an endpoint in a few bytes. Two lives that share one count once.
type Life uint64

// LifeOf returns the short name of a life.
func LifeOf(l roster.Life) Life {
	return Life(xxhash.Sum64String(l.ID + "\x00" + strconv.FormatInt(l.Born, 10)))
}

// Record is what gateways tell each other of a request. Records of one request are joined in
// any order and as often as they come, with the same result.
type Record struct {
	Key Key
	// Round counts how often the request was cleared: what was told of an earlier round does
	// not count.
	Round uint32
	// Relapses counts the quarantines that have run out.
	Relapses uint8
	// Ends are the lives of endpoints that ended under the request in this round, in order
	// of their names, each once and keptEnds at most.
	Ends []Life
}

// State is how far a request is suspected.
type State int

// The states of a request.
const (
	// Clear means that nothing is known against it.
	Clear State = iota
	// Suspected means that an endpoint has ended under it.
	Suspected
	// Quarantined means that it is sent to no endpoint.
	Quarantined
)

// State returns how far the request is suspected.
func (r *Record) State() State {
	limit := maxEnds
	if r.Relapses > 0 {
		limit = relapseEnds
	}
	switch {
	case len(r.Ends) >= limit:
		return Quarantined
	case len(r.Ends) > 0:
		return Suspected
	}
	return Clear
}

// Explains returns whether some ends under another request are put down to this one: it is
// quarantined, and more endpoints ended under it. A request that was quarantined before explains
// its ends itself.
func (r *Record) Explains(o *Record) bool {
	if r.State() != Quarantined || len(o.Ends) >= len(r.Ends) || o.Relapses > 0 {
		return false
	}
	return slices.ContainsFunc(o.Ends, r.has)
}

func (r *Record) has(l Life) bool {
	return slices.Contains(r.Ends, l)
}

// without returns the record without the ends that another one has as well.
func (r *Record) without(o *Record) Record {
	out := r.cleared()
	for _, l := range r.Ends {
		if !o.has(l) {
			out.Ends = append(out.Ends, l)
		}
	}
	return out
}

// Join returns what two records of one request say together.
func Join(a, b Record) Record {
	switch {
	case a.Round > b.Round:
		return a
	case b.Round > a.Round:
		return b
	}
	out := a
	out.Relapses = max(a.Relapses, b.Relapses)
	out.Ends = slices.Concat(a.Ends, b.Ends)
	slices.Sort(out.Ends)
	out.Ends = slices.Compact(out.Ends)
	out.Ends = out.Ends[:min(len(out.Ends), keptEnds)]
	return out
}

// equal returns whether two records of one request say the same.
func (r *Record) equal(o *Record) bool {
	return r.Round == o.Round && r.Relapses == o.Relapses && slices.Equal(r.Ends, o.Ends)
}

// cleared returns the record once the request is cleared.
func (r *Record) cleared() Record {
	return Record{Key: r.Key, Round: r.Round + 1}
}

// relapsing returns the record once its quarantine has run out.
func (r *Record) relapsing() Record {
	return Record{Key: r.Key, Round: r.Round + 1, Relapses: min(r.Relapses, maxDoublings) + 1}
}

// QuarantineTime returns how long a quarantine lasts after so many relapses.
func QuarantineTime(relapses uint8) time.Duration {
	return quarantineTime << min(relapses, maxDoublings)
}
