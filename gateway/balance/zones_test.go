package balance_test

import (
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/silverdeck/silverdeck/gateway/affinity"
	"github.com/silverdeck/silverdeck/gateway/balance"
	"github.com/silverdeck/silverdeck/gateway/zoneflow"
	"github.com/silverdeck/silverdeck/member"
	"github.com/silverdeck/silverdeck/roster"
)

// way is how gateways use endpoints of other zones.
type way int

const (
	// ownZone uses them when the endpoints of the own zone are full.
	ownZone way = iota
	// lent has gateways prefer endpoints of other zones, as zoneflow decides.
	lent
	// drawn draws the zone of each request, by the shares that zoneflow decides.
	drawn
	// paired compares the selected endpoint with two random ones of other zones, by load.
	paired
)

// zoned describes zones that differ.
type zoned struct {
	way way
	// demand is the rate of requests of each zone relative to others, endpoints the number of
	// endpoints of each zone.
	demand    []float64
	endpoints []int
	// changeAt is when change, if not nil, is applied.
	changeAt time.Duration
	change   func(*fleet)
}

func (s scenario) endpointsOf(zone int) int {
	if s.zoned == nil {
		return s.endpoints
	}
	return s.zoned.endpoints[zone]
}

func (s scenario) demandOf(zone int) float64 {
	if s.zoned == nil {
		return 1
	}
	return s.zoned.demand[zone]
}

// zonesState is the state of a simulation whose zones differ.
type zonesState struct {
	way way
	// weights replaces the cumulative weights of the gateways once it is set.
	weights []float64
	// arrivals holds the arrival times of the last second by zone.
	arrivals map[string][]time.Duration
	shares   map[string][]zoneflow.Share
	// flips counts changes of the shares, mutual how often two zones sent to each other.
	flips, mutual int
	// requests, abroad and bad count the requests by zone, those sent to other zones, and those
	// that were refused or late.
	requests, abroad, bad map[string]int
}

// demandWindow is the time over which a zone's demand is measured; newsDelay how late others know
// of it.
const (
	demandWindow = time.Second
	newsDelay    = 300 * time.Millisecond
)

func (f *fleet) startZones(z *zoned) {
	if z == nil {
		return
	}
	f.zones = &zonesState{way: z.way, arrivals: map[string][]time.Duration{}, shares: map[string][]zoneflow.Share{},
		requests: map[string]int{}, abroad: map[string]int{}, bad: map[string]int{}}
	for _, b := range f.gateways {
		b.SetColdLimits(map[string]balance.ColdLimit{"s": {Duration: 3 * time.Second, Rate: 14}})
	}
	f.assign()
	f.publishDemand()
	if z.change != nil {
		f.after(z.changeAt, func() { z.change(f) })
	}
}

// publishDemand has all gateways learn of the demand of all zones, and schedules the next time.
func (f *fleet) publishDemand() {
	z := f.zones
	byZone := map[string]*zoneflow.Zone{}
	for _, e := range f.entries {
		byZone[e.Zone] = &zoneflow.Zone{Name: e.Zone, Region: e.Zone}
		recent := slices.DeleteFunc(z.arrivals[e.Zone], func(t time.Duration) bool { return t < f.now-demandWindow })
		z.arrivals[e.Zone] = recent
		byZone[e.Zone].Demand = float64(len(recent)) * meanRun.Seconds() / min(demandWindow, max(f.now, 1)).Seconds()
	}
	for _, e := range f.list.Endpoints {
		byZone[e.Zone].Room += slots
	}
	var zones []zoneflow.Zone
	for _, zone := range byZone {
		zones = append(zones, *zone)
	}
	f.after(newsDelay, func() { f.settle(zones) })
	if f.now < arrivalPeriod {
		f.after(heartbeatInterval, f.publishDemand)
	}
}

// settle applies the flows that follow from the given sums.
func (f *fleet) settle(zones []zoneflow.Zone) {
	z := f.zones
	for _, zone := range zones {
		next := zoneflow.Settle(z.shares[zone.Name], zoneflow.Shares(zones, zone.Name))
		if fmt.Sprint(next) != fmt.Sprint(z.shares[zone.Name]) {
			z.flips++
		}
		z.shares[zone.Name] = next
	}
	for from, shares := range z.shares {
		for _, s := range shares {
			if slices.ContainsFunc(z.shares[s.To], func(back zoneflow.Share) bool { return back.To == from }) {
				z.mutual++
			}
		}
	}
	f.assign()
}

