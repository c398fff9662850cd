package zoneflow_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/silverdeck/silverdeck/gateway/zoneflow"
)

// zones returns zones a, b, c and so on, each in a region of its own, with the given demands and
// rooms.
func zones(demandAndRoom ...[2]float64) []zoneflow.Zone {
	var out []zoneflow.Zone
	for i, x := range demandAndRoom {
		name := string(rune('a' + i))
		out = append(out, zoneflow.Zone{Name: name, Region: "r" + name, Demand: x[0], Room: x[1]})
	}
	return out
}

func TestFlows(t *testing.T) {
	sameRegion := zones([2]float64{100, 50}, [2]float64{10, 50}, [2]float64{10, 50})
	sameRegion[1].Region = "ra"
	fullRegion := zones([2]float64{100, 50}, [2]float64{50, 50}, [2]float64{0, 50})
	fullRegion[1].Region = "ra"
	for name, x := range map[string]struct {
		zones []zoneflow.Zone
		want  string
	}{
		"nothing is known":              {nil, "[]"},
		"no room":                       {zones([2]float64{10, 0}), "[]"},
		"no demand":                     {zones([2]float64{0, 10}, [2]float64{0, 10}), "[]"},
		"equal zones":                   {zones([2]float64{90, 100}, [2]float64{90, 100}), "[]"},
		"uneven, but all comfortable":   {zones([2]float64{70, 100}, [2]float64{10, 100}), "[]"},
		"just over what is comfortable": {zones([2]float64{71, 100}, [2]float64{10, 100}), "[{a b 1}]"},
		"three to two to one":           {zones([2]float64{120, 100}, [2]float64{80, 100}, [2]float64{40, 100}), "[{a c 40}]"},
		"no endpoints":                  {zones([2]float64{40, 0}, [2]float64{40, 100}, [2]float64{40, 100}), "[{a b 20} {a c 20}]"},
		"overload is shared":            {zones([2]float64{200, 100}, [2]float64{100, 100}), "[{a b 50}]"},
		"own region first":              {sameRegion, "[{a b 30} {a c 30}]"},
		"own region first, comfortable": {zonesIn("ra", sameRegion[0], 50, 50), "[{a b 15}]"},
		"own region full":               {fullRegion, "[{a c 50}]"},
	} {
		t.Run(name, func(t *testing.T) {
			NewWithT(t).Expect(fmt.Sprint(zoneflow.Flows(x.zones))).To(Equal(x.want))
		})
	}
}

// zonesIn returns three zones, the first two of which are in the given region.
func zonesIn(region string, first zoneflow.Zone, demand, room float64) []zoneflow.Zone {
	first.Demand, first.Room = demand, room
	return []zoneflow.Zone{first, {Name: "b", Region: region, Demand: 10, Room: 50}, {Name: "c", Region: "rc", Demand: 10, Room: 50}}
}

// Guards against two zones that send to each other, against zones that receive more than their
// share, and against flows that jump when a sum changes a little.
func TestFlowsOfAnyZones(t *testing.T) {
	g := NewWithT(t)
	r := rand.New(rand.NewPCG(1, 2))
	for range 2000 {
		var list []zoneflow.Zone
		demand, room := 0.0, 0.0
		for i := range 2 + r.IntN(4) {
			z := zoneflow.Zone{Name: fmt.Sprint(i), Region: fmt.Sprint(i % 3), Demand: 100 * r.Float64(), Room: float64(r.IntN(3)) * 50 * r.Float64()}
			demand, room = demand+z.Demand, room+z.Room
			list = append(list, z)
		}
		sent, received := totals(zoneflow.Flows(list))
		for _, z := range list {
			g.Expect(sent[z.Name]*received[z.Name]).To(BeZero(), "%+v", list)
			if room > 0 {
				g.Expect(z.Demand-sent[z.Name]+received[z.Name]).To(BeNumerically("<=", z.Room*max(demand/room, 0.7)+1e-6), "%+v", list)
			}
		}
		if room > 20 {
			i := r.IntN(len(list))
			list[i].Demand++
			moreSent, moreReceived := totals(zoneflow.Flows(list))
			for _, z := range list {
				g.Expect(moreSent[z.Name]).To(BeNumerically("~", sent[z.Name], 2), "%+v", list)
				g.Expect(moreReceived[z.Name]).To(BeNumerically("~", received[z.Name], 2), "%+v", list)
			}
		}
	}
}

