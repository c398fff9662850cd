// Package endpoints maintains the list of endpoints to which a gateway sends requests: those in
// the platform's store and, for a limited time, those whose records lapsed while the store was
// unavailable.
//
// Updates are serialized by a lock; readers do not need it. A List reads a local copy of the
// endpoint records, and its owner reports by SetStoreLost whether the store is reachable.
package endpoints

import (
	"bytes"
	"cmp"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	"github.com/silverdeck/silverdeck/mirror"
	"github.com/silverdeck/silverdeck/platform"
	"github.com/silverdeck/silverdeck/roster"
)

// Config configures a List.
type Config struct {
	// Records returns the local copy of the endpoint records.
	Records func() *mirror.State
	// Regions maps availability zones to their regions.
	Regions map[string]string
	// Retention decides which endpoints with lapsed records are kept.
	Retention *roster.Retention
	// OnChange is called with each new list. Calls do not overlap.
	OnChange func(*roster.List)
	// OnUnreadable is called for records that cannot be decoded as endpoints.
	OnUnreadable func(name string, err error)
	// RecordTTL is the time after which a record that its endpoint no longer updates is removed by
	// the platform and missing from Records.
	RecordTTL time.Duration
	Log       *log.Logger
}

// List is the current endpoint list. It is safe for concurrent use.
type List struct {
	cfg     Config
	current atomic.Pointer[roster.List]

	// storeLost is set while the store answers none of the gateways that watch it.
	storeLost atomic.Bool

	mu sync.Mutex
	// decoded caches the decoded records by ID.
	decoded map[string]decodedRecord
	// departed holds the endpoints that went within departedMemory, by ID.
	departed map[string]departed
}

// decodedRecord is the decoded form of a record at a position. endpoint is nil if the record
// could not be decoded.
type decodedRecord struct {
	at mirror.Position
	// since is the position at which the record was first seen.
	since mirror.Position
	data  []byte
	// returned is set if the record came back with the store and differs from the one before. It may be
	// older than that one.
	returned bool
	endpoint *roster.Endpoint
	readAt   time.Time
	// unused is set once a later record was used in place of this one.
	unused bool
}

// isSame reports whether the record is the stored one in the given era. The revision alone does not tell
// after the store returned from a copy, since revisions are given out again.
func (d *decodedRecord) isSame(stored mirror.Object, era int64) bool {
	return d.at.Revision == stored.Revision && (d.at.Era == era || bytes.Equal(d.data, stored.Data))
}

// New returns a List that is empty until the first call to Update.
func New(cfg Config) *List {
	return &List{cfg: cfg, departed: map[string]departed{}}
}

// Current returns the current list, or nil before the first call to Update.
func (l *List) Current() *roster.List {
	return l.current.Load()
}

// SetStoreLost records whether the store answers none of the gateways that watch it.
func (l *List) SetStoreLost(lost bool, now time.Time) {
	if l.storeLost.Swap(lost) == lost {
		return
	}
	if lost {
		l.cfg.Retention.StoreLost()
		return
	}
	l.cfg.Retention.StoreReturned(now)
}

// Update builds a new list from the current records and the lapsed endpoints that are retained.
// It schedules another update for when the first of these expires.
func (l *List) Update() {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	list := l.decode(l.cfg.Records(), now)
	previous := l.current.Load()
	if previous == nil {
		previous = &roster.List{}
	}
	if list.Era != previous.Era && previous.Era != 0 {
		l.cfg.Retention.StoreRestored(now)
	}
	l.keepLatest(list, previous, now)
	listed := len(list.Endpoints)
	end := l.cfg.Retention.AddRetained(list, previous, now)
	if kept := len(list.Endpoints) - listed; kept > 0 {
		l.cfg.Log.Info("lapsed endpoints kept", "endpoints", kept, "forMs", end.Sub(now).Milliseconds(), "revision", list.Revision)
		time.AfterFunc(end.Sub(now), l.Update)
	}
	roster.DropReplaced(list, l.firstPositions())
	l.noteDeparted(list, previous, now)
	l.current.Store(list)
	l.logChanges(previous, list)
	l.cfg.OnChange(list)
}

// decode returns the endpoints of the records in s. Records whose revision is unchanged are not
// decoded again; records that cannot be decoded, such as those of other programs, are omitted.
// The lock must be held.
func (l *List) decode(s *mirror.State, now time.Time) *roster.List {
	list := &roster.List{Revision: s.Revision, Era: s.Era, Endpoints: make(map[string]*roster.Endpoint, len(s.Objects))}
	records := make(map[string]decodedRecord, len(s.Objects))
	for name, stored := range s.Objects {
		d, known := l.decoded[name]
		since := d.since
		if !known || !d.isSame(stored, s.Era) {
			returned := known && d.at.Era != 0 && d.at.Era != s.Era
			d = l.decodeRecord(name, stored, now)
			d.returned = returned
		}
		d.at = mirror.Position{Era: s.Era, Revision: stored.Revision}
		d.since = cmp.Or(since, d.at)
		records[name] = d
		if d.endpoint != nil {
			list.Endpoints[name] = d.endpoint
		}
	}
	l.decoded = records
	return list
}

// firstPositions returns by ID the position at which each record was first seen. The lock must be held.
func (l *List) firstPositions() map[string]mirror.Position {
	out := make(map[string]mirror.Position, len(l.decoded))
	for name, d := range l.decoded {
		out[name] = d.since
	}
	return out
}

// decodeRecord decodes a record and reports it if that fails.
func (l *List) decodeRecord(name string, stored mirror.Object, now time.Time) decodedRecord {
	endpoint, err := platform.DecodeEndpoint(stored.Data)
	if err != nil {
		l.cfg.OnUnreadable(name, err)
	} else {
		endpoint.Region, endpoint.ColdUntil = l.cfg.Regions[endpoint.Zone], now.Add(endpoint.Cold)
	}
	return decodedRecord{data: stored.Data, endpoint: endpoint, readAt: now}
}

// logChanges logs each endpoint that was added, changed or removed.
func (l *List) logChanges(previous, list *roster.List) {
	for name, current := range list.Endpoints {
		if !sameForRouting(previous.Endpoints[name], current) {
			l.cfg.Log.Info("endpoint", "endpoint", name, "service", current.Service, "addr", current.Addr, "zone", current.Zone,
				"born", current.Born, "leaving", current.Leaving, "coldMs", current.Cold.Milliseconds(), "weights", current.Weights, "sequence", current.Sequence, "revision", list.Revision)
		}
	}
	for name := range previous.Endpoints {
		if list.Endpoints[name] == nil {
			l.cfg.Log.Info("endpoint gone", "endpoint", name, "revision", list.Revision)
		}
	}
}

// sameForRouting reports whether an endpoint is unchanged in the fields that affect routing.
// Only the first entry of Weights is compared, since endpoints on the platform hold one model
// each.
func sameForRouting(previous, current *roster.Endpoint) bool {
	if previous == nil || previous.Born != current.Born || previous.Cold != current.Cold || previous.Leaving != current.Leaving || len(previous.Weights) != len(current.Weights) {
		return false
	}
	return len(current.Weights) == 0 || previous.Weights[0] == current.Weights[0]
}
