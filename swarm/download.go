package swarm

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/silverdeck/silverdeck/swarm/congestion"
	"github.com/silverdeck/silverdeck/weights"
)

// pollInterval is how often a download checks for due and stalled chunks. It is well below
// minTakeoverDelay.
const pollInterval = 50 * time.Millisecond

// Download fills a weights.Set with chunks from neighbours and the origin. It is safe for
// concurrent use.
type Download struct {
	cfg    Config
	self   Member
	set    *weights.Set
	peers  Transport
	origin Origin
	began  time.Time
	wake   chan struct{}

	// inflight tracks the goroutines of this download.
	inflight sync.WaitGroup

	mu      sync.Mutex
	mode    Mode
	members []Member
	// after is the download whose chunks are read from the origin before those of this one, or
	// nil.
	after *Download
	// resumedAt is the end of the last outage of the origin that the turns allow for.
	resumedAt time.Time
	// firstCopyAt is when a neighbour last announced a chunk that no known member held.
	firstCopyAt time.Time
	// standby lists the members that replace lost neighbours, in order of preference.
	standby []Member
	avail   *availability
	// meanChunkTime is the exponential moving average of the time that a chunk from a
	// neighbour takes.
	meanChunkTime time.Duration
	stats         Stats
	delays        Delays
	schedule      schedule
	link          *congestion.Meter
	// corrupt counts the corrupt chunks received from each VM.
	corrupt    map[string]int
	stragglers stragglerSet
}

// NewDownload returns a Download that fills set on behalf of self, one of members.
func NewDownload(self Member, members []Member, set *weights.Set, peers Transport, o Origin, opts ...Option) *Download {
	cfg := newConfig(opts)
	d := &Download{
		cfg:     cfg,
		self:    self,
		set:     set,
		peers:   peers,
		origin:  o,
		began:   time.Now(),
		wake:    make(chan struct{}, 1),
		avail:   newAvailability(len(set.Manifest().Chunks), cfg.Rand),
		corrupt: map[string]int{},

		stragglers: stragglerSet{},
	}
	d.link = cfg.Link
	if d.link == nil {
		d.link = congestion.New(cfg.LinkRate, set.Manifest().ChunkSize)
	}
	d.resumedAt = cfg.OriginStatus.resumed()
	d.firstCopyAt = d.began
	d.stats.Total = len(set.Manifest().Chunks)
	held, _ := set.Since(0)
	for _, c := range held {
		d.avail.have[c] = true
	}
	d.members = slices.Clone(members)
	d.schedule = newSchedule(d)
	d.standby = d.unusedCandidates()
	return d
}

// Stats returns the progress of the download.
func (d *Download) Stats() Stats {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.stats
	s.Have = d.set.Len()
	return s
}

// Delays returns the counters that explain delays of the download.
func (d *Download) Delays() Delays {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.delays
}

// turnTolerance is by how many chunks' times on the origin's link the first turn may differ from
// the end of the turns before it.
const turnTolerance = 2

// resumeLag is how many chunks' times on the origin's link pass until other members know that it has
// sent a first chunk. It is shared by a few reads then.
const resumeLag = 4

// Mode says where a download takes chunks from.
type Mode int

const (
	// ModeAll takes chunks from other members and the origin.
	ModeAll Mode = iota
	// ModeMembers takes chunks from other members only.
	ModeMembers
	// ModePaused requests no chunks.
	ModePaused
)

// SetMode sets where chunks are taken from. Requests in flight are not canceled.
func (d *Download) SetMode(m Mode) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.mode == m {
		return
	}
	if m == ModeAll {
		d.schedule.restart(d, time.Now())
	}
	d.mode = m
	d.signal()
}

// ReadAfter lets this download read from the origin once the chunks of another one, nil for
// none, have had their turns there.
func (d *Download) ReadAfter(other *Download) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.after = other
	d.followOrigin()
}

// followOrigin recomputes the turns on the origin's link if an outage has ended, or if the turns
// of the version that is read before this one end at another time. Turns that have begun stay.
// The caller holds the lock.
func (d *Download) followOrigin() {
	if at := d.cfg.OriginStatus.resumed(); at.After(d.resumedAt) {
		d.resumedAt = at
		lag := resumeLag * originLinkTime(d.cfg.OriginRate, d.set.Manifest(), 1)
		d.schedule.restart(d, d.cfg.OriginStatus.returned(lag))
	}
	now := time.Now()
	at := now
	if d.after != nil {
		at = d.after.readsEnd()
	}
	started := !d.schedule.start.After(now)
	tolerance := turnTolerance * originLinkTime(d.cfg.OriginRate, d.set.Manifest(), 1)
	if (started && !at.After(now)) || d.schedule.start.Sub(at).Abs() <= tolerance {
		return
	}
	d.schedule.restart(d, latest(at, now))
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// readsEnd returns when the origin's link has sent the chunks that no known member holds, if
// each is read in its turn.
func (d *Download) readsEnd() time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.followOrigin() // the turns may be those from before an outage
	return d.schedule.end(d)
}

// Unknown returns the number of chunks that neither this member nor one of its neighbours
// holds.
func (d *Download) Unknown() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.unknown()
}

// unknown is Unknown for a caller that holds the lock.
func (d *Download) unknown() int {
	n := 0
	for c := range d.avail.have {
		if !d.avail.known(c) {
			n++
		}
	}
	return n
}

// Reading reports whether this member is reading chunk c from the origin or is about to. It
// returns false if this VM's own link is congested, so that the reader next in rank takes over
// at once instead of waiting for a chunk that would be late.
func (d *Download) Reading(c int) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if c < 0 || c >= len(d.avail.have) || d.avail.have[c] {
		return false
	}
	_, n := d.set.Manifest().Range(c)
	return !d.link.Congested() && d.schedule.willRead(c, n, d.mode == ModeAll)
}

// SetMembers replaces the list of members after VMs have joined or left.
func (d *Download) SetMembers(members []Member) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.members = slices.Clone(members)
	d.schedule.assign(d)
	if d.cfg.OriginStatus.Failing() {
		d.schedule.tryInTurn(d)
	}
	d.standby = d.unusedCandidates()
	d.signal()
}

// SetBudget changes the rollout's limits on origin reads.
func (d *Download) SetBudget(rate, copies float64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.schedule.setBudget(d, rate, copies)
	d.signal()
}

// Run fetches chunks until the download is complete and returns nil, or returns the error of
// ctx once that is done.
func (d *Download) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer d.inflight.Wait()
	defer cancel()
	t := time.NewTimer(0)
	defer t.Stop()
	for !d.set.Complete() {
		d.step(ctx)
		t.Reset(d.untilNextTurn())
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-d.wake:
		case <-t.C:
		}
	}
	return nil
}

// untilNextTurn returns how long Run may wait: until the next turn, at most pollInterval.
func (d *Download) untilNextTurn() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	wait := pollInterval
	for c, due := range d.schedule.due {
		if left := time.Until(due); left > 0 && !d.avail.have[c] {
			wait = min(wait, left)
		}
	}
	return wait
}

// step starts all requests that are possible now.
func (d *Download) step(ctx context.Context) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.followOrigin()
	d.schedule.closeGaps(d)
	d.fillNeighbours(ctx)
	if d.mode == ModePaused {
		return
	}
	d.startDue(ctx)
	d.fetchMore(ctx)
}

// signal wakes Run.
func (d *Download) signal() {
	select {
	case d.wake <- struct{}{}:
	default:
	}
}
