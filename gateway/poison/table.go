package poison

import (
	"cmp"
	"encoding/hex"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/silverdeck/silverdeck/roster"
)

// Limits of a table and of what is told of it.
const (
	// maxRequests is how many requests are remembered, some 600 KB; the one that changed
	// least of late goes first, suspected ones before quarantined ones. Endpoints of 16 slots
	// with as many waiting then end 128 times before one is forgotten. Chosen by judgement.
	maxRequests = 4096
	// newsTime is for how long a change is told: five heartbeats, of which four may be lost.
	newsTime = time.Second
	// maxNews is how many records are told at once, some 7 KB: four ends of full endpoints.
	// Chosen by judgement.
	maxNews = 128
	// quarantinedEvery is how often all quarantined requests are told, for who has just
	// started or was cut off.
	quarantinedEvery = time.Second
)

// Cause says why a request was quarantined or cleared.
type Cause string

// The causes of changes.
const (
	// CauseEnds means that too many endpoints ended under it.
	CauseEnds Cause = "ends"
	// CauseAnswered means that an endpoint answered it whole.
	CauseAnswered Cause = "answered"
	// CauseOperator means that an operator cleared it.
	CauseOperator Cause = "operator"
	// CauseTime means that its quarantine has run out.
	CauseTime Cause = "time"
	// CauseTold means that another gateway told so.
	CauseTold Cause = "told"
)

// Change is a change of a request's record.
type Change struct {
	Record Record
	Before State
	Cause  Cause
}

// UnknownKeyError tells that no suspected or quarantined request has a key.
type UnknownKeyError struct {
	Key string
}

// Error names the key.
func (e *UnknownKeyError) Error() string {
	return fmt.Sprintf("poison: no request is suspected that has the key %q", e.Key)
}

// Table is what a gateway knows of requests under which endpoints ended. It is safe for
// concurrent use.
type Table struct {
	// changed hears of each change that is not told by others only; see NewTable.
	changed func(Change)
	// size is the number of requests, which is 0 nearly always.
	size atomic.Int64

	mu       sync.Mutex
	requests map[Key]*request
	// shapes counts the requests of a shape.
	shapes map[Shape]int
	// toldAt is when all quarantined requests were told last.
	toldAt time.Time
}

// request is what is known of one request.
type request struct {
	Record
	// changedAt is when the record changed last.
	changedAt time.Time
	// ownUntil is until when the last change of this gateway's own is told, however much others
	// tell meanwhile, newsUntil the same for a change that any gateway told.
	ownUntil, newsUntil time.Time
}

// NewTable returns an empty table. changed is called with each change of a state, and with
// each change of a record that did not come from another gateway; it must not wait nor use
// the table.
func NewTable(changed func(Change)) *Table {
	return &Table{changed: changed, requests: map[Key]*request{}, shapes: map[Shape]int{}}
}

// Look returns how far a request is suspected, and its key where it is. While no endpoint has
// ended it costs 20 ns, while others are suspected 160 ns (BenchmarkLook).
func (t *Table) Look(r *Request) (State, Key) {
	if t.size.Load() == 0 || !t.hasShape(r.Shape()) {
		return Clear, Key{}
	}
	k := r.Key()
	return t.State(k), k
}

// State returns how far the request with a key is suspected.
func (t *Table) State(k Key) State {
	t.mu.Lock()
	defer t.mu.Unlock()
	if q := t.requests[k]; q != nil {
		return q.State()
	}
	return Clear
}

func (t *Table) hasShape(s Shape) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.shapes[s] > 0
}

// Record returns what is known of the request with a key.
func (t *Table) Record(k Key) Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	if q := t.requests[k]; q != nil {
		return q.Record
	}
	return Record{Key: k}
}

// Ended notes that an endpoint ended while it had a request, and returns how far that is
// suspected now.
func (t *Table) Ended(r *Request, l roster.Life, now time.Time) State {
	k := r.Key()
	t.mu.Lock()
	defer t.mu.Unlock()
	next := Record{Key: k, Ends: []Life{LifeOf(l)}}
	if q := t.requests[k]; q != nil {
		next.Round = q.Round
	}
	return t.put(next, true, CauseEnds, now)
}

// Answered notes that an endpoint answered a request whole: it does not end each endpoint
// that begins it.
func (t *Table) Answered(r *Request, now time.Time) {
	state, k := t.Look(r)
	if state == Clear {
		return
	}
	t.clear(k, CauseAnswered, now)
}

// Clear lets the request with a digest, in hexadecimal, be sent again. The error is an
// *UnknownKeyError.
func (t *Table) Clear(digest string, now time.Time) error {
	for _, l := range t.List(now) {
		if l.Key == digest {
			t.clear(l.record.Key, CauseOperator, now)
			return nil
		}
	}
	return &UnknownKeyError{Key: digest}
}

func (t *Table) clear(k Key, cause Cause, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if q := t.requests[k]; q != nil {
		t.put(q.cleared(), true, cause, now)
	}
}

