package admission

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/silverdeck/silverdeck/member"
)

// Limits on client accounts during a shortage.
const (
	// usualWindow and recentWindow are the times over which the usual and the recent number of an
	// account's requests are measured.
	usualWindow, recentWindow = 2 * time.Minute, 5 * time.Second
	// accountBurst is the multiple of its usual number of requests up to which an account is served
	// like all others, and minBurst the number that it may send besides: the few requests that an
	// account sends to one gateway come unevenly.
	accountBurst, minBurst = 2.0, 3.0
	// earlyShare is the share of an account's requests that come back before MinReturn from which on
	// its callers count as ignoring Retry-After. Some come as late for other reasons, such as a slow
	// connection. minEarly is the least number of such requests.
	earlyShare, minEarly = 0.15, 2.0
	// sharedWindow is the time over which the recent number of an account's requests is measured if
	// other gateways tell theirs: together they see enough of them.
	sharedWindow = 2 * time.Second
	// maxAccounts limits the number of accounts that are measured, and so the memory.
	maxAccounts = 4096
)

// AccountShare returns the share of an account's requests, between 0 and 1, that is served like those
// of other accounts. recent is the number of its requests within recentWindow, usual its usual number
// in that time. It answers the burst of one account, which would otherwise take the room of all
// others: what counts is its usual demand, not how fast it repeats its requests.
func AccountShare(recent, usual float64) float64 {
	allowed := accountBurst * usual
	if recent <= allowed+minBurst {
		return 1
	}
	return (allowed + 1) / recent
}

// FleetAccountShare returns the result of AccountShare for the requests that all gateways receive of
// an account. own is what this gateway receives, others the sum of what others tell, covers the number
// of gateways that tell of any account. Those that don't tell of this one count with the mean usual
// rate of those that do and with no recent requests: each gateway tells of its busiest accounts only,
// and an account must not seem to send more than usual because just the gateways with many requests
// tell of it. It answers a burst that is spread over so many gateways that none sees it.
func FleetAccountShare(own, others member.AccountRate, covers int) float64 {
	silent := max(1, float64(covers)/float64(max(others.Gateways, 1)))
	window := sharedWindow.Seconds()
	return AccountShare((own.Recent+others.Recent)*window, (own.Usual+others.Usual*silent)*window)
}

// account is what is known of a client account.
type account struct {
	// key identifies it in messages between gateways.
	key uint32
	// recent, latest and usual count its requests, early those that came back before MinReturn.
	recent, latest, usual, early meter
	// credit is the part of a request that the account may send; see take.
	credit float64
	// running is the number of its admitted requests.
	running int
}

// count counts a request that came the given time after its caller's first try.
func (a *account) count(elapsed time.Duration, now time.Time) {
	a.recent.add(1, recentWindow, now)
	a.latest.add(1, sharedWindow, now)
	a.usual.add(1, usualWindow, now)
	if isEarly(elapsed) {
		a.early.add(1, recentWindow, now)
	}
}

// rate returns what this gateway tells others of the account.
func (a *account) rate(now time.Time) member.AccountRate {
	return member.AccountRate{Account: a.key, Recent: a.latest.rate(sharedWindow, now), Usual: a.usual.rate(usualWindow, now), Gateways: 1}
}

// share returns the share of the account's requests that is served like those of others. What all
// gateways receive of it decides, if others tell.
func (a *account) share(others *fleetAccounts, now time.Time) float64 {
	if told, ok := others.rates[a.key]; ok {
		return FleetAccountShare(a.rate(now), told, others.covers)
	}
	return AccountShare(a.recent.rate(recentWindow, now)*recentWindow.Seconds(), a.usual.rate(usualWindow, now)*recentWindow.Seconds())
}

// take returns whether the account's next request is within its share. It spreads those that are
// evenly over all. What is beyond the share doesn't become usual while it takes the room of others.
func (a *account) take(others *fleetAccounts, now time.Time) bool {
	share := a.share(others, now)
	a.usual.add(share-1, usualWindow, now)
	if share >= 1 {
		a.credit = 0
		return true
	}
	a.credit += share
	if a.credit < 1 {
		return false
	}
	a.credit--
	return true
}

// repeats returns whether the account's callers repeat requests at once.
func (a *account) repeats(now time.Time) bool {
	window := recentWindow.Seconds()
	return RepeatsAtOnce(a.early.rate(recentWindow, now)*window, a.recent.rate(recentWindow, now)*window)
}

// RepeatsAtOnce returns whether the callers of an account ignore Retry-After, given the number of its
// requests that came back before MinReturn and of all, over recentWindow. It answers clients that
// repeat refused requests at once, which would otherwise be served more often than all others.
func RepeatsAtOnce(early, asked float64) bool {
	return early >= minEarly && early >= earlyShare*asked
}

// connectTime is the time since a first try that is put down to opening a connection.
const connectTime = 25 * time.Millisecond

// isEarly returns whether a caller came back before MinReturn, given the time since its first try.
func isEarly(elapsed time.Duration) bool {
	return elapsed > connectTime && elapsed < MinReturn
}

// accounts holds client accounts by name. The zero value is ready to use.
type accounts struct {
	byName map[string]*account
}

// get returns the account with the given name. If there are too many, those that have been idle
// longest are forgotten.
func (s *accounts) get(name string) *account {
	if s.byName == nil {
		s.byName = map[string]*account{}
	}
	a := s.byName[name]
	if a != nil {
		return a
	}
	if len(s.byName) >= maxAccounts {
		s.forgetIdle()
	}
	a = &account{key: accountKey(name)}
	s.byName[name] = a
	return a
}

// accountKey returns the hash of an account's name. Two accounts with the same hash, of which there
// are some in one of 4,000 deployments with 1,500 accounts, are judged by the sum of their requests.
func accountKey(name string) uint32 {
	return uint32(xxhash.Sum64String(name))
}

// forgetIdle removes the half of the accounts whose last request was longest ago, except those that
// have requests running.
func (s *accounts) forgetIdle() {
	var names []string
	for name, a := range s.byName {
		if a.running == 0 {
			names = append(names, name)
		}
	}
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Compare(s.byName[a].usual.at.UnixNano(), s.byName[b].usual.at.UnixNano())
	})
	for _, name := range names[:len(names)/2] {
		delete(s.byName, name)
	}
}
