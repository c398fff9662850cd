package proxy

import (
	"sync"
	"time"

	"github.com/silverdeck/silverdeck/gateway/balance"
	"github.com/silverdeck/silverdeck/gateway/policy"
	"github.com/silverdeck/silverdeck/roster"
)

// endMemory is for how long what was found of an endpoint's end holds for the other
// requests that it took along: their connections break within some milliseconds of each
// other, on a busy VM within a hundred.
const endMemory = time.Second

// ends finds out, once for all requests that were in progress there, whether an endpoint has
// ended. It is safe for concurrent use.
type ends struct {
	// refuses returns whether nothing listens at an address.
	refuses func(addr string) bool

	mu    sync.Mutex
	known map[roster.Life]*end
}

// end is what was found of one endpoint.
type end struct {
	at time.Time
	// found is closed once ended is known.
	found chan struct{}
	ended bool
}

func newEnds(refuses func(addr string) bool) *ends {
	return &ends{refuses: refuses, known: map[roster.Life]*end{}}
}

// ended returns whether an endpoint, of which a connection broke off, has ended.
func (s *ends) ended(e *roster.Endpoint, now time.Time) bool {
	found, first := s.end(e.Life(), now)
	if first {
		found.ended = s.refuses(e.Addr)
		s.settle(e.Life(), found)
		close(found.found)
	}
	<-found.found
	return found.ended
}

// settle keeps what was found for those who ask later, unless the endpoint lives: it may end
// any moment.
func (s *ends) settle(l roster.Life, e *end) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !e.ended && s.known[l] == e {
		delete(s.known, l)
	}
}

// end returns what is being found of a life, and whether the caller is the first to ask.
func (s *ends) end(l roster.Life, now time.Time) (*end, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for other, e := range s.known {
		if now.Sub(e.at) > endMemory {
			delete(s.known, other)
		}
	}
	if e := s.known[l]; e != nil {
		return e, false
	}
	e := &end{at: now, found: make(chan struct{})}
	s.known[l] = e
	return e, true
}

// noteEnd looks whether the endpoint of a failed attempt has ended under the request. One that
// has is not tried again at once by others, which would find that out one by one: in the test
// of requests beside one that ends endpoints 3 of 200 were refused so.
func (p *Proxy) noteEnd(c *call, a *attempt) {
	if !policy.MayHaveCrashed(a.failure) || a.lease.Leaving() || !p.ends.ended(a.lease.Record, time.Now()) {
		return
	}
	a.outcome = balance.Unreachable
	p.logEnd(c, a.lease)
	p.cfg.Poison.RecordCrash(c.copies, a.lease.Record.Life(), time.Now())
}