func totals(flows []zoneflow.Flow) (sent, received map[string]float64) {
	sent, received = map[string]float64{}, map[string]float64{}
	for _, f := range flows {
		sent[f.From] += f.Amount
		received[f.To] += f.Amount
	}
	return sent, received
}

func TestZones(t *testing.T) {
	g := NewWithT(t)
	regions := map[string]string{"a": "east", "b": "east"}
	got := zoneflow.Zones(map[string]float64{"b": 3, "a": 1}, map[string]float64{"c": 5, "a": 2}, regions)
	g.Expect(got).To(Equal([]zoneflow.Zone{
		{Name: "a", Region: "east", Demand: 1, Room: 2}, {Name: "b", Region: "east", Demand: 3}, {Name: "c", Region: "c", Room: 5},
	}))
	g.Expect(zoneflow.Zones(nil, map[string]float64{"a": 1}, nil)).To(BeNil())
}

func TestShares(t *testing.T) {
	g := NewWithT(t)
	list := zones([2]float64{120, 100}, [2]float64{80, 100}, [2]float64{40, 100})
	g.Expect(fmt.Sprint(zoneflow.Shares(list, "a"))).To(Equal("[{c 0.3333333333333333}]"))
	g.Expect(zoneflow.Shares(list, "b")).To(BeEmpty())
	g.Expect(zoneflow.Shares(list, "unknown")).To(BeEmpty())
}

func TestSettle(t *testing.T) {
	to := func(b, c float64) []zoneflow.Share { return []zoneflow.Share{{To: "b", Share: b}, {To: "c", Share: c}} }
	for name, x := range map[string]struct{ previous, next, want []zoneflow.Share }{
		"no flow":                     {nil, nil, nil},
		"too little to start":         {nil, to(0.049, 0), nil},
		"enough to start":             {nil, to(0.05, 0), to(0.05, 0)},
		"little changed":              {to(0.2, 0.1), to(0.24, 0.06), to(0.2, 0.1)},
		"one changed":                 {to(0.2, 0.1), to(0.26, 0.1), to(0.26, 0.1)},
		"another zone":                {to(0.2, 0), to(0, 0.2), to(0, 0.2)},
		"hardly any left":             {to(0.05, 0), to(0.001, 0), to(0.05, 0)},
		"none left, however small":    {to(0.01, 0), nil, nil},
		"a zone that is no longer in": {[]zoneflow.Share{{To: "d", Share: 0.05}}, to(0.04, 0), to(0.04, 0)},
	} {
		t.Run(name, func(t *testing.T) {
			NewWithT(t).Expect(zoneflow.Settle(x.previous, x.next)).To(Equal(x.want))
		})
	}
}

// Gateways of different zones know sums of different age. Flows must not start in both directions
// while these differ by little.
func TestZonesWithDifferentNewsDoNotSendToEachOther(t *testing.T) {
	g := NewWithT(t)
	r := rand.New(rand.NewPCG(3, 4))
	started := 0
	for range 5000 {
		var one, other []zoneflow.Zone
		for i := range 3 {
			z := zoneflow.Zone{Name: fmt.Sprint(i), Region: fmt.Sprint(i), Demand: 50 + 50*r.Float64(), Room: 100}
			one = append(one, z)
			z.Demand *= 0.98 + 0.04*r.Float64()
			other = append(other, z)
		}
		for _, s := range zoneflow.Settle(nil, zoneflow.Shares(one, "0")) {
			started++
			for _, back := range zoneflow.Settle(nil, zoneflow.Shares(other, s.To)) {
				g.Expect(back.To).NotTo(Equal("0"), "%+v %+v", one, other)
			}
		}
	}
	g.Expect(started).To(BeNumerically(">", 500))
}