// assign has all gateways compute which endpoints they prefer and hold.
func (f *fleet) assign() {
	for g, b := range f.gateways {
		self := f.entries[g]
		preferred := affinity.Preferred(f.list, slices.Clone(f.entries), self.Name)
		if f.zones.way == lent {
			shares := map[string][]zoneflow.Share{"s": f.zones.shares[self.Zone]}
			for id := range affinity.Lent(f.list, f.entries, self.Name, shares) {
				preferred[id] = true
			}
		}
		b.SetPreferred(preferred)
		b.SetHeld(affinity.Held(f.list, f.heeding(), self.Name), at(0).Add(f.now))
	}
}

func (f *fleet) heeding() []member.Entry {
	var out []member.Entry
	for _, e := range f.entries {
		e.Heeds = true
		out = append(out, e)
	}
	return out
}

// requestToken asks the holder of an endpoint for a token on behalf of gateway g.
func (f *fleet) requestToken(g int, of roster.Incarnation) {
	requestedAt := at(0).Add(f.now)
	f.after(2*time.Millisecond, func() {
		holder, _ := affinity.Holder(f.list.Endpoints[of.ID], f.heeding())
		i := slices.IndexFunc(f.entries, func(e member.Entry) bool { return e.Name == holder.Name })
		granted, opensIn := f.gateways[i].Grant(f.entries[g].Name, of, f.gateways[g].ColdFor(of, at(0).Add(f.now)), at(0).Add(f.now))
		f.after(2*time.Millisecond, func() {
			reply := balance.TokenReply{Granted: granted, OpensIn: opensIn, RequestedAt: requestedAt}
			f.gateways[g].ApplyTokenReply(of, reply, at(0).Add(f.now))
		})
	})
}

func (f *fleet) currentWeights(weights []float64) []float64 {
	if f.zones != nil && f.zones.weights != nil {
		return f.zones.weights
	}
	return weights
}

// pick selects an endpoint for a request at gateway g.
func (f *fleet) pick(g int, q *balance.Query) (*balance.Lease, error) {
	b, now := f.gateways[g], at(0).Add(f.now)
	if f.zones == nil {
		return b.Pick(q, now)
	}
	switch f.zones.way {
	case drawn:
		if zone := f.drawZone(f.zones.shares[f.entries[g].Zone]); zone != "" {
			q.Include = f.idsIn(func(e *roster.Endpoint) bool { return e.Zone == zone })
			if lease, err := b.Pick(q, now); err == nil {
				return lease, nil
			}
			q.Include = nil
		}
	case paired:
		return f.pickPaired(g, q)
	case ownZone, lent:
	}
	return b.Pick(q, now)
}

func (f *fleet) drawZone(shares []zoneflow.Share) string {
	draw := f.rand.Float64()
	for _, s := range shares {
		if draw -= s.Share; draw < 0 {
			return s.To
		}
	}
	return ""
}

