package inventory

import (
	"errors"
	"sync"
	"time"

	"github.com/silverdeck/silverdeck/versions"
)

// Timing of replies.
const (
	// maxWait is the maximum time that a reply waits for a change. Sidecars ask for one second.
	maxWait = 2 * time.Second
	// coalesceInterval is the time over which changes of members are coalesced before waiting
	// queries are answered. Changes of versions and of the configuration are reported at once.
	coalesceInterval = 500 * time.Millisecond
	// initialPollInterval is the interval at which a query checks whether a first inventory is
	// available. After a power loss of the whole site, weights are loaded only once a gateway
	// has reported their version. With coalesceInterval, sidecars received it 0.5 s after the
	// gateways in the median. A check costs three comparisons.
	initialPollInterval = 50 * time.Millisecond
)

// Server serves inventories to sidecars over net/rpc under Service, so that they need not read the
// platform's store. It is safe for concurrent use.
type Server struct {
	compose     func(service string) *Inventory
	listNamings func() []versions.Naming

	mu sync.Mutex
	// changed is closed and replaced when a version is named or the configuration changes.
	changed chan struct{}
}

// NewServer returns a Server. compose returns the inventory of a service, or nil while too little is
// known. listNamings returns the namings whose time is known.
func NewServer(compose func(service string) *Inventory, listNamings func() []versions.Naming) *Server {
	return &Server{compose: compose, listNamings: listNamings, changed: make(chan struct{})}
}

// Broadcast makes waiting queries check for a new inventory at once.
func (s *Server) Broadcast() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Server) changes() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// ErrNotReady is returned while too little is known to compose an inventory.
var ErrNotReady = errors.New("inventory: nothing known yet")

// Get returns the inventory of a service as soon as its digest differs from the one in the query,
// or after the time given there.
func (s *Server) Get(q Query, reply *Inventory) error {
	end := time.After(min(q.Wait, maxWait))
	for {
		changed := s.changes()
		inv := s.compose(q.Service)
		if inv != nil && inv.Digest != q.Known {
			*reply = *inv
			return nil
		}
		pause := coalesceInterval
		if inv == nil {
			pause = initialPollInterval
		}
		select {
		case <-changed:
		case <-time.After(pause):
		case <-end:
			if inv == nil {
				return ErrNotReady
			}
			*reply = *inv
			return nil
		}
	}
}
