package member

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"
)

// Limits of what gateways tell of a service whose room is short.
const (
	// MaxAccounts is the number of client accounts of a service in a heartbeat.
	MaxAccounts = 16
	// maxAccountSums is that in a digest.
	maxAccountSums = 32
	// MaxShortages is the number of services in a heartbeat and in a digest.
	MaxShortages = 8
	// maxRate and maxGateways bound the values of a record, in units of the wire.
	maxRate, maxGateways = 1 << 30, 1 << 16
)

// Steps by which callers that were told to return are counted.
const (
	// ToldStep is the length of a step.
	ToldStep = 250 * time.Millisecond
	// ToldSteps is the number of steps that are sent.
	ToldSteps = 12
	// ToldPast is the number of these that have passed, so that gateways that learn of them late know
	// who returns now.
	ToldPast = 3
)

// Shortage is what gateways tell of a service whose room is short.
type Shortage struct {
	Service string `json:"service"`
	// Accounts holds the request rates of the busiest client accounts.
	Accounts PackedAccounts `json:"accounts,omitempty"`
	// Told counts the callers that were told to return, by the step in which they should. Steps at
	// the end that have none are omitted.
	Told []int `json:"told,omitempty"`
}

// AccountRate is the rate at which a client account sends requests to some gateways.
type AccountRate struct {
	// Account is a hash of the account's name.
	Account uint32
	// Recent is the rate of the last seconds, Usual that of the last minutes, in requests per
	// second.
	Recent, Usual float64
	// Gateways is the number of gateways that are included.
	Gateways int
}

// PackedAccounts encodes AccountRates. Each record is the account, in four bytes, followed by
// Recent, Usual and Gateways as varints.
type PackedAccounts []byte

// rateUnits is the number of units on the wire that make a request per second.
const rateUnits = 100

// PackAccounts encodes rates.
func PackAccounts(rates []AccountRate) PackedAccounts {
	var out PackedAccounts
	for _, r := range rates {
		out = out.append(r.Account, accountSum{toUnits(r.Recent), toUnits(r.Usual), min(r.Gateways, maxGateways)})
	}
	return out
}

func toUnits(rate float64) int {
	return int(min(max(rate, 0)*rateUnits+0.5, maxRate))
}

// Unpack decodes p. It ignores what follows a malformed record.
func (p PackedAccounts) Unpack() []AccountRate {
	var out []AccountRate
	for account, sum := range p.records {
		out = append(out, sum.rate(account))
	}
	return out
}

// accountSum is a sum of rates, in units of the wire, of a number of gateways.
type accountSum struct {
	recent, usual, gateways int
}

func (s accountSum) add(other accountSum, sign int) accountSum {
	return accountSum{s.recent + sign*other.recent, s.usual + sign*other.usual, s.gateways + sign*other.gateways}
}

func (s accountSum) rate(account uint32) AccountRate {
	return AccountRate{Account: account, Recent: float64(s.recent) / rateUnits, Usual: float64(s.usual) / rateUnits, Gateways: s.gateways}
}

func (p PackedAccounts) append(account uint32, s accountSum) PackedAccounts {
	p = binary.BigEndian.AppendUint32(p, account)
	for _, n := range []int{s.recent, s.usual, s.gateways} {
		p = binary.AppendUvarint(p, uint64(min(max(n, 0), maxRate)))
	}
	return p
}

// records yields the records of p up to the first that is malformed.
func (p PackedAccounts) records(yield func(uint32, accountSum) bool) {
	for range maxAccountSums {
		if len(p) < 4 {
			return
		}
		account := binary.BigEndian.Uint32(p)
		p = p[4:]
		var values [3]int
		for i := range values {
			v, n := binary.Uvarint(p)
			if n <= 0 || v > maxRate {
				return
			}
			values[i], p = int(v), p[n:]
		}
		if values[2] > maxGateways || !yield(account, accountSum{values[0], values[1], values[2]}) {
			return
		}
	}
}

// shortageSum is a sum of what gateways tell of a service.
type shortageSum struct {
	accounts map[uint32]accountSum
	// told is by step since the epoch.
	told map[int64]int
}

// shortageSums holds sums by service.
type shortageSums map[string]*shortageSum

func (s shortageSums) get(service string) *shortageSum {
	sum := s[service]
	if sum == nil {
		sum = &shortageSum{accounts: map[uint32]accountSum{}, told: map[int64]int{}}
		s[service] = sum
	}
	return sum
}

