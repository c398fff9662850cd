package swarm

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/silverdeck/silverdeck/swarm/congestion"
	"github.com/silverdeck/silverdeck/weights"
)

// tick is how often a download looks for late and stalled chunks. Well below the shortest
// lateness.
const tick = 50 * time.Millisecond

// Download fills a Set from neighbours and the origin. It is safe for
// concurrent use.
type Download struct {
	cfg    Config
	self   Member
	set    *weights.Set
	peers  Transport
	origin Origin
	began  time.Time
	wake   chan struct{}

	// inflight counts the goroutines of this download.
	inflight sync.WaitGroup

	mu      sync.Mutex
	members []Member
	// standby are the members that take the place of a neighbour that is lost.
	standby []Member
	avail   *availability
	// usual is the time of a chunk from a neighbour, newer ones weighing more.
	usual    time.Duration
	stats    Stats
	delays   Delays
	schedule schedule
	link     *congestion.Meter
	// corrupt counts the corrupt chunks of each VM.
	corrupt  map[string]int
	laggards laggards
}

// NewDownload returns a Download of set by self among members.
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

		laggards: laggards{},
	}
	d.link = cfg.Link
	if d.link == nil {
		d.link = congestion.New(cfg.LinkRate, set.Manifest().ChunkSize)
	}
	d.stats.Total = len(set.Manifest().Chunks)
	held, _ := set.Since(0)
	for _, c := range held {
		d.avail.have[c] = true
	}
	d.members = slices.Clone(members)
	d.schedule = newSchedule(d)
	if !cfg.FirstCopies {
		d.standby = d.freshCandidates()
	}
	return d
}

// Stats returns how far the download has come.
func (d *Download) Stats() Stats {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.stats
	s.Have = d.set.Len()
	return s
}

// Delays returns what has held the download up.
func (d *Download) Delays() Delays {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.delays
}

// Reading returns whether chunk c is being brought in by this member, or is
// about to be. A member whose own link is narrow does not say so: the next in rank
// reads at once what would be late here.
func (d *Download) Reading(c int) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if c < 0 || c >= len(d.avail.have) || d.avail.have[c] {
		return false
	}
	_, n := d.set.Manifest().Range(c)
	return !d.link.Congested() && d.schedule.willRead(c, n)
}

// SetMembers replaces the list of members, as VMs join and leave.
func (d *Download) SetMembers(members []Member) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.members = slices.Clone(members)
	d.schedule.assign(d)
	d.standby = d.freshCandidates()
	d.signal()
}

// SetBudget changes the rollout's ceilings on the origin.
func (d *Download) SetBudget(rate, copies float64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.schedule.setBudget(d, rate, copies)
	d.signal()
}

// Run fetches until the set is complete and returns nil, or until ctx ends.
func (d *Download) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer d.inflight.Wait()
	defer cancel()
	t := time.NewTicker(tick)
	defer t.Stop()
	for !d.finished() {
		d.step(ctx)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-d.wake:
		case <-t.C:
		}
	}
	return nil
}

// finished returns whether all is there that the download is for.
func (d *Download) finished() bool {
	if !d.cfg.FirstCopies || d.set.Complete() {
		return d.set.Complete()
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for c := range d.avail.have {
		if d.schedule.firstOfAll(c) && !d.avail.have[c] {
			return false
		}
	}
	return true
}

// step starts whatever can be started now.
func (d *Download) step(ctx context.Context) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.cfg.FirstCopies {
		d.startDue(ctx)
		return
	}
	d.fillNeighbours(ctx)
	d.startDue(ctx)
	d.fetchMore(ctx)
}

// signal makes Run look again.
func (d *Download) signal() {
	select {
	case d.wake <- struct{}{}:
	default:
	}
}
