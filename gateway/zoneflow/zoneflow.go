// Package zoneflow decides how much of the demand for a service each availability zone sends to the
// endpoints of other zones. The rules are pure functions of sums that all gateways share, so that
// gateways with the same sums decide alike and nobody coordinates them.
package zoneflow

import (
	"cmp"
	"maps"
	"math"
	"slices"
)

// Thresholds.
const (
	// comfortableLoad is the load, in requests per slot, up to which a zone keeps all of its
	// demand: few requests wait for a slot, so sending them elsewhere would only cost traffic
	// between zones.
	comfortableLoad = 0.7
	// minShare is the smallest share of a zone's demand that starts or changes a flow. Sums that
	// are a heartbeat or two old differ by about that much from one to the next.
	minShare = 0.05
)

// Zone is the state of a service in one availability zone.
type Zone struct {
	Name, Region string
	// Demand is the work that callers ask of the zone's gateways, Room what the zone's endpoints
	// serve in time; both are in slots.
	Demand, Room float64
}

// Zones returns the zones that have demand or room, sorted by name, or nil if no demand is known. A
// zone whose region is unknown counts as a region of its own.
func Zones(demand, room map[string]float64, regions map[string]string) []Zone {
	if demand == nil {
		return nil
	}
	names := maps.Clone(demand)
	maps.Copy(names, room)
	var out []Zone
	for _, name := range slices.Sorted(maps.Keys(names)) {
		out = append(out, Zone{Name: name, Region: cmp.Or(regions[name], name), Demand: demand[name], Room: room[name]})
	}
	return out
}

// Flow is a part of the demand of zone From, in slots, that endpoints in zone To serve.
type Flow struct {
	From, To string
	Amount   float64
}

// Flows returns which parts of their demand zones send to other zones. A zone keeps what its own
// endpoints can serve at the load of the whole service, and the excess goes to zones with less
// demand than that, those of the same region first. No zone both sends and receives. This answers
// demand that is uneven between zones, and zones whose endpoints are lost, slow, or cold.
func Flows(zones []Zone) []Flow {
	zones = slices.Clone(zones)
	slices.SortFunc(zones, func(a, b Zone) int { return cmp.Compare(a.Name, b.Name) })
	load := serviceLoad(zones)
	if load == 0 {
		return nil
	}
	excess, spare := make([]float64, len(zones)), make([]float64, len(zones))
	for i, z := range zones {
		surplus := z.Demand - z.Room*load
		excess[i], spare[i] = max(surplus, 0), max(-surplus, 0)
	}
	amounts := map[[2]int]float64{}
	match(amounts, excess, spare, func(from, to int) bool { return zones[from].Region == zones[to].Region })
	match(amounts, excess, spare, func(int, int) bool { return true })
	var out []Flow
	for from := range zones {
		for to := range zones {
			if amount := amounts[[2]int{from, to}]; amount > 0 {
				out = append(out, Flow{From: zones[from].Name, To: zones[to].Name, Amount: amount})
			}
		}
	}
	return out
}

// serviceLoad returns the load at which all zones are equally loaded, at least comfortableLoad; 0 if
// there is no room.
func serviceLoad(zones []Zone) float64 {
	demand, room := 0.0, 0.0
	for _, z := range zones {
		demand, room = demand+z.Demand, room+z.Room
	}
	if room <= 0 {
		return 0
	}
	return max(demand/room, comfortableLoad)
}

// match moves excess demand to spare room between the pairs of zones that near accepts, in
// proportion to both, so that a small change of either changes the amounts little.
func match(amounts map[[2]int]float64, excess, spare []float64, near func(from, to int) bool) {
	offered := make([]float64, len(spare)) // the excess that could use each zone's spare room
	reachable := make([]float64, len(excess))
	for from := range excess {
		for to := range spare {
			if near(from, to) {
				offered[to] += excess[from]
				reachable[from] += spare[to]
			}
		}
	}
	moved := map[[2]int]float64{}
	for from := range excess {
		for to := range spare {
			if near(from, to) && excess[from]*spare[to] > 0 {
				moved[[2]int{from, to}] = excess[from] * spare[to] / max(offered[to], reachable[from])
			}
		}
	}
	for pair, amount := range moved {
		amounts[pair] += amount
		excess[pair[0]] -= amount
		spare[pair[1]] -= amount
	}
}

// Share is the share of a zone's demand, from 0 to 1, that endpoints in another zone serve.
type Share struct {
	To    string
	Share float64
}

// Shares returns the shares of the demand of zone from that flow to other zones, by zone name.
func Shares(zones []Zone, from string) []Share {
	var out []Share
	for _, f := range Flows(zones) {
		if f.From == from {
			out = append(out, Share{To: f.To, Share: f.Amount / demandOf(zones, from)})
		}
	}
	return out
}

func demandOf(zones []Zone, name string) float64 {
	for _, z := range zones {
		if z.Name == name {
			return z.Demand
		}
	}
	return 0
}

// Settle returns the shares to use after previous, if next follows from the present sums. Shares that
// have changed by less than minShare stay, which keeps assignments from changing with each
// heartbeat. Flows end as soon as the zone has no excess, so that two zones never send to each other.
func Settle(previous, next []Share) []Share {
	if len(next) == 0 {
		return nil
	}
	for _, s := range slices.Concat(previous, next) {
		if math.Abs(of(previous, s.To)-of(next, s.To)) >= minShare {
			return next
		}
	}
	return previous
}

// of returns the share that flows to a zone.
func of(shares []Share, to string) float64 {
	for _, s := range shares {
		if s.To == to {
			return s.Share
		}
	}
	return 0
}

// Total returns the share of a zone's demand that flows to all other zones.
func Total(shares []Share) float64 {
	sum := 0.0
	for _, s := range shares {
		sum += s.Share
	}
	return sum
}
