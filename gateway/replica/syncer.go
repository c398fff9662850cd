// Package replica keeps a gateway's copies of the platform's store up to date with those of
// other gateways: a few gateways of each availability zone watch the store, and all gateways
// fetch newer copies from each other.
//
// It decides whether this gateway watches the store, and tracks copies that are behind; package
// mirror holds the copies. It learns the versions of other gateways' copies from heartbeats.
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

// Timeouts of calls to other gateways.
const (
	// copyTimeout bounds one fetch of a copy. A configuration of 1,400 routes took about one
	// second over a 30 Mbit/s link between regions.
	copyTimeout = 2 * time.Second
	// dialTimeout bounds opening a connection.
	dialTimeout = 800 * time.Millisecond
)

// Status is the role of this gateway in watching the store.
type Status struct {
	// Watching is set while this gateway watches the store for its zone.
	Watching bool
	// StoreLost is set while the store does not respond to this gateway.
	StoreLost bool
}

// Syncer keeps copies of the store up to date. It is safe for concurrent use.
type Syncer struct {
	mirrors map[string]*mirror.Mirror
	// storeFirstKind is the kind whose first copy always comes from the store.
	storeFirstKind string
	table          *member.Table
	pool           *peerconn.Pool
	log            *log.Logger
	startedAt      time.Time

	mu sync.Mutex
	// held is set until the delay of the first list is known. firstListDelay is the result of
	// FirstListDelay, or 0 if the list is read at once.
	held           bool
	firstListDelay time.Duration
	// knownSince is when the first other gateway was heard or the list of gateways was read.
	knownSince time.Time
	watching   bool
	// lost holds the kinds of objects for which the store does not respond.
	lost map[string]bool
	// lags holds the state of the copies that are behind, by kind.
	lags map[string]*lag
}

// lag is the state of a copy that is behind.
type lag struct {
	since time.Time
	// askedAt is when the last fetch from another gateway started.
	askedAt time.Time
}

// New returns a Syncer without copies; see SetMirrors.
func New(table *member.Table, l *log.Logger) *Syncer {
	return &Syncer{
		table:     table,
		pool:      peerconn.NewPool(&net.Dialer{Timeout: dialTimeout}),
		log:       l,
		startedAt: time.Now(),
		lost:      map[string]bool{},
		lags:      map[string]*lag{},
	}
}

// SetMirrors sets the copies to keep up to date, by kind. Every gateway reads its first copy of
// storeFirstKind from the store: it is the list of gateways, from which the others become
// known. SetMirrors must be called once, before any other method.
func (s *Syncer) SetMirrors(mirrors map[string]*mirror.Mirror, storeFirstKind string) {
	s.mirrors = mirrors
	s.storeFirstKind = storeFirstKind
}

// HoldList makes the first read of the list of gateways wait for StartList.
func (s *Syncer) HoldList() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.held = true
}

// StartList permits the first read of the list of gateways: at once if d is 0, or d after the
// start, as returned by FirstListDelay, unless another gateway is heard meanwhile.
func (s *Syncer) StartList(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.held, s.firstListDelay = false, d
}

// listDelay returns the delay of the first list, and whether it is known.
func (s *Syncer) listDelay() (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.firstListDelay, !s.held
}

// Run decides whether this gateway watches the store and follows other gateways' copies until
// ctx ends, even if no heartbeats arrive.
func (s *Syncer) Run(ctx context.Context) {
	for wait.For(ctx, member.Interval) {
		s.Elect(time.Now())
		s.SyncWithPeers(ctx, time.Now())
	}
}

// Elect decides whether this gateway watches the store.
func (s *Syncer) Elect(now time.Time) {
	settled := s.settled(now)
	watching := ShouldWatchStore(settled, s.table.ShouldWatch(), s.table.FirstListed())
	s.mu.Lock()
	defer s.mu.Unlock()
	if watching != s.watching {
		s.watching = watching
		s.log.Info("store watched", "watching", watching, "entries", s.table.Size())
	}
}

// settled reports whether this gateway has had time to hear the others.
func (s *Syncer) settled(now time.Time) bool {
	if delay, known := s.listDelay(); known && delay == 0 {
		return now.Sub(s.startedAt) >= settleTime
	}
	known := s.contacted() || s.haveCopy(s.storeFirstKind)
	s.mu.Lock()
	defer s.mu.Unlock()
	if known && s.knownSince.IsZero() {
		s.knownSince = now
	}
	return known && now.Sub(s.knownSince) >= settleTime
}

