package gateway

import (
	"context"
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

// Times of copies that are taken from other entries.
const (
	// settleTime is how long an entry listens at its start before it decides
	// whether it watches the store, and lonelyTime how long it does without a
	// first copy from others.
	settleTime = 500 * time.Millisecond
	lonelyTime = 1200 * time.Millisecond
	// behindEach, for each entry that watches, is how long another may know more
	// before it is asked for its copy by one whose own answer of the store may be
	// under way. An entry that does not watch asks at once.
	behindEach     = 30 * time.Millisecond
	shortestBehind = 250 * time.Millisecond
	longestBehind  = time.Second
	// hedgeAfter is how long one entry may take before another is asked too.
	hedgeAfter = 300 * time.Millisecond
	// listAfter is for how long an entry may be behind before it asks the store.
	listAfter = 1500 * time.Millisecond
	// copyLimit bounds one call for a copy.
	copyLimit = 2 * time.Second
	dialLimit = 800 * time.Millisecond
)

// replicas keeps this entry's copies of the store up to date with those of the
// others: a few entries of each zone watch the store, all take copies from each
// other. It is safe for concurrent use.
type replicas struct {
	mirrors map[string]*mirror.Mirror
	table   *member.Table
	pool    *peerconn.Pool
	log     *log.Logger
	began   time.Time

	mu       sync.Mutex
	watching bool
	// lost are the kinds for which the store does not answer this entry.
	lost map[string]bool
	// lag is how each kind lags behind the copies of others.
	lag map[string]*lag
}

// lag is the state of one copy that is behind.
type lag struct {
	since time.Time
	// askedAt is when the last entry was asked.
	askedAt time.Time
}

func newReplicas(table *member.Table, l *log.Logger) *replicas {
	return &replicas{
		table: table,
		pool:  peerconn.NewPool(&net.Dialer{Timeout: dialLimit}),
		log:   l,
		began: time.Now(),
		lost:  map[string]bool{},
		lag:   map[string]*lag{},
	}
}

// elect decides whether this entry watches the store.
func (r *replicas) elect(now time.Time) {
	watching := now.Sub(r.began) >= settleTime && r.table.Watching()
	r.mu.Lock()
	defer r.mu.Unlock()
	if watching != r.watching {
		r.watching = watching
		r.log.Info("store watched", "watching", watching, "entries", r.table.Size())
	}
}

// isWatching returns whether this entry watches the store, and whether the
// store answers it.
func (r *replicas) isWatching() (watching, away bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.watching, len(r.lost) > 0
}

// active returns whether the copy of kind is kept by calls to the store.
func (r *replicas) active(kind string) bool {
	if watching, _ := r.isWatching(); watching {
		return true
	}
	return r.mirrors[kind].State().Revision == 0 && time.Since(r.began) > lonelyTime
}

// reach notes whether the store answers calls for kind.
func (r *replicas) reach(kind string, lost bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if lost {
		r.lost[kind] = true
		return
	}
	delete(r.lost, kind)
}

// follow compares all copies with those of others, as heartbeats tell them, and
// asks for newer ones.
func (r *replicas) follow(ctx context.Context, now time.Time) {
	for kind, m := range r.mirrors {
		mine := m.State().Version()
		ahead := r.table.Ahead(kind, mine)
		if !r.due(kind, len(ahead) > 0, now) {
			continue
		}
		go r.take(ctx, kind, m, ahead[rand.IntN(len(ahead))])
	}
}

// due returns whether another entry is to be asked now for its copy of kind.
func (r *replicas) due(kind string, behind bool, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	l := r.lag[kind]
	switch {
	case !behind:
		delete(r.lag, kind)
		return false
	case l == nil:
		l = &lag{since: now}
		r.lag[kind] = l
	}
	if now.Sub(l.since) < r.patience() || now.Sub(l.askedAt) < hedgeAfter {
		return false
	}
	l.askedAt = now
	return true
}

// patience returns how long another entry may know more before it is asked. The
// caller holds the lock.
func (r *replicas) patience() time.Duration {
	if !r.watching || len(r.lost) > 0 {
		return 0
	}
	return min(max(behindEach*time.Duration(r.table.Watchers(true)), shortestBehind), longestBehind)
}

// take gets the copy of kind of the entry at addr. While that fails, the copy is
// had from the store.
func (r *replicas) take(ctx context.Context, kind string, m *mirror.Mirror, addr string) {
	state, err := r.fetch(ctx, kind, m.State(), addr)
	if err != nil {
		r.log.Info("no copy from another entry", "kind", kind, "peer", addr, "err", err)
		r.askStore(kind, m)
		return
	}
	if m.Take(state) {
		r.log.Info("copy taken from another entry", "kind", kind, "peer", addr, "revision", state.Revision)
	}
}

// askStore makes the mirror of kind ask the store when it has been behind for long.
func (r *replicas) askStore(kind string, m *mirror.Mirror) {
	r.mu.Lock()
	l := r.lag[kind]
	long := l != nil && time.Since(l.since) > listAfter
	r.mu.Unlock()
	if long {
		m.Behind(m.State().Revision + 1)
	}
}

// fetch gets what the entry at addr has beyond mine, or all of it where that
// does not fit.
func (r *replicas) fetch(ctx context.Context, kind string, mine *mirror.State, addr string) (*mirror.State, error) {
	ctx, cancel := context.WithTimeout(ctx, copyLimit)
	defer cancel()
	for _, known := range []int64{mine.Changed, 0} {
		var reply StateReply
		if err := r.pool.Call(ctx, addr, syncService+".State", StateRequest{Kind: kind, Changed: known}, &reply); err != nil {
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

// watchLoop elects and follows until ctx ends, also while no heartbeats come.
func (r *replicas) watchLoop(ctx context.Context) {
	for wait.For(ctx, member.Interval) {
		r.elect(time.Now())
		r.follow(ctx, time.Now())
	}
}
