package soak

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/silverdeck/silverdeck/standin"
)

// slot is the place of a runner; each restart puts another into it.
type slot struct {
	mu     sync.Mutex
	runner *standin.Runner
	lives  int
	cfg    standin.RunnerConfig
	// link is before the runner; down is set while its process has ended.
	link *Proxy
	down bool
	// lifted notes that the runner names no limit any more, or is nil while it names none.
	lifted func()
	// onStart, if not nil, is called with the ID of each new life before its start.
	onStart func(runner string)
	// spoilShare is the share of answers that it spoils.
	spoilShare float64
}

// ServeHTTP implements http.Handler.
func (s *slot) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	runner, down := s.runner, s.down
	s.mu.Unlock()
	if down {
		panic(http.ErrAbortHandler)
	}
	runner.ServeHTTP(w, r)
}

// crash ends the runner's process: its connections break and its port refuses others. Its
// record stands until it lapses. After a while another life starts in its place. It returns
// false where it has ended already.
func (s *slot) crash(d time.Duration, version int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return false
	}
	s.down = true
	s.link.Set(Link{Gone: true})
	s.runner.AbortStreams()
	time.AfterFunc(d, func() {
		s.restart(version)
		s.mu.Lock()
		defer s.mu.Unlock()
		s.down = false
		s.link.Set(Link{})
	})
	return true
}

// restart puts a new life into the slot.
func (s *slot) restart(version int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lives > 0 {
		s.runner.End()
		s.cfg.Store.Delete("servers", s.cfg.ID)
	}
	s.lives++
	s.cfg.ID = fmt.Sprintf("i-%s-%d", strings.ReplaceAll(s.cfg.Address, ".", "-"), s.lives)
	if s.onStart != nil {
		s.onStart(s.cfg.ID)
	}
	s.runner = standin.NewRunner(s.cfg, version)
}

// readSlowly makes the runner pause for d before each part of a request that it reads.
func (s *slot) readSlowly(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runner.ReadSlowly(d)
}

// stall keeps all streams of the runner without an event for d.
func (s *slot) stall(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runner.StallStreams(d)
}

// lapse makes the platform forget the runner's record.
func (s *slot) lapse() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runner.ExpireRecord()
}

// announce makes the runner that is in the slot now write its record.
func (s *slot) announce() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return
	}
	s.runner.Heartbeat()
}

// leave makes the runner state that it leaves.
func (s *slot) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runner.Drain()
}
