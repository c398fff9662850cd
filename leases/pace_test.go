package leases_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/silverdeck/silverdeck/leases"
)

// drain is a full drain. A change without spare capacity then takes 0.3 + 0.45 s.
const drain = time.Second

func TestNeededSpreadsChangesOverTheRemainingTime(t *testing.T) {
	for name, c := range map[string]struct {
		pace  leases.Pace
		out   int
		drain time.Duration
	}{
		"none pending":                    {leases.Pace{Endpoints: 60, Remaining: time.Second, Drain: drain}, 0, drain},
		"full drains if a tenth suffices": {leases.Pace{Endpoints: 60, Pending: 60, Remaining: 14500 * time.Millisecond, Drain: drain}, 6, drain},
		"short ones if it does not":       {leases.Pace{Endpoints: 60, Pending: 60, Remaining: 4500 * time.Millisecond, Drain: drain}, 10, 300 * time.Millisecond},
		"half the fleet at once":          {leases.Pace{Endpoints: 60, Pending: 60, Remaining: 1500 * time.Millisecond, Drain: drain}, 30, 300 * time.Millisecond},
		"shorter ones beyond that":        {leases.Pace{Endpoints: 60, Pending: 60, Remaining: 1200 * time.Millisecond, Drain: drain}, 30, 150 * time.Millisecond},
		"none if there is no time":        {leases.Pace{Endpoints: 60, Pending: 60, Remaining: 450 * time.Millisecond, Drain: drain}, 60, 0},
		"all at once when the time is up": {leases.Pace{Endpoints: 60, Pending: 40, Drain: drain}, 40, 0},
		"a newer version in time":         {leases.Pace{Endpoints: 60, Pending: 60, Remaining: 4 * time.Second, Drain: drain, NewerIn: 3 * time.Second}, 0, drain},
		"a drain ends as the newer comes": {leases.Pace{Endpoints: 60, Pending: 60, Remaining: 4500 * time.Millisecond, Drain: drain, NewerIn: 300 * time.Millisecond, DrainsAhead: true}, 10, 300 * time.Millisecond},
		"a drain would end before":        {leases.Pace{Endpoints: 60, Pending: 60, Remaining: 4500 * time.Millisecond, Drain: drain, NewerIn: 301 * time.Millisecond, DrainsAhead: true}, 0, drain},
		"those refused ask once more":     {leases.Pace{Endpoints: 60, Pending: 60, Remaining: 4800 * time.Millisecond, Drain: drain, Interval: 300 * time.Millisecond}, 10, 300 * time.Millisecond},
		"a newer version too late":        {leases.Pace{Endpoints: 60, Pending: 60, Remaining: 4500 * time.Millisecond, Drain: drain, NewerIn: 4200 * time.Millisecond}, 10, 300 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			out, d := leases.Needed(c.pace)
			g.Expect(out).To(Equal(c.out))
			g.Expect(d).To(BeNumerically("~", c.drain, time.Microsecond))
		})
	}
}

func TestSpareDrainLeavesTimeForOthers(t *testing.T) {
	g := NewWithT(t)
	p := leases.Pace{Endpoints: 60, Pending: 60, Drain: drain}
	for remaining, want := range map[time.Duration]time.Duration{
		3 * time.Second: drain, 2500 * time.Millisecond: 800 * time.Millisecond, 1500 * time.Millisecond: 300 * time.Millisecond,
		500 * time.Millisecond: 300 * time.Millisecond, 0: drain,
	} {
		p.Remaining = remaining
		g.Expect(leases.SpareDrain(p)).To(BeNumerically("~", want, time.Microsecond), "%v", remaining)
	}
	p.Remaining, p.Pending = 500*time.Millisecond, 5
	g.Expect(leases.SpareDrain(p)).To(Equal(drain), "few are left")
}

