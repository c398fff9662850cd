package replica

import (
	"math"
	"time"
)

// Timing of fetches from other gateways and from the store.
const (
	// settleTime is how long a gateway listens to heartbeats at startup before it decides
	// whether to watch the store: two and a half heartbeat intervals.
	settleTime = 500 * time.Millisecond
	// firstCopyTimeout is how long a gateway that does not watch the store waits for its first
	// copy from other gateways before it reads the store.
	firstCopyTimeout = 1200 * time.Millisecond
	// peerFetchDelayPerWatcher determines how long a gateway that watches the store lets its
	// copy be behind before it fetches from another gateway. The response of the store may be
	// on its way, and the store answers many watches at once.
	peerFetchDelayPerWatcher = 30 * time.Millisecond
	// minPeerFetchDelay is the lower bound of that delay.
	minPeerFetchDelay = 250 * time.Millisecond
	// maxPeerFetchDelay is the upper bound of that delay.
	maxPeerFetchDelay = time.Second
	// hedgeDelay is how long a fetch from one gateway may take before another gateway is asked
	// as well.
	hedgeDelay = 300 * time.Millisecond
	// storeFallbackDelay is how long a copy may be behind before a gateway that does not watch
	// the store reads it nevertheless.
	storeFallbackDelay = 1500 * time.Millisecond
)

// When a large fleet is started, or the whole system for the first time, all gateways start at the
// same moment, and if each of them listed all, the bytes would grow with the square of their number.
// Instead, each waits for a random time and reads the list only if no other gateway has contacted it
// by then; those that do contact all that they find.
const (
	// maxFirstListDelay is the longest of these times.
	maxFirstListDelay = time.Second
	// firstListSkew makes short times rare, so that few gateways read the list before the first of
	// them has contacted the others: it is the number of uniform random times of which the largest
	// is taken.
	firstListSkew = 4
	// firstStartTimeout is how much longer than firstCopyTimeout a gateway then waits for its first
	// copies, of which the first ones follow only after the list.
	firstStartTimeout = 3 * time.Second
)

// FirstListDelay returns how long a gateway waits at such a start before it reads the list of
// gateways. draw is a random number in [0, 1).
func FirstListDelay(draw float64) time.Duration {
	return time.Duration(math.Pow(draw, 1.0/firstListSkew) * float64(maxFirstListDelay))
}

// ShouldListGateways reports whether a gateway without a copy of the list of gateways reads it from
// the store now. delay is 0 in a small fleet, age the time since the start, contacted whether
// another gateway was heard.
func ShouldListGateways(delay, age time.Duration, contacted bool) bool {
	return delay == 0 || age >= delay && !contacted
}

// ShouldWatchStore reports whether this gateway watches the store. selected is set if it is one
// of the watchers among the gateways that it has heard, firstListed if it is one of them among
// the gateways listed in the store. Until a gateway has settled after startup it may not have
// heard the others, so firstListed is required as well. The gateways listed first need not
// wait, so requests are served sooner after a complete power loss.
func ShouldWatchStore(settled, selected, firstListed bool) bool {
	if settled {
		return selected
	}
	return selected && firstListed
}

// PeerFetchDelay returns how long another gateway may have a newer copy before it is fetched
// from there. The delay is 0 if this gateway does not watch the store or gets no response from
// it.
func PeerFetchDelay(s Status, watchers int) time.Duration {
	if !s.Watching || s.StoreLost {
		return 0
	}
	return min(max(peerFetchDelayPerWatcher*time.Duration(watchers), minPeerFetchDelay), maxPeerFetchDelay)
}

// ShouldFetchFromPeer reports whether to fetch a newer copy from another gateway. behind is how
// long the copy has been known to be behind, sinceLastFetch the time since the last such fetch
// started.
func ShouldFetchFromPeer(behind, sinceLastFetch, delay time.Duration) bool {
	return behind >= delay && sinceLastFetch >= hedgeDelay
}

// ShouldFetchFromStore reports whether to read the store after a fetch from another gateway
// failed, given how long the copy has been behind.
func ShouldFetchFromStore(behind time.Duration) bool {
	return behind > storeFallbackDelay
}

// SyncsFromStore reports whether a copy is kept up to date from the store. This applies to
// gateways that watch it, and to those that got no first copy within firstCopyTimeout of their
// start; age is the time since then.
func SyncsFromStore(watching, haveCopy bool, age time.Duration) bool {
	return watching || (!haveCopy && age > firstCopyTimeout)
}

// How long a watch of the store may remain unanswered before it is renewed.
const (
	// pollTimeoutPerWatcher is multiplied by the number of gateways that watch the store. With
	// more watchers, one of them detects sooner that the store lost their watches. Calls to the
	// store are billed, so timeouts are not shorter than needed.
	pollTimeoutPerWatcher = time.Second
	// minPollTimeout is the lower bound of the timeout.
	minPollTimeout = 2500 * time.Millisecond
	// maxPollTimeout is the upper bound of the timeout. A lost watch must not go undetected for
	// much longer than the platform's contact time.
	maxPollTimeout = 10 * time.Second
)

// PollTimeout returns how long a watch may remain unanswered, given the number of gateways that
// watch the store.
func PollTimeout(watchers int) time.Duration {
	return min(max(pollTimeoutPerWatcher*time.Duration(watchers), minPollTimeout), maxPollTimeout)
}

// lostWatchFraction is the fraction of the platform's contact time after which a watch of the
// configuration ends. The rest leaves time to renew a watch that the store lost and to copy
// what it missed. Without this limit, two gateways of three zones used an outdated
// configuration 4.1 s after the newer one was acknowledged.
const lostWatchFraction = 0.6

// ConfigPollTimeout is like PollTimeout for a watch of the configuration, which must end within
// contact, the time after a fault for which the platform excuses gateways; 0 if unknown. If that
// watch reveals that the history of the store is gone, the copies of all other kinds are checked
// too.
func ConfigPollTimeout(watchers int, contact time.Duration) time.Duration {
	limit := time.Duration(lostWatchFraction * float64(contact))
	if limit <= 0 {
		return PollTimeout(watchers)
	}
	return min(PollTimeout(watchers), limit)
}

// StoreLost reports whether, as far as this gateway knows, the store answers none of the
// gateways that watch it. others is the number of other watchers; othersLost is set if the
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
