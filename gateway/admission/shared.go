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
	all := make([]member.AccountRate, 0, len(s.byName)+len(others.rates))
	known := make(map[uint32]bool, len(s.byName))
	for _, a := range s.byName {
		known[a.key] = true
		all = append(all, a.rate(now))
	}
	for key, told := range others.rates {
		if !known[key] && told.Recent > 0 {
			all = append(all, member.AccountRate{Account: key, Gateways: 1})
		}
	}
	sortBy(all, func(r member.AccountRate) float64 { return r.Recent + others.rates[r.Account].Recent })
	if len(all) > sharedOfFleet {
		sortBy(all[sharedOfFleet:], func(r member.AccountRate) float64 { return r.Recent })
	}
	return all[:min(len(all), member.MaxAccounts)]
}

// sortBy sorts rates by the result of f, the highest first.
func sortBy(rates []member.AccountRate, f func(member.AccountRate) float64) {
	slices.SortFunc(rates, func(a, b member.AccountRate) int {
		return cmp.Or(cmp.Compare(f(b), f(a)), cmp.Compare(a.Account, b.Account))
	})
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
