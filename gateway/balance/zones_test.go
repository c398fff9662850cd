package balance_test

import (
	"fmt"
	"math"
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
	// arrivals counts the requests of each zone, each with a weight that decays over
	// demandWindow.
	arrivals map[string]float64
	shares   map[string][]zoneflow.Share
	// changes counts changes of the shares, mutual how often two zones sent to each other.
	changes, mutual int
	// requests, abroad and bad count the requests by zone, those sent to other zones, and those
	// that were refused or late.
	requests, abroad, bad map[string]int
}

// demandWindow is the time over which the demand of a zone is smoothed.
const demandWindow = 2 * time.Second

// newsDelay is how late others know of a zone's demand.
const newsDelay = 300 * time.Millisecond

func (f *fleet) startZones(z *zoned) {
	if z == nil {
		return
	}
	f.zones = &zonesState{way: z.way, arrivals: map[string]float64{}, shares: map[string][]zoneflow.Share{},
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
	}
	measured := 1 - math.Exp(-max(f.now, time.Second).Seconds()/demandWindow.Seconds())
	for name, zone := range byZone {
		zone.Demand = z.arrivals[name] * meanRun.Seconds() / demandWindow.Seconds() / measured
		z.arrivals[name] *= math.Exp(-heartbeatInterval.Seconds() / demandWindow.Seconds())
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
			z.changes++
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
		preferred := affinity.Preferred(f.list, slices.Clone(f.entries), nil, self.Name)
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
	z.arrivals[zone]++
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

// unevenZones are the fleets that are played, with the highest allowed shares of requests that are
// late or refused: of all zones, and of any zone.
// Where a zone is lost, load is the load before.
var unevenZones = []struct {
	name string
	zoned
	load, bad, worst float64
}{
	{"equal", zoned{demand: []float64{1, 1, 1}, endpoints: []int{13, 13, 13}}, 0.7, 0.02, 0.04},
	{"three to two to one", zoned{demand: []float64{3, 2, 1}, endpoints: []int{13, 13, 13}}, 0.7, 0.02, 0.04},
	{"one zone asks more", zoned{demand: []float64{1.4, 1, 1}, endpoints: []int{14, 13, 13}}, 0.7, 0.02, 0.04},
	{"uneven endpoints", zoned{demand: []float64{1, 1, 1}, endpoints: []int{8, 13, 18}}, 0.7, 0.02, 0.04},
	{"a zone without endpoints", zoned{demand: []float64{1, 1, 1}, endpoints: []int{0, 20, 19}}, 0.7, 0.02, 0.04},
	{"a zone is lost", zoned{demand: []float64{1, 1, 1}, endpoints: []int{5, 17, 17}, changeAt: 3 * time.Second, change: loseZone}, 0.6, 0.05, 0.08},
	{"a zone returns cold", zoned{demand: []float64{1, 1, 1}, endpoints: []int{5, 17, 17}, changeAt: 3 * time.Second, change: returnZone}, 0.6, 0.05, 0.08},
	{"clients move", zoned{demand: []float64{1.8, 0.5, 1}, endpoints: []int{13, 13, 13}, changeAt: 4 * time.Second, change: moveClients}, 0.7, 0.05, 0.08},
}

// playZones simulates a fleet with 15 gateways in each of three zones.
func playZones(z zoned, load float64, seed uint64) *fleet {
	return simulate(scenario{zones: 3, gateways: 15, load: load, firstZoneFactor: 1, weightsShare: 1, zoned: &z}, seed)
}

// badShares returns the share of requests that were refused or late, of all zones and of the worst.
func (f *fleet) badShares() (all, worst float64) {
	bad := 0
	for zone, n := range f.zones.requests {
		bad += f.zones.bad[zone]
		worst = max(worst, float64(f.zones.bad[zone])/float64(n))
	}
	return float64(bad) / float64(f.requests), worst
}

// Guards against zones whose requests wait while endpoints of other zones have room, whatever the
// zones' demand and endpoints. A change takes effect within a second or two, so that in ten seconds
// one in twenty may be late. Flows must not swing, though news of them is late.
func TestZonesAreServedAlike(t *testing.T) {
	for _, x := range unevenZones {
		t.Run(x.name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			x.way = lent
			f := playZones(x.zoned, x.load, 1)
			all, worst := f.badShares()
			t.Logf("%.3f late or refused, worst zone %.3f, %d changes of flows", all, worst, f.zones.changes)
			g.Expect(all).To(BeNumerically("<=", x.bad))
			g.Expect(worst).To(BeNumerically("<=", x.worst))
			g.Expect(f.zones.mutual).To(BeZero(), "zones that send to each other")
			g.Expect(f.zones.changes).To(BeNumerically("<=", 30), "one a second for each zone")
		})
	}
}

// A zone must not send more than its excess: links between regions are narrow.
func TestOnlyTheExcessLeavesAZone(t *testing.T) {
	for _, x := range unevenZones[:3] {
		g := NewWithT(t)
		x.way = lent
		f := playZones(x.zoned, x.load, 1)
		excess := map[string]float64{"equal": 0, "three to two to one": 1.0 / 6, "one zone asks more": 0.05}[x.name]
		sum := 0
		for _, n := range f.zones.abroad {
			sum += n
		}
		g.Expect(float64(sum)/float64(f.requests)).To(BeNumerically("<=", excess+0.05), x.name)
	}
}

// BenchmarkWaysAcrossZones reports what each way of using endpoints of other zones gives: the shares
// of requests that are late or refused, of all zones and of the worst one, and that leave their zone.
func BenchmarkWaysAcrossZones(b *testing.B) {
	for _, x := range unevenZones {
		for _, load := range []float64{0.7, 0.85} {
			for w, name := range []string{"own", "lent", "drawn", "paired"} {
				b.Run(fmt.Sprintf("%s/%.2f/%s", x.name, load, name), func(b *testing.B) {
					x.way = way(w)
					var all, worst, abroad float64
					for seed := range b.N {
						f := playZones(x.zoned, load, uint64(seed)+1)
						a, w := f.badShares()
						all, worst = all+a, worst+w
						for _, n := range f.zones.abroad {
							abroad += float64(n) / float64(f.requests)
						}
					}
					b.ReportMetric(all/float64(b.N), "bad")
					b.ReportMetric(worst/float64(b.N), "worst")
					b.ReportMetric(abroad/float64(b.N), "abroad")
				})
			}
		}
	}
}