func (f *fleet) idsIn(accept func(*roster.Endpoint) bool) []string {
	var out []string
	for id, e := range f.list.Endpoints {
		if accept(e) {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// pickPaired selects an endpoint of the own zone and one of two random ones of other zones, and
// keeps the former unless its load is higher by more than a request.
func (f *fleet) pickPaired(g int, q *balance.Query) (*balance.Lease, error) {
	b, now := f.gateways[g], at(0).Add(f.now)
	own, err := b.Pick(q, now)
	others := f.idsIn(func(e *roster.Endpoint) bool { return e.Zone != f.entries[g].Zone })
	f.rand.Shuffle(len(others), func(i, k int) { others[i], others[k] = others[k], others[i] })
	q.Include, q.LeastLoaded = others[:min(2, len(others))], true
	other, otherErr := b.Pick(q, now)
	switch {
	case otherErr != nil:
		return own, err
	case err != nil:
		return other, nil
	case f.load(g, other) < f.load(g, own)-1:
		own, other = other, own
	}
	other.Done(balance.Neutral, now)
	return own, nil
}

// load returns the requests at a lease's endpoint as gateway g knows them.
func (f *fleet) load(g int, l *balance.Lease) int {
	of := l.Record.Incarnation()
	others := f.reportedTotal[of]
	if f.reported[g] != nil {
		others -= f.reported[g][of]
	}
	return others + l.OtherInFlight()
}

func (z *zonesState) note(f *fleet, g int, lease *balance.Lease) {
	if z == nil {
		return
	}
	zone := f.entries[g].Zone
	z.arrivals[zone] = append(z.arrivals[zone], f.now)
	z.requests[zone]++
	switch {
	case lease == nil:
		z.bad[zone]++
	case lease.Record.Zone != zone:
		z.abroad[zone]++
	}
}

func (z *zonesState) noteLate(f *fleet, g int) {
	if z != nil {
		z.bad[f.entries[g].Zone]++
	}
}

// update has all gateways use a list of endpoints.
func (f *fleet) update(list *roster.List) {
	f.list = list
	for _, b := range f.gateways {
		b.Update(list)
	}
	f.assign()
}

// loseZone removes the endpoints of the first zone.
func loseZone(f *fleet) {
	rest := &roster.List{Endpoints: map[string]*roster.Endpoint{}}
	for id, e := range f.list.Endpoints {
		if e.Zone != "z0" {
			rest.Endpoints[id] = e
		}
	}
	f.update(rest)
}

// returnZone removes the endpoints of the first zone, which return cold after two seconds.
func returnZone(f *fleet) {
	whole := f.list
	loseZone(f)
	f.after(2*time.Second, func() {
		back := &roster.List{Endpoints: map[string]*roster.Endpoint{}}
		for id, e := range whole.Endpoints {
			again := *e
			if e.Zone == "z0" {
				again.Born, again.ColdUntil = 2, at(0).Add(f.now+3*time.Second)
			}
			back.Endpoints[id] = &again
		}
		f.update(back)
	})
}

// moveClients has most clients of the first zone connect to gateways of the second.
func moveClients(f *fleet) {
	f.zones.weights = nil
	sum := 0.0
	for _, e := range f.entries {
		sum += map[string]float64{"z0": 0.5, "z1": 1.8, "z2": 1}[e.Zone]
		f.zones.weights = append(f.zones.weights, sum)
	}
}

var unevenZones = map[string]zoned{
	"1:1:1":             {demand: []float64{1, 1, 1}, endpoints: []int{13, 13, 13}},
	"3:2:1":             {demand: []float64{3, 2, 1}, endpoints: []int{13, 13, 13}},
	"4:3:3":             {demand: []float64{1.4, 1, 1}, endpoints: []int{14, 13, 13}},
	"uneven endpoints":  {demand: []float64{1, 1, 1}, endpoints: []int{8, 13, 18}},
	"no endpoints in 1": {demand: []float64{1, 1, 1}, endpoints: []int{0, 20, 19}},
	"zone lost":         {demand: []float64{1, 1, 1}, endpoints: []int{5, 17, 17}, changeAt: 3 * time.Second, change: loseZone},
	"returns cold":      {demand: []float64{1, 1, 1}, endpoints: []int{5, 17, 17}, changeAt: 3 * time.Second, change: returnZone},
	"clients move":      {demand: []float64{1.8, 0.5, 1}, endpoints: []int{13, 13, 13}, changeAt: 4 * time.Second, change: moveClients},
}

// Prints what each way of using endpoints of other zones gives; set WEIGH=1 to run it.
func TestWeighWaysAcrossZones(t *testing.T) {
	if os.Getenv("WEIGH") == "" {
		t.Skip("only prints figures")
	}
	names := map[way]string{ownZone: "own zone first", lent: "lent", drawn: "drawn", paired: "paired"}
	for name, z := range unevenZones {
		for _, load := range []float64{0.7, 0.8, 0.9} {
			for w := ownZone; w <= paired; w++ {
				z.way = w
				var bad, abroad, requests, refused, flips, mutual int
				worst := 0.0
				for seed := range uint64(5) {
					f := simulate(scenario{zones: 3, gateways: 15, load: load, firstZoneFactor: 1, weightsShare: 1, zoned: &z}, seed+1)
					requests += f.requests
					flips += f.zones.flips
					mutual += f.zones.mutual
					refused += f.refused + f.rejected
					for zone := range f.zones.requests {
						bad += f.zones.bad[zone]
						abroad += f.zones.abroad[zone]
						worst = max(worst, float64(f.zones.bad[zone])/float64(f.zones.requests[zone]))
					}
				}
				n := float64(requests)
				fmt.Printf("%-18s %.1f %-15s bad %.3f refused %.3f worst zone %.3f abroad %.3f flips %d mutual %d\n",
					name, load, names[w], float64(bad)/n, float64(refused)/n, worst, float64(abroad)/n, flips, mutual)
			}
		}
	}
}

func TestZonesPlaceholder(t *testing.T) { NewWithT(t).Expect(unevenZones).NotTo(BeEmpty()) }
