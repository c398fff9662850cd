package replica

import "time"

// When a gateway asks another one, or the store, for a copy.
const (
	// settleTime is how long a gateway listens to heartbeats at its start before it decides
	// whether it watches the store: two and a half of them.
	settleTime = 500 * time.Millisecond
	// firstCopyTime is how long a gateway that does not watch waits for a first copy from
	// others before it asks the store.
	firstCopyTime = 1200 * time.Millisecond
	// patienceEach, for each gateway that watches, is how long another may know more before
	// one that watches asks it: the store's own answer may be under way, and answers many
	// at a time.
	patienceEach = 30 * time.Millisecond
	// minPatience and maxPatience bound that.
	minPatience = 250 * time.Millisecond
	// maxPatience is the longest.
	maxPatience = time.Second
	// hedgeAfter is how long one gateway may take before another is asked too.
	hedgeAfter = 300 * time.Millisecond
	// storeAfter is for how long a gateway may be behind before it asks the store although
	// it does not watch it.
	storeAfter = 1500 * time.Millisecond
)

// Elects returns whether a gateway watches the store: watches is set where it does among
// those that it hears, first where it does among those that the store lists. At its start
// it has not heard the others yet, and those that are listed first do not wait for them:
// after a loss of all power answers begin that much sooner.
func Elects(settled, watches, first bool) bool {
	if settled {
		return watches
	}
	return watches && first
}

// Patience returns for how long another gateway may have a newer copy before this
// one asks it for that. One that does not watch the store, or is not answered by
// it, has nothing to wait for.
func Patience(s Status, watchers int) time.Duration {
	if !s.Watching || s.StoreLost {
		return 0
	}
	return min(max(patienceEach*time.Duration(watchers), minPatience), maxPatience)
}

// AsksPeer returns whether another gateway is asked now for its newer copy: behind
// is for how long it has been known to have one, asked how long ago the last
// gateway was asked.
func AsksPeer(behind, asked, patience time.Duration) bool {
	return behind >= patience && asked >= hedgeAfter
}

// AsksStore returns whether the store is asked after another gateway's copy could
// not be had, where this one has been behind for so long.
func AsksStore(behind time.Duration) bool {
	return behind > storeAfter
}

// KeptByStore returns whether a copy is kept up to date by calls to the store: by
// those that watch it, and by one that got no first copy in time, age after its
// start.
func KeptByStore(watching, haveCopy bool, age time.Duration) bool {
	return watching || (!haveCopy && age > firstCopyTime)
}

// How long a watch of the store may stay unanswered.
const (
	// pollEach is the time for each gateway that watches: the more there are, the sooner
	// one of them finds out for all that the store lost their watches. Calls to the store
	// are priced.
	pollEach = time.Second
	// minPoll and maxPoll bound that. A watch that the store lost must not stay unseen for
	// much longer than the platform's contact time.
	minPoll = 2500 * time.Millisecond
	// maxPoll is the longest.
	maxPoll = 10 * time.Second
)

// PollTimeout returns for how long a watch may stay unanswered where so many gateways
// watch the store.
func PollTimeout(watchers int) time.Duration {
	return min(max(pollEach*time.Duration(watchers), minPoll), maxPoll)
}

// lostWatchShare is the part of the platform's contact time within which a watch that the
// store lost must end, so that its renewal and a copy of what it missed fit into the rest.
// It guards against a configuration that is late: without it two gateways of three zones
// followed an older one 4.1 s after the newer was acknowledged.
const lostWatchShare = 0.6

// ConfigPollTimeout returns for how long a watch of the configuration may stay
// unanswered where so many gateways watch the store. It ends within the time for which
// the platform excuses gateways after trouble, contact, and when it tells that the
// store's history is gone, the copies of all other kinds look again too.
func ConfigPollTimeout(watchers int, contact time.Duration) time.Duration {
	limit := time.Duration(lostWatchShare * float64(contact))
	if limit <= 0 {
		return PollTimeout(watchers)
	}
	return min(PollTimeout(watchers), limit)
}

// StoreLost returns whether the store answers no gateway that watches it, as far as
// this one knows. others is how many others watch it, othersLost is set when the
// store answers none of them.
func StoreLost(s Status, others int, othersLost bool) bool {
	switch {
	case s.Watching && !s.StoreLost:
		return false
	case others == 0:
		return s.Watching
	}
	return othersLost
}