// Take takes in what another gateway told, and returns whether it was news.
func (t *Table) Take(records []Record, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	news := false
	for _, r := range records {
		before := t.requests[r.Key]
		if before == nil && r.State() == Clear {
			continue // it is not suspected here
		}
		if before != nil && before.Round > r.Round {
			before.ownUntil = now.Add(newsTime) // who told does not know
			continue
		}
		if before != nil {
			if joined := Join(before.Record, r); joined.equal(&before.Record) {
				continue
			}
		}
		t.put(r, false, CauseTold, now)
		news = true
	}
	return news
}

// put joins a record with what is known and returns the state. The caller holds the lock.
func (t *Table) put(r Record, own bool, cause Cause, now time.Time) State {
	q := t.requests[r.Key]
	if q == nil {
		t.makeRoom()
		q = &request{Record: Record{Key: r.Key, Round: r.Round}}
		t.requests[r.Key] = q
		t.shapes[r.Key.Shape]++
		t.size.Add(1)
	}
	before := q.State()
	joined := Join(q.Record, r)
	if joined.equal(&q.Record) {
		return before
	}
	q.Record, q.changedAt, q.newsUntil = joined, now, now.Add(newsTime)
	if own {
		q.ownUntil = q.newsUntil
	}
	if own || q.State() != before {
		t.changed(Change{Record: joined, Before: before, Cause: cause})
	}
	return q.State()
}

// makeRoom forgets a request where there are too many. The caller holds the lock.
func (t *Table) makeRoom() {
	if len(t.requests) < maxRequests {
		return
	}
	var oldest *request
	for _, q := range t.requests {
		if oldest == nil || q.before(oldest) {
			oldest = q
		}
	}
	t.remove(oldest)
}

// before returns whether q is forgotten before o.
func (q *request) before(o *request) bool {
	if held, other := q.State() == Quarantined, o.State() == Quarantined; held != other {
		return other
	}
	return q.changedAt.Before(o.changedAt)
}

func (t *Table) remove(q *request) {
	delete(t.requests, q.Key)
	if t.shapes[q.Key.Shape]--; t.shapes[q.Key.Shape] == 0 {
		delete(t.shapes, q.Key.Shape)
	}
	t.size.Add(-1)
}

// expire ends quarantines that have run out and forgets what changed long ago. The caller
// holds the lock.
func (t *Table) expire(now time.Time) {
	for _, q := range t.requests {
		age := now.Sub(q.changedAt)
		switch {
		case q.State() == Quarantined && age >= QuarantineTime(q.Relapses):
			t.put(q.relapsing(), true, CauseTime, now)
		case q.State() == Quarantined:
		case age >= suspicionTime && q.Relapses == 0, age >= QuarantineTime(maxDoublings):
			t.remove(q)
		}
	}
}

// News returns what is to be told to other gateways now: what changed of late and, once in a
// while, all that are quarantined. all asks also for changes that others told, as for who
// passes them on.
func (t *Table) News(all bool, now time.Time) []Record {
	if t.size.Load() == 0 {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	whole := now.Sub(t.toldAt) >= quarantinedEvery
	if whole {
		t.toldAt = now
	}
	var told []*request
	for _, q := range t.requests {
		fresh := now.Before(q.ownUntil) || all && now.Before(q.newsUntil)
		if fresh || whole && q.State() == Quarantined {
			told = append(told, q)
		}
	}
	slices.SortFunc(told, func(a, b *request) int { return b.changedAt.Compare(a.changedAt) })
	out := make([]Record, 0, len(told))
	for _, q := range told[:min(len(told), maxNews)] {
		out = append(out, q.Record)
	}
	return out
}

// Listed is a request as the person on call sees it.
type Listed struct {
	Key string `json:"key"`
	// Quarantined is set when it is sent to no endpoint; else it is suspected.
	Quarantined bool `json:"quarantined"`
	// Ends is how many endpoints ended under it, Relapses how many quarantines have run out.
	Ends     int   `json:"ends"`
	Relapses uint8 `json:"relapses"`
	// AgeMS is how long ago that changed, LeftMS how long the quarantine lasts.
	AgeMS  int64 `json:"ageMs"`
	LeftMS int64 `json:"leftMs,omitempty"`

	record Record
}

// List returns the requests that are suspected or quarantined, the latest first.
func (t *Table) List(now time.Time) []Listed {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Listed
	for _, q := range t.requests {
		if q.State() == Clear {
			continue
		}
		age := now.Sub(q.changedAt)
		l := Listed{Key: hex.EncodeToString(q.Key.Digest[:]), Ends: len(q.Ends), Relapses: q.Relapses, AgeMS: age.Milliseconds(), record: q.Record}
		if q.State() == Quarantined {
			l.Quarantined, l.LeftMS = true, (QuarantineTime(q.Relapses) - age).Milliseconds()
		}
		out = append(out, l)
	}
	slices.SortFunc(out, func(a, b Listed) int { return cmp.Or(cmp.Compare(a.AgeMS, b.AgeMS), cmp.Compare(a.Key, b.Key)) })
	return out
}
