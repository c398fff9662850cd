// Package inventory is what a process beside an endpoint needs of the platform's
// store: which weights are wanted, where they come from and who else wants them.
// Gateways compose it from their copies of the store and tell it by net/rpc; while
// none answers, the process composes it from the store itself. Names of types, of
// fields and of this package are on the wire.
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
	"github.com/silverdeck/silverdeck/versions"
)

// Service is the net/rpc name under which gateways tell inventories.
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

// Newest returns the newest version of each model that h knows, by model.
func Newest(h *versions.History) []Version {
	var out []Version
	for _, n := range h.Newest() {
		out = append(out, Version{Model: n.Model, Version: n.Version})
	}
	return out
}

// Cover returns whether namings tell of all versions of newest.
func Cover(namings []versions.Naming, newest []Version) bool {
	var wanted []versions.Naming
	for _, v := range newest {
		wanted = append(wanted, versions.Naming{Model: v.Model, Version: v.Version})
	}
	return versions.Cover(namings, wanted)
}

// Place is where a gateway takes calls, and its availability zone.
type Place struct {
	Addr, Zone string
}

// Inventory is what is known of the fleet of one service.
type Inventory struct {
	// Digest tells inventories apart; see seal.
	Digest uint64
	// Versions are the newest versions named, by model.
	Versions []Version
	// Models are those that endpoints of the service hold from the start.
	Models []string
	// Origin is the address of the origin of weights, or empty, and OriginMbps
	// the bandwidth of its link in megabits a second.
	Origin     string
	OriginMbps float64
	// Members are the VMs of the service, Entries all live gateways.
	Members []swarm.Member
	Entries []Place
	// AnswerTime is how long an endpoint of the service usually writes an answer; 0
	// where that is not known.
	AnswerTime time.Duration
	// Slots is how many requests an endpoint of the service runs at once; 0 where that
	// is not known.
	Slots int
}

// Known is what a process knows of the fleet, from which inventories are composed.
type Known struct {
	// Config is what the configuration tells of the service.
	Config FromConfig
	// Versions are the newest versions named, by model.
	Versions []Version
	// Endpoints are those of all services, by ID.
	Endpoints map[string]*roster.Endpoint
	// Gateways are all live ones.
	Gateways []Place
	// PeerPort is the peer port of all VMs, Regions the region of each availability
	// zone.
	PeerPort int
	Regions  map[string]string
}

// FromConfig is what a configuration tells of one service.
type FromConfig struct {
	// Models are those that its endpoints hold from the start.
	Models []string
	// Origin is the address of the origin of weights, or empty, and OriginMbps the
	// bandwidth of its link in megabits a second.
	Origin     string
	OriginMbps float64
	// AnswerTime is how long an endpoint usually writes an answer, or 0.
	AnswerTime time.Duration
	// Slots is how many requests an endpoint runs at once, or 0.
	Slots int
}

// ReadConfig returns what config tells of service.
func ReadConfig(config *routes.Config, service string) FromConfig {
	var out FromConfig
	if s := config.Services[service]; s != nil && s.Engine != nil {
		out.Models = append(out.Models, s.Engine.Models...)
		out.AnswerTime, out.Slots = config.AnswerTime(service), s.Engine.Slots
	}
	for _, s := range config.Services {
		if s.Origin != "" {
			out.Origin, out.OriginMbps = s.Origin, s.LinkMbps
		}
	}
	return out
}

// FromConfig returns what the inventory holds of a configuration.
func (inv *Inventory) FromConfig() FromConfig {
	return FromConfig{Models: inv.Models, Origin: inv.Origin, OriginMbps: inv.OriginMbps, AnswerTime: inv.AnswerTime, Slots: inv.Slots}
}

// Compose returns the inventory of service, sealed.
func Compose(service string, k *Known) *Inventory {
	inv := &Inventory{
		Versions:   k.Versions,
		Models:     k.Config.Models,
		Origin:     k.Config.Origin,
		OriginMbps: k.Config.OriginMbps,
		Entries:    k.Gateways,
		AnswerTime: k.Config.AnswerTime,
		Slots:      k.Config.Slots,
	}
	for _, e := range k.Endpoints {
		if e.Service == service {
			inv.addEndpoint(e, k.PeerPort, k.Regions)
		}
	}
	inv.seal()
	return inv
}

// addEndpoint adds the VM of an endpoint. One whose address has no port is left
// out: the platform's store takes only whole addresses.
func (inv *Inventory) addEndpoint(e *roster.Endpoint, port int, regions map[string]string) {
	host, _, err := net.SplitHostPort(e.Addr)
	if err != nil {
		return
	}
	addr := net.JoinHostPort(host, strconv.Itoa(port))
	inv.Members = append(inv.Members, swarm.Member{VM: addr, Addr: addr, Zone: e.Zone, Region: regions[e.Zone]})
}

// PlaceOf returns where a gateway takes calls.
func PlaceOf(e member.Entry) Place {
	return Place{Addr: e.Peer, Zone: e.Zone}
}

// seal brings all lists into order and sets the digest.
func (inv *Inventory) seal() {
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
	write(inv.AnswerTime.String() + " " + strconv.Itoa(inv.Slots))
	for _, m := range inv.Members {
		write(m.Addr)
	}
	for _, e := range inv.Entries {
		write(e.Addr)
	}
	inv.Digest = h.Sum64()
}
