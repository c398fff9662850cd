package admission

import (
	"cmp"
	"slices"
	"time"
)

// Limits on client accounts during a shortage.
const (
	// usualWindow is the time over which the usual demand of accounts is measured.
	usualWindow = 30 * time.Second
	// accountBurst is the multiple of its usual part of the requests up to which an account is
	// served like all others.
	accountBurst = 1.5
	// minAccountPart is the least part of an account, in slots, so that new accounts have one.
	minAccountPart = 0.25
	// maxAccounts limits the number of accounts that are measured, and so the memory.
	maxAccounts = 4096
)

// PartOfAccount returns how much of the work of a gateway with the given limit, in slots, an account
// gets before it leaves a reserve for the others. usual is the account's usual demand, total that of
// all accounts, in slots. It answers the burst of one account, which would otherwise take the room
// of all others: what counts is its usual demand, not how fast it repeats its requests.
func PartOfAccount(limit, usual, total float64) float64 {
	if total <= 0 {
		return limit
	}
	return max(minAccountPart, accountBurst*limit*usual/total)
}

// account is what is known of a client account.
type account struct {
	usual meter
	// admitted is the work that was admitted, in slots over demandWindow. running is the number of
	// requests that run.
	admitted meter
	running  int
}

// accounts holds client accounts by name. The zero value is ready to use.
type accounts struct {
	byName map[string]*account
	// usual is the demand of all accounts.
	usual meter
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