// addAll adds what was heard at the given time.
func (s shortageSums) addAll(shortages []Shortage, heardAt time.Time) {
	for _, x := range shortages[:min(len(shortages), MaxShortages)] {
		sum := s.get(x.Service)
		for account, rate := range x.Accounts.records {
			sum.accounts[account] = sum.accounts[account].add(rate, 1)
		}
		first := toldStepOf(heardAt) - ToldPast
		for i, n := range x.Told[:min(len(x.Told), ToldSteps)] {
			sum.told[first+int64(i)] += min(max(n, 0), maxRate)
		}
	}
}

func (s shortageSums) addSums(others shortageSums) {
	for service, x := range others {
		sum := s.get(service)
		for account, rate := range x.accounts {
			sum.accounts[account] = sum.accounts[account].add(rate, 1)
		}
		for step, n := range x.told {
			sum.told[step] += n
		}
	}
}

func toldStepOf(at time.Time) int64 {
	return at.UnixNano() / int64(ToldStep)
}

// encode returns the sums without those in except.
func (s shortageSums) encode(except shortageSums, now time.Time) []Shortage {
	var out []Shortage
	for service, sum := range s {
		without := except[service]
		if without == nil {
			without = &shortageSum{}
		}
		x := Shortage{Service: service, Accounts: sum.pack(without), Told: sum.toldFrom(without, now)}
		if len(x.Accounts) > 0 || len(x.Told) > 0 {
			out = append(out, x)
		}
	}
	slices.SortFunc(out, func(a, b Shortage) int { return cmp.Compare(a.Service, b.Service) })
	return out[:min(len(out), MaxShortages)]
}

// pack encodes the busiest accounts.
func (s *shortageSum) pack(except *shortageSum) PackedAccounts {
	var rates []AccountRate
	for account, sum := range s.accounts {
		if sum = sum.add(except.accounts[account], -1); sum.gateways > 0 {
			rates = append(rates, sum.rate(account))
		}
	}
	slices.SortFunc(rates, func(a, b AccountRate) int {
		return cmp.Or(cmp.Compare(b.Recent, a.Recent), cmp.Compare(a.Account, b.Account))
	})
	return PackAccounts(rates[:min(len(rates), maxAccountSums)])
}

// toldFrom returns the counts of the steps that are sent at the given time.
func (s *shortageSum) toldFrom(except *shortageSum, now time.Time) []int {
	first := toldStepOf(now) - ToldPast
	out := make([]int, 0, ToldSteps)
	last := 0
	for i := range int64(ToldSteps) {
		n := max(s.told[first+i]-except.told[first+i], 0)
		out = append(out, n)
		if n > 0 {
			last = len(out)
		}
	}
	return out[:last]
}

// FleetShortage is what other gateways tell of a service whose room is short.
type FleetShortage struct {
	// Accounts holds the rates of client accounts by AccountRate.Account.
	Accounts map[uint32]AccountRate
	// Told counts the callers that were told to return, as Shortage.Told does.
	Told []int
}

// Shortage returns what other gateways tell of a service whose room is short.
func (t *Table) Shortage(service string, now time.Time) FleetShortage {
	t.mu.Lock()
	defer t.mu.Unlock()
	sum := t.otherShortages(t.currentView())[service]
	if sum == nil {
		return FleetShortage{}
	}
	out := FleetShortage{Accounts: make(map[uint32]AccountRate, len(sum.accounts)), Told: sum.toldFrom(&shortageSum{}, now)}
	for account, x := range sum.accounts {
		out.Accounts[account] = x.rate(account)
	}
	return out
}

// otherShortages returns what the other gateways in view tell. It is cached along with view. The
// caller must hold t.mu and must not modify the result.
func (t *Table) otherShortages(view *loadView) shortageSums {
	if view.shortages != nil {
		return view.shortages
	}
	out := shortageSums{}
	if view.direct {
		out = t.directShortages()
	}
	for _, r := range view.remote {
		out.addAll(r.shortages, r.heardAt)
	}
	view.shortages = out
	return out
}

// directShortages returns what the heartbeats that this gateway received tell. The caller must
// hold t.mu.
func (t *Table) directShortages() shortageSums {
	out := shortageSums{}
	for _, p := range t.direct {
		out.addAll(p.heartbeat.Shortages, p.heardAt)
	}
	return out
}
