package member

import (
	"cmp"
	"slices"
	"time"
)

// DemandRanks is the number of priority ranks that demand is counted by. Less urgent ranks share
// the last one.
const DemandRanks = 4

// Demand is the work that callers ask for of a service, as sent between gateways.
type Demand struct {
	Service string `json:"service"`
	// Zone is the availability zone of the gateways that received the requests. It is omitted in
	// heartbeats, which state that of their sender.
	Zone string `json:"zone,omitempty"`
	// Ranks is the demand by priority rank, in hundredths of a slot. Ranks at the end that have
	// none are omitted.
	Ranks []int `json:"ranks"`
	// Mean is the demand of all ranks over a longer time, in hundredths of a slot.
	Mean int `json:"mean,omitempty"`
}

// SlotsByRank is an amount of work by priority rank, in slots.
type SlotsByRank [DemandRanks]float64

// Total returns the amount of all ranks.
func (s SlotsByRank) Total() float64 {
	total := 0.0
	for _, n := range s {
		total += n
	}
	return total
}

// demandUnits is the number of units on the wire that make a slot.
const demandUnits = 100

// NewDemand returns the demand of a service as sent in a heartbeat, or false if it is too small
// to be sent. mean is the demand of all ranks over a longer time.
func NewDemand(service string, slots SlotsByRank, mean float64) (Demand, bool) {
	d := Demand{Service: service, Mean: int(mean*demandUnits + 0.5)}
	for rank, n := range slots {
		if units := int(n*demandUnits + 0.5); units > 0 {
			d.Ranks = append(d.Ranks, make([]int, rank-len(d.Ranks))...)
			d.Ranks = append(d.Ranks, units)
		}
	}
	return d, len(d.Ranks) > 0 || d.Mean > 0
}

// demandKey identifies the demand of the callers of one zone for a service.
type demandKey struct {
	service, zone string
}

// demandSum is a sum of demand, in units of the wire.
type demandSum struct {
	ranks [DemandRanks]int
	mean  int
}

// demandSums holds sums of demand.
type demandSums map[demandKey]demandSum

// addAll adds demand, multiplied by sign. zone is that of entries that state none.
func (s demandSums) addAll(demand []Demand, zone string, sign int) {
	for i := range demand {
		d := &demand[i]
		key := demandKey{service: d.Service, zone: cmp.Or(d.Zone, zone)}
		sum := s[key]
		for rank, n := range d.Ranks {
			if n > 0 {
				sum.ranks[min(rank, DemandRanks-1)] += sign * n
			}
		}
		sum.mean += sign * max(d.Mean, 0)
		s[key] = sum
	}
}

// encode returns the positive sums, sorted by service and zone.
func (s demandSums) encode() []Demand {
	var out []Demand
	for key, sum := range s {
		d := Demand{Service: key.service, Zone: key.zone, Mean: max(sum.mean, 0)}
		for rank, n := range sum.ranks {
			if n > 0 {
				d.Ranks = append(d.Ranks, make([]int, rank-len(d.Ranks))...)
				d.Ranks = append(d.Ranks, n)
			}
		}
		if len(d.Ranks) > 0 || d.Mean > 0 {
			out = append(out, d)
		}
	}
	slices.SortFunc(out, func(a, b Demand) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Zone, b.Zone))
	})
	return out
}

// FleetDemand is what is known of the demand that other gateways have for a service.
type FleetDemand struct {
	// Slots is the recent demand, Mean that of all ranks over a longer time, in slots.
	Slots SlotsByRank
	Mean  float64
	// Covers is the number of other gateways whose demand is included, Gateways the number of
	// other live gateways, Known that of other known gateways, dead or alive.
	Covers, Gateways, Known int
	// Age is the age of the oldest message that contributed.
	Age time.Duration
}

// Demand returns what is known of other gateways' demand for a service.
func (t *Table) Demand(service string, now time.Time) FleetDemand {
	t.mu.Lock()
	defer t.mu.Unlock()
	view := t.currentView()
	out := FleetDemand{Covers: view.covers, Gateways: len(t.liveMembers()), Known: len(t.allEntries())}
	for key, sum := range t.otherDemand(view) {
		if key.service != service {
			continue
		}
		out.Mean += float64(max(sum.mean, 0)) / demandUnits
		for rank, n := range sum.ranks {
			out.Slots[rank] += float64(max(n, 0)) / demandUnits
		}
	}
	if !view.oldest.IsZero() {
		out.Age = now.Sub(view.oldest)
	}
	return out
}

// ZoneDemand returns the recent demand for a service, in slots of its endpoints, by the availability
// zone of the gateways that received the requests. It includes this gateway, and is nil if nothing is
// known.
func (t *Table) ZoneDemand(service string) map[string]float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out map[string]float64
	add := func(sums demandSums) {
		for key, sum := range sums {
			if key.service != service {
				continue
			}
			if out == nil {
				out = map[string]float64{}
			}
			for _, n := range sum.ranks {
				out[key.zone] += float64(max(n, 0)) / demandUnits
			}
		}
	}
	add(t.otherDemand(t.currentView()))
	own := demandSums{}
	own.addAll(t.ownDemand, t.self.Zone, 1)
	add(own)
	return out
}

// otherDemand returns the demand of other gateways in view. It is cached along with view. The
// caller must hold t.mu and must not modify the result.
func (t *Table) otherDemand(view *loadView) demandSums {
	if view.demand != nil {
		return view.demand
	}
	out := demandSums{}
	if view.direct {
		out = t.directDemand()
	}
	for _, r := range view.remote {
		out.addAll(r.demand, "", 1)
	}
	view.demand = out
	return out
}

// directDemand returns the demand in the heartbeats that this gateway received. The caller must
// hold t.mu.
func (t *Table) directDemand() demandSums {
	out := demandSums{}
	for _, p := range t.direct {
		out.addAll(p.heartbeat.Demand, p.heartbeat.Entry.Zone, 1)
	}
	return out
}