func TestSkipsVersion(t *testing.T) {
	for name, c := range map[string]struct {
		pace leases.Pace
		want bool
	}{
		"no newer version":              {leases.Pace{Endpoints: 60, Pending: 60, Remaining: time.Minute, Drain: drain}, false},
		"time for full drains after it": {leases.Pace{Endpoints: 60, Pending: 60, Remaining: 5 * time.Second, Drain: drain, NewerIn: 2 * time.Second}, true},
		"too little time after it":      {leases.Pace{Endpoints: 60, Pending: 60, Remaining: 4 * time.Second, Drain: drain, NewerIn: 2 * time.Second}, false},
		"here before a drain ends":      {leases.Pace{Endpoints: 60, Pending: 60, Remaining: 2 * time.Second, Drain: drain, NewerIn: 1450 * time.Millisecond}, true},
		"a drain ends as it comes":      {leases.Pace{Endpoints: 60, Pending: 60, Remaining: 5 * time.Second, Drain: drain, NewerIn: time.Second, DrainsAhead: true}, false},
		"a drain would end before":      {leases.Pace{Endpoints: 60, Pending: 60, Remaining: 5 * time.Second, Drain: drain, NewerIn: 1001 * time.Millisecond, DrainsAhead: true}, true},
		"here too late":                 {leases.Pace{Endpoints: 60, Pending: 1, Remaining: time.Second, Drain: drain, NewerIn: 700 * time.Millisecond}, false},
	} {
		NewWithT(t).Expect(leases.SkipsVersion(c.pace)).To(Equal(c.want), name)
	}
}

// fullFleet returns ten endpoints without spare capacity.
func fullFleet() *leases.Fleet {
	return withVersion(newEndpoints(10, 14))
}

// withVersion makes all endpoints run version 1 in one zone.
func withVersion(f *leases.Fleet) *leases.Fleet {
	for i := range f.Endpoints {
		f.Endpoints[i].Version, f.Endpoints[i].Zone = 1, "z"
	}
	return f
}

// change is that of VM a, which leaves time for one of ten endpoints of a full fleet after the other.
var change = leases.Change{VM: "a", Held: 1, Remaining: 14600 * time.Millisecond, Drain: drain, Running: 8}

func TestDecide(t *testing.T) {
	for name, c := range map[string]struct {
		fleet   *leases.Fleet
		change  func(c *leases.Change)
		held    map[string]bool
		waiting []leases.Waiter
		want    bool
	}{
		"first":                            {fleet: fullFleet(), want: true},
		"another one is out":               {fleet: fullFleet(), held: map[string]bool{"b": true}},
		"another one is paused":            {fleet: paused(1, fullFleet())},
		"spare capacity":                   {fleet: newEndpoints(10, 4), held: map[string]bool{"b": true}, want: true},
		"demand below in-flight":           {fleet: demanding(90, newEndpoints(10, 14)), held: map[string]bool{"b": true}},
		"demand below in-flight, room":     {fleet: demanding(20, newEndpoints(10, 4)), held: map[string]bool{"b": true}, want: true},
		"demand above in-flight":           {fleet: demanding(160, newEndpoints(10, 4)), held: map[string]bool{"b": true}},
		"others have fewer requests":       {fleet: fullFleet(), waiting: []leases.Waiter{{Running: 7}}},
		"others have as many":              {fleet: fullFleet(), waiting: []leases.Waiter{{Running: 8}, {Running: 9}}, want: true},
		"others have changed already":      {fleet: changed(9, fullFleet()), held: map[string]bool{"b": true}},
		"the time is up":                   {fleet: fullFleet(), change: func(c *leases.Change) { c.Remaining = 0 }, held: map[string]bool{"b": true}, want: true},
		"a newer version comes":            {fleet: fullFleet(), change: func(c *leases.Change) { c.NewerIn = 2 * time.Second }},
		"it comes before the next request": {fleet: fullFleet(), change: func(c *leases.Change) { c.NewerIn = c.Remaining - 301*time.Millisecond }},
		"it comes too late":                {fleet: fullFleet(), change: func(c *leases.Change) { c.NewerIn = c.Remaining - 300*time.Millisecond }, want: true},
		"others expect it earlier":         {fleet: fullFleet(), change: func(c *leases.Change) { c.NewerIn = time.Minute }, waiting: expecting(2*time.Second, 3*time.Second)},
		"others expect it later":           {fleet: fullFleet(), change: func(c *leases.Change) { c.NewerIn = 2 * time.Second }, waiting: expecting(time.Minute, time.Minute), want: true},
		"others expect none":               {fleet: fullFleet(), change: func(c *leases.Change) { c.NewerIn = 2 * time.Second }, waiting: expecting(0, 0)},
		"only others expect one":           {fleet: fullFleet(), waiting: expecting(2*time.Second, 2*time.Second), want: true},
		"it comes, and there is room":      {fleet: withVersion(newEndpoints(10, 4)), change: func(c *leases.Change) { c.Remaining, c.NewerIn = 3*time.Second, 2*time.Second }, want: true},
		"half of the zone is out":          {fleet: inZone(2, fullFleet()), change: func(c *leases.Change) { c.Remaining = 4 * time.Second }, held: map[string]bool{"b": true}},
		"half of another zone is out":      {fleet: inZone(2, fullFleet()), change: func(c *leases.Change) { c.VM, c.Remaining = "c", 4*time.Second }, held: map[string]bool{"b": true}, want: true},
	} {
		t.Run(name, func(t *testing.T) {
			q := change
			if c.change != nil {
				c.change(&q)
			}
			NewWithT(t).Expect(leases.Decide(q, c.fleet, c.held, c.waiting).Given).To(Equal(c.want))
		})
	}
}

