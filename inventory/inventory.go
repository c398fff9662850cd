// Package inventory is what a process beside an endpoint needs of the
// platform's store: which weights are wanted, where they come from and who else
// wants them. Entries make it from their copies of the store and tell it by
// net/rpc; while no entry answers, the process makes it from the store itself.
package inventory

import (
	"cmp"
	"net"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/silverdeck/silverdeck/member"
	"github.com/silverdeck/silverdeck/roster"
	"github.com/silverdeck/silverdeck/routes"
	"github.com/silverdeck/silverdeck/swarm"
)

// Service is the net/rpc name under which entries tell inventories.
const Service = "Inventory"

// Method is the method of Service.
const Method = Service + ".Get"

// Query asks for the inventory of a service.
type Query struct {
	Service string
	// Known is the digest of the last inventory; the answer comes once there is
	// another, or after Wait.
	Known uint64
	Wait  time.Duration
}

// Version is a version of a model that was named.
type Version struct {
	Model   string
	Version int64
}

// Place is where an entry takes calls, and its availability zone.
type Place struct {
	Addr, Zone string
}

// Inventory is what is known of the fleet of one service.
type Inventory struct {
	// Digest tells inventories apart; see Seal.
	Digest uint64
	// Versions are the newest versions named, by model.
	Versions []Version
	// Models are those that endpoints of the service hold from the start.
	Models []string
	// Origin is the address of the origin of weights, or empty, and OriginMbps
	// the bandwidth of its link in megabits a second.
	Origin     string
	OriginMbps float64
	// Members are the VMs of the service, Entries all live entries.
	Members []swarm.Member
	Entries []Place
}

// UseConfig takes in what a configuration tells of service.
func (inv *Inventory) UseConfig(config *routes.Config, service string) {
	inv.Models = nil
	if s := config.Services[service]; s != nil && s.Engine != nil {
		inv.Models = append(inv.Models, s.Engine.Models...)
	}
	for _, s := range config.Services {
		if s.Origin != "" {
			inv.Origin, inv.OriginMbps = s.Origin, s.LinkMbps
		}
	}
}

// AddEndpoint adds the VM of an endpoint. port is the peer port of all VMs, and
// regions gives the region of each availability zone.
func (inv *Inventory) AddEndpoint(e *roster.Endpoint, port int, regions map[string]string) {
	host, _, err := net.SplitHostPort(e.Addr)
	if err != nil {
		return
	}
	addr := net.JoinHostPort(host, strconv.Itoa(port))
	inv.Members = append(inv.Members, swarm.Member{VM: addr, Addr: addr, Zone: e.Zone, Region: regions[e.Zone]})
}

// AddEntry adds a live entry.
func (inv *Inventory) AddEntry(e member.Entry) {
	inv.Entries = append(inv.Entries, Place{Addr: e.Peer, Zone: e.Zone})
}

// Seal brings all lists into order and sets the digest.
func (inv *Inventory) Seal() {
	slices.SortFunc(inv.Versions, func(a, b Version) int { return cmp.Compare(a.Model, b.Model) })
	slices.SortFunc(inv.Members, func(a, b swarm.Member) int { return cmp.Compare(a.Addr, b.Addr) })
	inv.Members = slices.Compact(inv.Members)
	slices.SortFunc(inv.Entries, func(a, b Place) int { return cmp.Compare(a.Addr, b.Addr) })
	h := xxhash.New()
	write := func(s string) { _, _ = h.WriteString(s + "\x00") }
	for _, v := range inv.Versions {
		write(v.Model + " " + strconv.FormatInt(v.Version, 10))
	}
	for _, m := range inv.Models {
		write(m)
	}
	write(inv.Origin + " " + strconv.FormatFloat(inv.OriginMbps, 'g', -1, 64))
	for _, m := range inv.Members {
		write(m.Addr)
	}
	for _, e := range inv.Entries {
		write(e.Addr)
	}
	inv.Digest = h.Sum64()
}
