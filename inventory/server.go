package inventory

import (
	"errors"
	"sync"
	"time"

	"github.com/silverdeck/silverdeck/versions"
)

// Limits of answers.
const (
	// maxWait is for how long an answer may wait for news. Processes beside endpoints ask
	// for one second.
	maxWait = 2 * time.Second
	// coalesceTime is for how long changes of members are gathered before those who wait
	// hear them; versions and the configuration are told at once.
	coalesceTime = 500 * time.Millisecond
	// firstLook is how often it is looked whether enough is known to tell anything at all.
	// After a loss of all power the weights are loaded only once a gateway has told their
	// version: with coalesceTime here processes beside endpoints heard it 0.5 s after the
	// gateways in the median. A look costs three comparisons.
	firstLook = 50 * time.Millisecond
)

// Server tells processes beside endpoints what they need of the platform's store,
// so that they need not ask it themselves. It is served by net/rpc under Service,
// and safe for concurrent use.
type Server struct {
	describe func(service string) *Inventory
	named    func() []versions.Naming

	mu sync.Mutex
	// news is closed when a version is named or the configuration changes.
	news chan struct{}
}

// NewServer returns a Server of what describe returns for a service: its sealed
// inventory, or nil while too little is known. named returns the namings of which it is
// known when they were.
func NewServer(describe func(service string) *Inventory, named func() []versions.Naming) *Server {
	return &Server{describe: describe, named: named, news: make(chan struct{})}
}

// Announce answers those who wait.
func (s *Server) Announce() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.news)
	s.news = make(chan struct{})
}

func (s *Server) awaited() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.news
}

// ErrNotKnown answers while too little is known of a service.
var ErrNotKnown = errors.New("inventory: nothing known yet")

// Get tells the inventory of a service once it is another than the known one,
// or after the time that the query gives.
func (s *Server) Get(q Query, reply *Inventory) error {
	end := time.After(min(q.Wait, maxWait))
	for {
		news := s.awaited()
		inv := s.describe(q.Service)
		if inv != nil && inv.Digest != q.Known {
			*reply = *inv
			return nil
		}
		pause := coalesceTime
		if inv == nil {
			pause = firstLook
		}
		select {
		case <-news:
		case <-time.After(pause):
		case <-end:
			if inv == nil {
				return ErrNotKnown
			}
			*reply = *inv
			return nil
		}
	}
}
