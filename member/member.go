// Package member tracks which gateways are alive and how loaded the endpoints are. Gateways
// send heartbeats over UDP. A heartbeat carries the sender's in-flight requests by endpoint and
// the versions of its copies of the store.
//
// Small fleets use a full mesh. In larger fleets each gateway sends its heartbeats to the
// relays of its availability zone, which are the first two live gateways of the zone, and
// relays send digests of the heartbeats that they received: a digest of all gateways to the
// gateways of their own zone, and a digest of their own zone to the relays of other zones.
// There is no election: each gateway derives the relays from its own view of the membership.
// While two views differ, both candidates send. The traffic that a non-relay sends therefore
// does not grow with the number of gateways; the traffic of a relay grows with the size of its
// zone.
//
// The package owns the table of the last state received from each gateway, guarded by one lock.
// The store's list of gateways is used only to find gateways that have not been heard yet. On
// the wire and in log lines a gateway is called an entry.
package member

import (
	"time"

	"github.com/silverdeck/silverdeck/mirror"
	"github.com/silverdeck/silverdeck/roster"
)

// Entry is a gateway's description of itself, set at its start.
type Entry struct {
	// Name is the name of the gateway's VM.
	Name string `json:"name"`
	// Life is the incarnation of the process, a random number drawn at each start.
	Life uint64 `json:"life"`
	// Peer is the address for heartbeats and calls from other gateways, Callers the address for
	// requests from callers.
	Peer    string `json:"peer"`
	Callers string `json:"callers"`
	Zone    string `json:"zone"`
	Region  string `json:"region"`
	// Relays is set by versions that send and receive digests; older versions omit it.
	Relays bool `json:"relays,omitempty"`
	// Heeds is set by versions that honor the limits and leave notices in endpoints' responses
	// and share them with other gateways; older versions omit it.
	Heeds bool `json:"heeds,omitempty"`
}

// Heartbeat is the state that a gateway sends periodically.
type Heartbeat struct {
	Entry Entry `json:"entry"`
	// Sequence increases with each heartbeat of one incarnation.
	Sequence uint64 `json:"seq"`
	// Ready is set while the gateway accepts requests.
	Ready bool `json:"ready"`
	// Copies holds the versions of the gateway's copies of the store, by kind.
	Copies map[string]mirror.Version `json:"copies"`
	// Watching is set while the gateway watches the store, Away while the store does not
	// respond to it.
	Watching bool `json:"watching,omitempty"`
	Away     bool `json:"away,omitempty"`
	// InFlight counts the gateway's in-flight requests by endpoint.
	InFlight map[string]int `json:"inFlight,omitempty"`
	// Suspects lists the endpoints that do not respond to this gateway.
	Suspects []string `json:"suspects,omitempty"`
	// Born holds the start times of the endpoints above, which identify their incarnations as
	// in roster.Incarnation; older versions omit it.
	Born map[string]int64 `json:"born,omitempty"`
	// Brief is set if Copies and all fields of Entry but Name and Life are omitted because they
	// are unchanged since the last heartbeat that had them.
	Brief bool `json:"brief,omitempty"`
	// Poison holds reports of requests during which endpoints terminated, as encoded by package
	// poison; older versions omit and ignore it.
	Poison []byte `json:"poison,omitempty"`
	// PoisonParts holds the same of parts of prompts; older versions omit and ignore it.
	PoisonParts []byte `json:"poisonParts,omitempty"`
	// Advice holds what endpoints stated about themselves in their responses; older versions
	// omit and ignore it.
	Advice []Advice `json:"advice,omitempty"`
	// Demand is the work that the gateway's callers ask for, by service; older versions omit and
	// ignore it.
	Demand []Demand `json:"demand,omitempty"`
	// Shortages is what the gateway tells of the services whose room is short; older versions omit
	// and ignore it.
	Shortages []Shortage `json:"shortages,omitempty"`
	// Weight is how many requests the gateway receives relative to others of its zone, in the
	// steps of affinity.Weight; older versions omit and ignore it.
	Weight int `json:"weight,omitempty"`
}

// withoutEndpoints returns a copy of b without in-flight requests, suspects, demand, shortages, and
// weight.
func (b Heartbeat) withoutEndpoints() Heartbeat {
	b.InFlight, b.Suspects, b.Born, b.Demand, b.Shortages, b.Weight = nil, nil, nil, nil, nil, 0
	return b
}

// toBrief returns a copy of b without the fields that seldom change.
func (b Heartbeat) toBrief() Heartbeat {
	b.Entry = Entry{Name: b.Entry.Name, Life: b.Entry.Life}
	b.Copies, b.Brief = nil, true
	return b
}

// fromBrief restores the omitted fields of a brief heartbeat from the preceding one.
func (b Heartbeat) fromBrief(before *Heartbeat) Heartbeat {
	b.Entry, b.Copies, b.Brief = before.Entry, before.Copies, false
	return b
}

// member returns the membership state in the heartbeat.
func (b *Heartbeat) member() Member {
	return Member{Entry: b.Entry, Ready: b.Ready, Watching: b.Watching, Away: b.Away}
}

// SetEndpoints sets the in-flight requests and the suspected endpoints.
func (b *Heartbeat) SetEndpoints(inFlight map[roster.Incarnation]int, suspects []roster.Incarnation) {
	b.InFlight, b.Suspects, b.Born = map[string]int{}, nil, map[string]int64{}
	for l, n := range inFlight {
		b.InFlight[l.ID] = n
		b.setBorn(l)
	}
	for _, l := range suspects {
		b.Suspects = append(b.Suspects, l.ID)
		b.setBorn(l)
	}
}

func (b *Heartbeat) setBorn(l roster.Incarnation) {
	if l.Born != 0 {
		b.Born[l.ID] = l.Born
	}
}

// incarnation returns the incarnation of endpoint id that the heartbeat refers to.
func (b *Heartbeat) incarnation(id string) roster.Incarnation {
	return roster.Incarnation{ID: id, Born: b.Born[id]}
}

// Notice announces to gateways that an endpoint is about to change its weights, or has changed
// them.
type Notice struct {
	// Addr is the endpoint's address.
	Addr string `json:"addr"`
	// PauseMS is how long, in milliseconds, the endpoint should receive no requests.
	PauseMS int64 `json:"pauseMs"`
	// Model and Version identify the weights that the endpoint runs now; empty if not stated.
	Model   string `json:"model,omitempty"`
	Version int64  `json:"version,omitempty"`
	// Born is the endpoint's start time, which identifies its incarnation as in roster.Incarnation.
	Born int64 `json:"born,omitempty"`
	// Pace is the factor by which the endpoint is slower than its engine's figures; omitted if
	// the sidecar does not know it. Older versions omit and ignore it.
	Pace float64 `json:"pace,omitempty"`
}

// Heartbeat timing.
const (
	// Interval is the time between two heartbeats, and so the age of what gateways know of each
	// other's load. docs/CAPACITY.md states its cost.
	Interval = 200 * time.Millisecond
	// AliveTime is how long a gateway counts as alive after its last heartbeat. It tolerates
	// the loss of four heartbeats in a row.
	AliveTime = 900 * time.Millisecond
	// minHeartbeatInterval is the delay before a heartbeat that is sent early because of a
	// change, so that changes in quick succession share one heartbeat.
	minHeartbeatInterval = 20 * time.Millisecond
)
