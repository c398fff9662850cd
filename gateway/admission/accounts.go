package admission

import (
	"cmp"
	"slices"
	"time"
)

// Limits on client accounts during a shortage.
const (
	// recentWindow and usualWindow are the times over which an account's recent and usual demand
	// are measured.
	recentWindow, usualWindow = 4 * time.Second, 30 * time.Second
	// accountBurst is the multiple of its usual demand up to which an account is served like all
	// others.
	accountBurst = 2.0
	// minBurst is the number of requests within recentWindow up to which an account is not limited:
	// so few requests come together by chance.
	minBurst = 6.0
	// maxAccounts limits the number of accounts that are measured, and so the memory.
	maxAccounts = 4096
)

// AccountShare returns the share of its requests, between 0 and 1, that an account has admitted
// during a shortage. recent and usual are its requests per second over recentWindow and
// usualWindow. It answers the burst of one account, which would otherwise take the room of all
// others.
func AccountShare(recent, usual float64) float64 {
	allowed := max(accountBurst*usual, minBurst/recentWindow.Seconds())
	return min(1, allowed/max(recent, allowed))
}

// account measures the demand of a client account.
type account struct {
	recent, usual meter
	// credit is the part of a request that the account may still send; see take.
	credit float64
}

// take returns whether the account's next request counts within its share. The credit spreads the
// requests that don't evenly over all.
func (a *account) take(share float64) bool {
	if share >= 1 {
		a.credit = 1
		return true
	}
	a.credit = min(a.credit+share, 1)
	if a.credit < 1 {
		return false
	}
	a.credit--
	return true
}

// accounts measures client accounts by name. The zero value is ready to use.
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
	a = &account{}
	s.byName[name] = a
	return a
}

// forgetIdle removes the half of the accounts whose last request was longest ago.
func (s *accounts) forgetIdle() {
	names := make([]string, 0, len(s.byName))
	for name := range s.byName {
		names = append(names, name)
	}
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Compare(s.byName[a].recent.at.UnixNano(), s.byName[b].recent.at.UnixNano())
	})
	for _, name := range names[:len(names)/2] {
		delete(s.byName, name)
	}
}
