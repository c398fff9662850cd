// Package endpoints keeps the list of endpoints that a gateway sends requests to:
// those that the platform's store lists, and for a while those whose records
// lapsed because the store was away.
//
// It owns the list in force; a lock makes its changes one at a time, reading it
// needs none. It relies on the copy of the endpoints' records, and on being told
// whether the store answers anybody.
package endpoints

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	"github.com/silverdeck/silverdeck/mirror"
	"github.com/silverdeck/silverdeck/platform"
	"github.com/silverdeck/silverdeck/roster"
)

// Config holds what a List relies on.
type Config struct {
	// Records returns the copy of the endpoints' records.
	Records func() *mirror.State
	// Retention keeps endpoints whose records lapsed.
	Retention *roster.Retention
	// Changed hears of each new list, one call at a time.
	Changed func(*roster.List)
	// Unreadable hears of records that name no endpoint.
	Unreadable func(name string, err error)
	// Lapse is the time after which the platform removes a record that its endpoint does
	// not write any more.
	Lapse time.Duration
	Log   *log.Logger
}

// List is the list in force. It is safe for concurrent use.
type List struct {
	cfg     Config
	current atomic.Pointer[roster.List]

	// storeLost is set while the store answers no gateway that watches it.
	storeLost atomic.Bool

	mu sync.Mutex
	// decoded are the records as they were decoded, by ID.
	decoded map[string]decoded
}

// decoded is a record as it stood at a revision. A record of another writer names no
// endpoint.
type decoded struct {
	revision int64
	endpoint *roster.Endpoint
	readAt   time.Time
}

// New returns a List without endpoints.
func New(cfg Config) *List {
	return &List{cfg: cfg}
}

// Current returns the list in force, or nil before the first.
func (l *List) Current() *roster.List {
	return l.current.Load()
}

// NoteStore takes in whether the store answers any gateway that watches it.
func (l *List) NoteStore(lost bool, now time.Time) {
	if l.storeLost.Swap(lost) == lost {
		return
	}
	if lost {
		l.cfg.Retention.StoreLost()
		return
	}
	l.cfg.Retention.StoreReturned(now)
}

// Update puts the copy of the records in force, with endpoints that are kept
// although their records have lapsed. It looks again when the first of them is to
// go.
func (l *List) Update() {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	list := l.decode(l.cfg.Records(), now)
	listed := len(list.Endpoints)
	before := l.current.Load()
	l.keepLaterLives(list, before, now)
	end := l.cfg.Retention.AddRetained(list, before, now)
	if kept := len(list.Endpoints) - listed; kept > 0 {
		l.cfg.Log.Info("lapsed endpoints kept", "endpoints", kept, "forMs", end.Sub(now).Milliseconds(), "revision", list.Revision)
		time.AfterFunc(end.Sub(now), l.Update)
	}
	l.current.Store(list)
	l.logChanges(before, list)
	l.cfg.Changed(list)
}

// decode returns the endpoints that the store lists. Records that did not change
// are not decoded again; those of other writers are left out. The caller holds the lock.
func (l *List) decode(s *mirror.State, now time.Time) *roster.List {
	list := &roster.List{Revision: s.Revision, Endpoints: make(map[string]*roster.Endpoint, len(s.Objects))}
	all := make(map[string]decoded, len(s.Objects))
	for name, stored := range s.Objects {
		d, known := l.decoded[name]
		if !known || d.revision != stored.Revision {
			d = l.read(name, stored, now)
		}
		all[name] = d
		if d.endpoint != nil {
			list.Endpoints[name] = d.endpoint
		}
	}
	l.decoded = all
	return list
}

// read decodes a record.
func (l *List) read(name string, stored mirror.Object, now time.Time) decoded {
	endpoint, err := platform.DecodeEndpoint(stored.Data)
	if err != nil {
		l.cfg.Unreadable(name, err)
	}
	return decoded{revision: stored.Revision, endpoint: endpoint, readAt: now}
}

// keepLaterLives puts endpoints of before in the place of records that tell of an earlier
// life: a write of that life may be done seconds late, over the record of the next one. A
// record that stands for longer than it takes to lapse has a writer that lives, whatever
// its clock says. The caller holds the lock.
func (l *List) keepLaterLives(list, before *roster.List, now time.Time) {
	if before == nil {
		return
	}
	for name, e := range list.Endpoints {
		known := before.Endpoints[name]
		if known == nil || !e.Incarnation().Before(known.Incarnation()) {
			continue
		}
		left := l.decoded[name].readAt.Add(l.cfg.Lapse).Sub(now)
		if left <= 0 {
			continue
		}
		list.Endpoints[name] = known
		time.AfterFunc(left, l.Update)
	}
}

// logChanges writes a line for each endpoint that came, changed or went.
func (l *List) logChanges(before, list *roster.List) {
	if before == nil {
		before = &roster.List{}
	}
	for name, now := range list.Endpoints {
		if !sameForRequests(before.Endpoints[name], now) {
			l.cfg.Log.Info("endpoint", "endpoint", name, "service", now.Service, "addr", now.Addr, "zone", now.Zone,
				"born", now.Born, "leaving", now.Leaving, "weights", now.Weights, "revision", list.Revision)
		}
	}
	for name := range before.Endpoints {
		if list.Endpoints[name] == nil {
			l.cfg.Log.Info("endpoint gone", "endpoint", name, "revision", list.Revision)
		}
	}
}

// sameForRequests returns whether an endpoint is listed as before in what decides
// about requests. Endpoints on the platform hold one model each.
func sameForRequests(before, now *roster.Endpoint) bool {
	if before == nil || before.Born != now.Born || before.Leaving != now.Leaving || len(before.Weights) != len(now.Weights) {
		return false
	}
	return len(now.Weights) == 0 || before.Weights[0] == now.Weights[0]
}
