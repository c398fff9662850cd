package inventory_test

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/silverdeck/silverdeck/inventory"
	"github.com/silverdeck/silverdeck/member"
	"github.com/silverdeck/silverdeck/roster"
	"github.com/silverdeck/silverdeck/routes"
	"github.com/silverdeck/silverdeck/versions"
)

// fleetState returns the state of a fleet as a gateway knows it.
func fleetState(version int64) *inventory.FleetState {
	config := routes.New(nil, nil)
	config.Services["llm"] = &routes.Service{Engine: &routes.Engine{Models: []string{"m"}}}
	config.Services["o"] = &routes.Service{Origin: "10.9.0.1:80", LinkMbps: 15}
	return &inventory.FleetState{
		Config:   inventory.ServiceConfigFrom(config, "llm"),
		Versions: []inventory.Version{{Model: "m", Version: version}},
		Endpoints: map[string]*roster.Endpoint{
			"e1": {ID: "e1", Service: "llm", Addr: "10.0.0.1:80", Zone: "a"},
			"e2": {ID: "e2", Service: "other", Addr: "10.0.0.2:80", Zone: "a"},
		},
		Gateways: []inventory.Place{inventory.PlaceOf(member.Entry{Name: "m", Peer: "m:1", Zone: "a"})},
		PeerPort: 1,
		Regions:  map[string]string{"a": "east"},
	}
}

func TestGetReturnsOnceTheInventoryChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		var state atomic.Pointer[inventory.FleetState]
		s := inventory.NewServer(func(service string) *inventory.Inventory {
			if state.Load() == nil {
				return nil
			}
			return inventory.Compose(service, state.Load())
		}, nil)
		q := inventory.Query{Service: "llm", Wait: time.Second}
		var inv inventory.Inventory
		start := time.Now()
		g.Expect(s.Get(q, &inv)).To(MatchError(inventory.ErrNotReady))
		g.Expect(time.Since(start)).To(Equal(time.Second))
		state.Store(fleetState(2))
		g.Expect(s.Get(q, &inv)).To(Succeed())
		g.Expect(inv.Versions).To(Equal([]inventory.Version{{Model: "m", Version: 2}}))
		g.Expect(inv.Models).To(Equal([]string{"m"}))
		g.Expect(inv.Origin).To(Equal("10.9.0.1:80"))
		g.Expect(inv.Members).To(HaveLen(1))
		g.Expect(inv.Members[0].Addr).To(Equal("10.0.0.1:1"))
		g.Expect(inv.Members[0].Region).To(Equal("east"))
		g.Expect(inv.Entries).To(Equal([]inventory.Place{{Addr: "m:1", Zone: "a"}}))
		go func() {
			time.Sleep(300 * time.Millisecond)
			state.Store(fleetState(3))
			s.Broadcast()
		}()
		q.Known = inv.Digest
		start = time.Now()
		g.Expect(s.Get(q, &inv)).To(Succeed())
		g.Expect(inv.Versions[0].Version).To(Equal(int64(3)))
		g.Expect(time.Since(start)).To(Equal(300 * time.Millisecond))
	})
}

// Guards against a delay of half a second in loading weights after a power loss of the whole site.
// Gateways that have just started learn the version first and the list of endpoints last, and the
// list does not wake waiting queries. They checked again only after the next interval.
func TestAFirstInventoryIsReturnedWithoutDelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		const availableAfter = 120 * time.Millisecond
		start := time.Now()
		s := inventory.NewServer(func(service string) *inventory.Inventory {
			if time.Since(start) < availableAfter {
				return nil
			}
			return inventory.Compose(service, fleetState(2))
		}, nil)
		var inv inventory.Inventory
		g.Expect(s.Get(inventory.Query{Service: "llm", Wait: time.Second}, &inv)).To(Succeed())
		g.Expect(time.Since(start)).To(BeNumerically("<=", availableAfter+50*time.Millisecond))
	})
}

func TestNamingsReportsAges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		history := versions.New(8 * time.Second)
		history.AddExisting("m", 2, time.Now())
		history.Add("m", 3, time.Now())
		history.Add("n", 7, time.Now())
		s := inventory.NewServer(nil, history.WithKnownTime)
		time.Sleep(2 * time.Second)
		var all, one inventory.NamingsReply
		g.Expect(s.Namings(inventory.NamingsQuery{}, &all)).To(Succeed())
		g.Expect(all.Namings).To(Equal([]inventory.NamingAge{
			{Model: "m", Version: 3, Age: 2 * time.Second}, {Model: "n", Version: 7, Age: 2 * time.Second}}))
		g.Expect(s.Namings(inventory.NamingsQuery{Model: "n"}, &one)).To(Succeed())
		g.Expect(one.Namings).To(Equal([]inventory.NamingAge{{Model: "n", Version: 7, Age: 2 * time.Second}}))
	})
}

func TestServiceConfigRestoresTheConfiguration(t *testing.T) {
	g := NewWithT(t)
	first := fleetState(2)
	inv := inventory.Compose("llm", first)
	again := fleetState(2)
	again.Config = inv.ServiceConfig()
	g.Expect(inventory.Compose("llm", again)).To(Equal(inv))
}

func TestUpdateKeepsTheMembers(t *testing.T) {
	g := NewWithT(t)
	inv := inventory.Compose("llm", &inventory.FleetState{PeerPort: 7, Versions: []inventory.Version{{Model: "m", Version: 1}},
		Endpoints: map[string]*roster.Endpoint{"e": {ID: "e", Service: "llm", Addr: "10.0.0.1:80", Zone: "a"}}})
	updated := inv.Update([]inventory.Version{{Model: "m", Version: 2}}, []inventory.Place{{Addr: "10.0.0.9:7", Zone: "a"}})
	g.Expect(updated.Members).To(Equal(inv.Members))
	g.Expect(updated.Versions[0].Version).To(BeEquivalentTo(2))
	g.Expect(inv.Versions[0].Version).To(BeEquivalentTo(1))
	g.Expect(updated.Digest).NotTo(Equal(inv.Digest))
}