// paused marks the last n endpoints as paused.
func paused(n int, f *leases.Fleet) *leases.Fleet {
	for i := range n {
		e := &f.Endpoints[len(f.Endpoints)-1-i]
		e.Unavailable, e.Paused = true, true
	}
	return f
}

// demanding sets the demand.
func demanding(slots float64, f *leases.Fleet) *leases.Fleet {
	f.Demand = slots
	return f
}

// changed marks the last n endpoints as running version 2.
func changed(n int, f *leases.Fleet) *leases.Fleet {
	for i := range n {
		f.Endpoints[len(f.Endpoints)-1-i].Version = 2
	}
	return f
}

// expecting returns endpoints that wait with more requests than that of change, and expect a newer
// version in the given times.
func expecting(in ...time.Duration) []leases.Waiter {
	var out []leases.Waiter
	for _, d := range in {
		out = append(out, leases.Waiter{Running: change.Running + 1, NewerIn: d})
	}
	return out
}

// inZone puts the first n endpoints into a zone of their own.
func inZone(n int, f *leases.Fleet) *leases.Fleet {
	for i := range n {
		f.Endpoints[i].Zone = "y"
	}
	return f
}

// Guards against a sidecar that ends while it holds a lease, or while it waits for one, and keeps
// others from changing.
func TestASidecarThatEndsHoldsUpOthersForALimitedTime(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	table := leases.NewTable()
	b := change
	b.VM = "b"
	g.Expect(table.Schedule("s", change, fullFleet(), time.Second, now).Given).To(BeTrue())
	g.Expect(table.Schedule("s", b, fullFleet(), time.Second, now.Add(999*time.Millisecond)).Given).To(BeFalse())
	c := change
	c.VM, c.Running = "c", b.Running+1
	g.Expect(table.Schedule("s", c, fullFleet(), time.Second, now.Add(time.Second)).Given).To(BeFalse(), "b has fewer requests")
	g.Expect(table.Schedule("s", c, fullFleet(), time.Second, now.Add(1300*time.Millisecond)).Given).To(BeTrue(), "b no longer asks")
}

// Guards against two gateways that both grant leases, each without knowing those of the other: once an
// endpoint has told all gateways of its pause, it counts at both.
func TestAnOwnerCountsEndpointsToWhichAnotherGrantedLeases(t *testing.T) {
	g := NewWithT(t)
	f := fullFleet()
	g.Expect(leases.NewTable().Schedule("s", change, f, time.Second, time.Now()).Given).To(BeTrue())
	b := change
	b.VM = "b"
	other := leases.NewTable()
	f.Endpoints[0].Unavailable, f.Endpoints[0].Paused = true, true
	g.Expect(other.Schedule("s", b, f, time.Second, time.Now()).Given).To(BeFalse())
	f.Endpoints[0] = leases.Endpoint{VM: "a", Zone: "z", Slots: 16, InFlight: 2, Version: 2}
	g.Expect(other.Schedule("s", b, f, time.Second, time.Now()).Given).To(BeTrue())
}

// Guards against cutting the streams of endpoints that change last although the others have slots left:
// they are let end.
func TestTheLastEndpointsMayTakeMoreOfTheOthersSlots(t *testing.T) {
	g := NewWithT(t)
	last := change
	last.Remaining = 0
	f := demanding(0.9*9*16, newEndpoints(10, 12))
	g.Expect(leases.Decide(change, f, nil, nil).Spare).To(BeFalse())
	g.Expect(leases.Decide(last, f, nil, nil).Spare).To(BeTrue())
	g.Expect(leases.Decide(last, demanding(0.9*9*16+1, newEndpoints(10, 12)), nil, nil).Spare).To(BeFalse())
}
