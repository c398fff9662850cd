// Package member tells which gateways are alive and how busy endpoints are:
// gateways send heartbeats by UDP, with their own requests in progress at each
// endpoint and the versions of their copies of the store.
//
// A few gateways send theirs to each other. Where there are more, each sends them to the
// relays of its availability zone, which are the first two of those that are alive, and
// relays send digests of what they heard: to the gateways of their zone one of everybody,
// to the relays of other zones one of their own. Nobody is elected: who is a relay follows
// from what each gateway knows, and two that differ for a moment both send. What a gateway
// that is no relay sends then does not grow with the number of gateways; what a relay sends
// grows with those of its zone.
//
// It owns the table of what others told last, under one lock. It relies on the
// store's list of gateways only to find those that were not heard yet. A gateway
// is called entry on the wire and in log lines.
package member

import (
	"time"

	"github.com/silverdeck/silverdeck/mirror"
	"github.com/silverdeck/silverdeck/roster"
)

// Entry is what a gateway tells of itself when it starts.
type Entry struct {
	// Name is the VM.
	Name string `json:"name"`
	// Life is the incarnation, a number drawn at each start.
	Life uint64 `json:"life"`
	// Peer takes heartbeats and calls, Callers takes callers' requests.
	Peer    string `json:"peer"`
	Callers string `json:"callers"`
	Zone    string `json:"zone"`
	Region  string `json:"region"`
	// Relays is set by programs that take and send digests; older ones leave it out.
	Relays bool `json:"relays,omitempty"`
	// Heeds is set by programs that keep to what endpoints say in their answers and tell each
	// other of it; older ones leave it out.
	Heeds bool `json:"heeds,omitempty"`
}

// Heartbeat is what a gateway tells regularly.
type Heartbeat struct {
	Entry Entry `json:"entry"`
	// Sequence rises with each heartbeat of one life.
	Sequence uint64 `json:"seq"`
	// Ready is set while the gateway takes requests.
	Ready bool `json:"ready"`
	// Copies are the versions of the gateway's copies of the store, by kind.
	Copies map[string]mirror.Version `json:"copies"`
	// Watching is set while the gateway watches the store, Away while the store
	// does not answer it.
	Watching bool `json:"watching,omitempty"`
	Away     bool `json:"away,omitempty"`
	// InFlight counts the gateway's requests in progress by endpoint.
	InFlight map[string]int `json:"inFlight,omitempty"`
	// Suspects are endpoints that do not respond to this gateway.
	Suspects []string `json:"suspects,omitempty"`
	// Born tells of the endpoints above which of their lives is meant, as in
	// roster.Life; older programs leave it out.
	Born map[string]int64 `json:"born,omitempty"`
	// Brief is set where places of Entry and Copies are left out, since they are as in the
	// last heartbeat that had them.
	Brief bool `json:"brief,omitempty"`
	// Poison is what the gateway tells of requests under which endpoints ended, as package
	// poison packs it; older programs leave it out and pass it over.
	Poison []byte `json:"poison,omitempty"`
	// Advice is what the gateway tells of what endpoints said in their answers; older programs
	// leave it out and pass it over.
	Advice []Advice `json:"advice,omitempty"`
}

// withoutEndpoints returns b without what it tells of endpoints.
func (b Heartbeat) withoutEndpoints() Heartbeat {
	b.InFlight, b.Suspects, b.Born = nil, nil, nil
	return b
}

// toBrief returns b without what seldom changes.
func (b Heartbeat) toBrief() Heartbeat {
	b.Entry = Entry{Name: b.Entry.Name, Life: b.Entry.Life}
	b.Copies, b.Brief = nil, true
	return b
}

// fromBrief returns a brief heartbeat with what the one before had.
func (b Heartbeat) fromBrief(before *Heartbeat) Heartbeat {
	b.Entry, b.Copies, b.Brief = before.Entry, before.Copies, false
	return b
}

// member returns what the heartbeat tells of its gateway.
func (b *Heartbeat) member() Member {
	return Member{Entry: b.Entry, Ready: b.Ready, Watching: b.Watching, Away: b.Away}
}

// SetEndpoints puts in what the gateway tells of endpoints.
func (b *Heartbeat) SetEndpoints(inFlight map[roster.Life]int, suspects []roster.Life) {
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

func (b *Heartbeat) setBorn(l roster.Life) {
	if l.Born != 0 {
		b.Born[l.ID] = l.Born
	}
}

// life returns which life of an endpoint the heartbeat tells of.
func (b *Heartbeat) life(id string) roster.Life {
	return roster.Life{ID: id, Born: b.Born[id]}
}

// Notice tells gateways that an endpoint is about to change its weights, or has.
type Notice struct {
	// Addr is the endpoint's address.
	Addr string `json:"addr"`
	// PauseMS is for how many milliseconds it should get no requests.
	PauseMS int64 `json:"pauseMs"`
	// Model and Version are weights that it runs now; empty if that is not told.
	Model   string `json:"model,omitempty"`
	Version int64  `json:"version,omitempty"`
	// Born tells which of the endpoint's lives is meant, as in roster.Life.
	Born int64 `json:"born,omitempty"`
}

// Times of heartbeats.
const (
	// Interval is the time between two heartbeats: what gateways know of each other's load
	// is that old. docs/CAPACITY.md has what it costs.
	Interval = 200 * time.Millisecond
	// AliveTime is for how long a gateway counts as alive after its last heartbeat: four
	// may be lost in a row.
	AliveTime = 900 * time.Millisecond
	// minHeartbeatInterval is the shortest time between two heartbeats, also when there is news:
	// changes that come together are told together.
	minHeartbeatInterval = 20 * time.Millisecond
)