// contacted reports whether another gateway is known to be alive.
func (s *Syncer) contacted() bool {
	return s.table.Size() > 1
}

func (s *Syncer) haveCopy(kind string) bool {
	return s.mirrors[kind].State().Revision > 0
}

// Status returns the role of this gateway in watching the store.
func (s *Syncer) Status() Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.status()
}

func (s *Syncer) status() Status {
	return Status{Watching: s.watching, StoreLost: len(s.lost) > 0}
}

// StoreLost reports whether, as far as this gateway knows, the store answers none of the
// gateways that watch it.
func (s *Syncer) StoreLost() bool {
	return StoreLost(s.Status(), s.table.Watchers(false), s.table.StoreLost())
}

// SyncsFromStore reports whether the copy of kind is kept up to date from the store.
func (s *Syncer) SyncsFromStore(kind string) bool {
	haveCopy, age := s.haveCopy(kind), time.Since(s.startedAt)
	delay, known := s.listDelay()
	if kind == s.storeFirstKind && !haveCopy && known && ShouldListGateways(delay, age, s.contacted()) {
		return true
	}
	if !known || delay > 0 {
		age -= firstStartTimeout
	}
	return SyncsFromStore(s.Status().Watching, haveCopy, age)
}

// SetStoreLost records whether the store fails to answer calls for kind.
func (s *Syncer) SetStoreLost(kind string, lost bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if lost {
		s.lost[kind] = true
		return
	}
	delete(s.lost, kind)
}

// SyncWithPeers compares all copies with the versions in heartbeats and starts fetching newer
// ones from other gateways.
func (s *Syncer) SyncWithPeers(ctx context.Context, now time.Time) {
	for kind, m := range s.mirrors {
		newer := s.table.PeersWithNewer(kind, m.IsNewer)
		if s.StartFetch(kind, len(newer) > 0, now) {
			go s.Fetch(ctx, kind, newer[rand.IntN(len(newer))])
		}
	}
}

// StartFetch reports whether to fetch the copy of kind from another gateway now and, if so,
// records that the fetch starts. behind is set if another gateway has a newer copy.
func (s *Syncer) StartFetch(kind string, behind bool, now time.Time) bool {
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
	delay := PeerFetchDelay(status, s.table.Watchers(status.Watching))
	if !ShouldFetchFromPeer(now.Sub(l.since), now.Sub(l.askedAt), delay) {
		return false
	}
	l.askedAt = now
	return true
}

// Fetch replaces the copy of kind by that of the gateway at addr. If that fails and the copy
// has been behind for long, it is read from the store.
func (s *Syncer) Fetch(ctx context.Context, kind, addr string) {
	m := s.mirrors[kind]
	state, err := s.fetch(ctx, kind, m.State(), addr)
	if err != nil {
		s.log.Info("no copy from another entry", "kind", kind, "peer", addr, "err", err)
		if ShouldFetchFromStore(s.behindFor(kind)) {
			p := m.State().Position()
			m.NoteNewer(mirror.Position{Era: p.Era, Revision: p.Revision + 1})
		}
		return
	}
	if m.ReplaceIfNewer(state) {
		s.log.Info("copy taken from another entry", "kind", kind, "peer", addr, "revision", state.Revision, "era", state.Era)
	}
}

// behindFor returns how long the copy of kind has been behind.
func (s *Syncer) behindFor(kind string) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if l := s.lags[kind]; l != nil {
		return time.Since(l.since)
	}
	return 0
}

// errIncompleteCopy means that the content of a copy does not match its digest.
var errIncompleteCopy = errors.New("replica: copy does not match its digest")

// fetch requests what the gateway at addr has beyond current. If the result does not match the
// digest, it requests the complete copy.
func (s *Syncer) fetch(ctx context.Context, kind string, current *mirror.State, addr string) (*mirror.State, error) {
	ctx, cancel := context.WithTimeout(ctx, copyTimeout)
	defer cancel()
	for _, known := range []int64{current.Changed, 0} {
		var reply StateReply
		if err := s.pool.Call(ctx, addr, methodState, StateRequest{Kind: kind, Changed: known, Bundles: true, Era: current.Era}, &reply); err != nil {
			return nil, err
		}
		delta, err := reply.decode()
		if err != nil {
			return nil, err
		}
		if state, complete := current.Apply(delta); complete {
			return state, nil
		}
	}
	return nil, errIncompleteCopy
}
