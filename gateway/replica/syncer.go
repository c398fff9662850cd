// Package replica keeps a gateway's copies of the platform's store up to date with
// those of the other gateways: a few of each availability zone watch the store,
// and all take newer copies from each other.
//
// It decides whether this gateway watches the store, and owns what is known of
// copies that are behind; the copies themselves are package mirror's. It relies on
// heartbeats, which tell the versions of all gateways' copies.
package replica

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"github.com/silverdeck/silverdeck/member"
	"github.com/silverdeck/silverdeck/mirror"
	"github.com/silverdeck/silverdeck/peerconn"
	"github.com/silverdeck/silverdeck/wait"
)

// Limits of calls to other gateways.
const (
	// copyLimit bounds one call for a copy: a configuration of 1,400 routes took about a
	// second over a link of 30 Mbit/s between regions.
	copyLimit = 2 * time.Second
	// dialLimit bounds the opening of a connection.
	dialLimit = 800 * time.Millisecond
)

// Status is this gateway's part in watching the store.
type Status struct {
	// Watching is set while it watches the store for its zone.
	Watching bool
	// StoreLost is set while the store does not answer it.
	StoreLost bool
}

// Syncer keeps copies up to date. It is safe for concurrent use.
type Syncer struct {
	mirrors map[string]*mirror.Mirror
	// first is the kind whose first copy always comes from the store.
	first string
	table *member.Table
	pool  *peerconn.Pool
	log   *log.Logger
	began time.Time

	mu       sync.Mutex
	watching bool
	// lost are the kinds of objects for which the store does not answer.
	lost map[string]bool
	// lags tells of each kind whose copy is behind.
	lags map[string]*lag
}

// lag is the state of one copy that is behind.
type lag struct {
	since time.Time
	// askedAt is when the last gateway was asked.
	askedAt time.Time
}

// New returns a Syncer without copies; see Use.
func New(table *member.Table, l *log.Logger) *Syncer {
	return &Syncer{
		table: table,
		pool:  peerconn.NewPool(&net.Dialer{Timeout: dialLimit}),
		log:   l,
		began: time.Now(),
		lost:  map[string]bool{},
		lags:  map[string]*lag{},
	}
}

// Use gives the Syncer the copies to keep, by kind. first is the kind that each
// gateway reads from the store at its start: the list of gateways, which makes
// others known to it. Use is to be called once, before all else.
func (s *Syncer) Use(mirrors map[string]*mirror.Mirror, first string) {
	s.mirrors = mirrors
	s.first = first
}

// Run decides who watches the store and follows other gateways' copies until ctx
// ends, also while no heartbeats come.
func (s *Syncer) Run(ctx context.Context) {
	for wait.For(ctx, member.Interval) {
		s.Elect(time.Now())
		s.Follow(ctx, time.Now())
	}
}

// Elect decides whether this gateway watches the store.
func (s *Syncer) Elect(now time.Time) {
	settled := now.Sub(s.began) >= settleTime
	watching := Elects(settled, s.table.ShouldWatch(), s.table.FirstListed())
	s.mu.Lock()
	defer s.mu.Unlock()
	if watching != s.watching {
		s.watching = watching
		s.log.Info("store watched", "watching", watching, "entries", s.table.Size())
	}
}

// Status returns this gateway's part in watching the store.
func (s *Syncer) Status() Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.status()
}

func (s *Syncer) status() Status {
	return Status{Watching: s.watching, StoreLost: len(s.lost) > 0}
}

// StoreLost returns whether the store answers no gateway that watches it, as far as
// this one knows.
func (s *Syncer) StoreLost() bool {
	return StoreLost(s.Status(), s.table.Watchers(false), s.table.StoreLost())
}

// KeptByStore returns whether the copy of kind is kept by calls to the store.
func (s *Syncer) KeptByStore(kind string) bool {
	haveCopy := s.mirrors[kind].State().Revision > 0
	if kind == s.first && !haveCopy {
		return true
	}
	return KeptByStore(s.Status().Watching, haveCopy, time.Since(s.began))
}

// NoteStore notes whether the store answers calls for kind.
func (s *Syncer) NoteStore(kind string, lost bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if lost {
		s.lost[kind] = true
		return
	}
	delete(s.lost, kind)
}

// Follow compares all copies with those of others, as heartbeats tell them, and
// asks for newer ones.
func (s *Syncer) Follow(ctx context.Context, now time.Time) {
	for kind, m := range s.mirrors {
		newer := s.table.PeersWithNewer(kind, m.State().Version())
		if s.Due(kind, len(newer) > 0, now) {
			go s.Fetch(ctx, kind, newer[rand.IntN(len(newer))])
		}
	}
}

// Due returns whether another gateway is to be asked now for its copy of kind, and
// notes that it is. behind says whether another has a newer one.
func (s *Syncer) Due(kind string, behind bool, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !behind {
		delete(s.lags, kind)
		return false
	}
	l := s.lags[kind]
	if l == nil {
		l = &lag{since: now}
		s.lags[kind] = l
	}
	status := s.status()
	patience := Patience(status, s.table.Watchers(status.Watching))
	if !AsksPeer(now.Sub(l.since), now.Sub(l.askedAt), patience) {
		return false
	}
	l.askedAt = now
	return true
}

// Fetch takes the copy of kind of the gateway at addr. Where that fails, the copy
// is had from the store, once this gateway has been behind for long.
func (s *Syncer) Fetch(ctx context.Context, kind, addr string) {
	m := s.mirrors[kind]
	state, err := s.fetch(ctx, kind, m.State(), addr)
	if err != nil {
		s.log.Info("no copy from another entry", "kind", kind, "peer", addr, "err", err)
		if AsksStore(s.behind(kind)) {
			m.NoteNewerRevision(m.State().Revision + 1)
		}
		return
	}
	if m.ReplaceIfNewer(state) {
		s.log.Info("copy taken from another entry", "kind", kind, "peer", addr, "revision", state.Revision)
	}
}

// behind returns for how long the copy of kind has been behind.
func (s *Syncer) behind(kind string) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if l := s.lags[kind]; l != nil {
		return time.Since(l.since)
	}
	return 0
}

// errNotWhole tells that a copy does not hold what its digest says.
var errNotWhole = errors.New("replica: copy not whole")

// fetch gets what the gateway at addr has beyond mine, or all of it where that
// does not fit.
func (s *Syncer) fetch(ctx context.Context, kind string, mine *mirror.State, addr string) (*mirror.State, error) {
	ctx, cancel := context.WithTimeout(ctx, copyLimit)
	defer cancel()
	for _, known := range []int64{mine.Changed, 0} {
		var reply StateReply
		if err := s.pool.Call(ctx, addr, methodState, StateRequest{Kind: kind, Changed: known, Bundles: true}, &reply); err != nil {
			return nil, err
		}
		delta, err := reply.unpack()
		if err != nil {
			return nil, err
		}
		if state, whole := mine.Apply(delta); whole {
			return state, nil
		}
	}
	return nil, errNotWhole
}
