package admission

import (
	"cmp"
	"slices"
	"time"

	"github.com/silverdeck/silverdeck/member"
)

// fleetAccounts is what other gateways tell of the client accounts of a service.
type fleetAccounts struct {
	rates map[uint32]member.AccountRate
	// covers is the number of gateways that were heard.
	covers int
}

// hear records what other gateways tell of the service during a shortage. Old news is not used. The
// caller must hold s.mu.
func (s *service) hear(news News, now time.Time) {
	if news.Age > maxNewsAge {
		news.Accounts, news.Told = nil, nil
	}
	s.fleetAccounts = fleetAccounts{rates: news.Accounts, covers: news.Covers}
	s.returns.hear(news.Told, Share(&s.conditions), now)
}

// sharedOfFleet is the number of accounts that a gateway tells of because they are the busiest of all
// gateways. All tell of the same ones, so that their sums are complete. The other accounts that it
// tells of are its own busiest.
const sharedOfFleet = member.MaxAccounts / 2

// busiest returns the accounts that this gateway tells others of.
func (s *accounts) busiest(others *fleetAccounts, now time.Time) []member.AccountRate {
	all := make([]rankedRate, 0, len(s.byName)+len(others.rates))
	known := make(map[uint32]bool, len(s.byName))
	for _, a := range s.byName {
		known[a.key] = true
		rate := a.rate(now)
		all = append(all, rankedRate{rate, rate.Recent + others.rates[a.key].Recent})
	}
	for key, told := range others.rates {
		if !known[key] && told.Recent > 0 {
			all = append(all, rankedRate{member.AccountRate{Account: key, Gateways: 1}, told.Recent})
		}
	}
	out := highest(all, sharedOfFleet, func(r rankedRate) float64 { return r.fleet })
	told := map[uint32]bool{}
	for _, r := range out {
		told[r.Account] = true
	}
	all = slices.DeleteFunc(all, func(r rankedRate) bool { return told[r.Account] })
	return append(out, highest(all, member.MaxAccounts-len(out), func(r rankedRate) float64 { return r.Recent })...)
}

// rankedRate is an account's rate at this gateway, with its recent rate at all gateways.
type rankedRate struct {
	member.AccountRate
	fleet float64
}

// highest returns the n rates with the highest result of by.
func highest(rates []rankedRate, n int, by func(rankedRate) float64) []member.AccountRate {
	var top []rankedRate
	for _, r := range rates {
		if len(top) == n && by(r) <= by(top[n-1]) {
			continue
		}
		at, _ := slices.BinarySearchFunc(top, r, func(a, b rankedRate) int {
			return cmp.Or(cmp.Compare(by(b), by(a)), cmp.Compare(a.Account, b.Account))
		})
		top = slices.Insert(top, at, r)
		top = top[:min(len(top), n)]
	}
	out := make([]member.AccountRate, 0, len(top))
	for _, r := range top {
		out = append(out, r.AccountRate)
	}
	return out
}

// Shortages returns what this gateway tells others of the services whose room is short, those with
// the largest demand first.
func (g *Gate) Shortages(now time.Time) []member.Shortage {
	var out []member.Shortage
	demand := map[string]float64{}
	for name, s := range g.services.all() {
		if x, short := s.shared(now); short {
			out = append(out, x)
			demand[name] = s.currentDemand(now).Mean
		}
	}
	slices.SortFunc(out, func(a, b member.Shortage) int { return cmp.Compare(demand[b.Service], demand[a.Service]) })
	return out[:min(len(out), member.MaxShortages)]
}

// shared returns what this gateway tells others of the service, and false if its room is not short.
func (s *service) shared(now time.Time) (member.Shortage, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.shortage {
		return member.Shortage{}, false
	}
	accounts := s.accounts.busiest(&s.fleetAccounts, now)
	return member.Shortage{Service: s.name, Accounts: member.PackAccounts(accounts), Told: s.returns.told(now)}, true
}
