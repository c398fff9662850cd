package swarm

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/silverdeck/silverdeck/wait"
	"github.com/silverdeck/silverdeck/weights"
)

// Timing of a download's loops.
const (
	// tick is how often a download looks for late and stalled chunks.
	tick = 50 * time.Millisecond
	// haveTimeout is how long a neighbour may take to tell its news.
	haveTimeout = 5 * time.Second
	// faultPause is how long a neighbour is left alone after a fault, for each fault.
	faultPause = 500 * time.Millisecond
	// maxCorrupt is how many corrupt chunks bar a member for the rest of the
	// download.
	maxCorrupt = 2
	// maxStrikes is how many faults in a row replace a neighbour.
	maxStrikes = 3
	// slowFactor is how many usual times a chunk may take before it is asked
	// for once more, and stallFactor before the request is given up.
	slowFactor, stallFactor = 3, 8
	// smoothing is the weight of the newest sample in the usual time of a chunk.
	smoothing = 0.2
)

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

	mu       sync.Mutex
	members  []Member
	spare    []Member
	avail    *availability
	usual    time.Duration
	stats    Stats
	inject   injection
	link     congestion
	inflight sync.WaitGroup
	// corrupt counts the corrupt chunks of each VM.
	corrupt map[string]int
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
	}
	d.link = newCongestion(&cfg, set.Manifest().ChunkSize)
	d.stats.Total = len(set.Manifest().Chunks)
	for _, c := range first(set.Since(0)) {
		d.avail.have[c] = true
	}
	d.members = slices.Clone(members)
	d.inject = newInjection(d)
	return d
}

func first[T, U any](t T, _ U) T {
	return t
}

// Stats returns how far the download has come.
func (d *Download) Stats() Stats {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.stats
	s.Have = d.set.Len()
	return s
}

// Reading returns whether chunk c is being brought in by this member, or is
// about to be.
func (d *Download) Reading(c int) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if c < 0 || c >= len(d.avail.have) || d.avail.have[c] {
		return false
	}
	_, n := d.set.Manifest().Range(c)
	return d.inject.promises(c, n)
}

// SetMembers replaces the list of members, as VMs join and leave.
func (d *Download) SetMembers(members []Member) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.members = slices.Clone(members)
	d.inject.assign(d)
	d.spare = d.freshCandidates()
	d.signal()
}

// SetBudget changes the rollout's ceilings on the origin.
func (d *Download) SetBudget(rate, copies float64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.inject.setBudget(d, rate, copies)
	d.signal()
}

// Run fetches until the set is complete and returns nil, or until ctx ends.
func (d *Download) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer d.inflight.Wait()
	defer cancel()
	d.mu.Lock()
	d.spare = d.freshCandidates()
	d.fillNeighbours(ctx)
	d.mu.Unlock()
	t := time.NewTicker(tick)
	defer t.Stop()
	for !d.set.Complete() {
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

// step starts whatever can be started now.
func (d *Download) step(ctx context.Context) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.fillNeighbours(ctx)
	d.injectDue(ctx)
	d.fetchMore(ctx)
}

// signal makes Run look again.
func (d *Download) signal() {
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// freshCandidates returns the members that are not neighbours yet.
func (d *Download) freshCandidates() []Member {
	var out []Member
	for _, m := range candidates(d.set.Root(), d.self, d.members, d.cfg.Degree) {
		used := slices.ContainsFunc(d.avail.neighbours, func(n neighbour) bool { return n.member.VM == m.VM && n.up })
		if !used && !d.barred(m) {
			out = append(out, m)
		}
	}
	return out
}

// fillNeighbours gives every free place to the next candidate.
func (d *Download) fillNeighbours(ctx context.Context) {
	for i := range d.avail.neighbours {
		if !d.avail.neighbours[i].up && d.avail.neighbours[i].outstanding == 0 && len(d.spare) > 0 {
			d.adopt(ctx, i)
		}
	}
	for len(d.avail.neighbours) < d.cfg.Degree && len(d.spare) > 0 {
		d.avail.neighbours = append(d.avail.neighbours, neighbour{})
		d.adopt(ctx, len(d.avail.neighbours)-1)
	}
}

// adopt makes the next candidate neighbour i and begins to listen to it.
func (d *Download) adopt(ctx context.Context, i int) {
	m := d.spare[0]
	d.spare = d.spare[1:]
	d.avail.forget(i)
	d.avail.neighbours[i] = neighbour{member: m, up: true}
	d.inflight.Add(1)
	go d.listen(ctx, i, m)
}

// listen keeps up with what neighbour i holds until it is replaced.
func (d *Download) listen(ctx context.Context, i int, m Member) {
	defer d.inflight.Done()
	since := 0
	for ctx.Err() == nil {
		hctx, cancel := context.WithTimeout(ctx, haveTimeout)
		news, err := d.peers.Have(hctx, m, d.set.Root(), since)
		cancel()
		if ctx.Err() != nil {
			return
		}
		if err == nil {
			since += len(news)
			if !d.heard(i, m, news) {
				return
			}
			continue
		}
		if d.strike(i, m) {
			return
		}
		since = 0
		if !wait.For(ctx, faultPause) {
			return
		}
	}
}

// heard notes news of neighbour i and returns whether m still is that neighbour.
func (d *Download) heard(i int, m Member, news []int) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := &d.avail.neighbours[i]
	if n.member != m || !n.up {
		return false
	}
	if len(news) > 0 {
		n.strikes = 0
	}
	for _, c := range news {
		if c >= 0 && c < len(d.avail.holders) {
			d.avail.holders[c] |= 1 << i
		}
	}
	if len(news) > 0 {
		d.signal()
	}
	return true
}

// strike notes a fault of neighbour i and returns whether it lost its place.
func (d *Download) strike(i int, m Member) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := &d.avail.neighbours[i]
	if n.member != m || !n.up {
		return true
	}
	n.strikes++
	n.until = time.Now().Add(time.Duration(n.strikes) * faultPause)
	if n.strikes < maxStrikes && !d.barred(m) {
		return false
	}
	d.avail.forget(i)
	n.up = false
	if len(d.spare) == 0 {
		d.spare = d.freshCandidates()
	}
	d.signal()
	return true
}

// fetchMore asks neighbours for chunks while there are places for them.
func (d *Download) fetchMore(ctx context.Context) {
	now := time.Now()
	for d.outstanding() < d.parallel() {
		c, i, ok := d.avail.pick(now, d.cfg.PerNeighbour, slowFactor*d.usualTime())
		if !ok {
			return
		}
		d.avail.begin(c, i, now)
		d.inflight.Add(1)
		go d.fetch(ctx, c, i, d.avail.neighbours[i].member, stallFactor*d.usualTime())
	}
}

// parallel returns how many chunks may come from neighbours at once.
func (d *Download) parallel() int {
	if d.link.congested() {
		return max(1-len(d.inject.reading), 0)
	}
	return d.cfg.Parallel
}

func (d *Download) outstanding() int {
	n := 0
	for i := range d.avail.neighbours {
		n += d.avail.neighbours[i].outstanding
	}
	return n
}

// usualTime is how long a chunk from a neighbour takes, as measured.
func (d *Download) usualTime() time.Duration {
	return max(d.usual, d.cfg.MinTimeout/stallFactor)
}

// fetch gets chunk c from neighbour i.
func (d *Download) fetch(ctx context.Context, c, i int, m Member, limit time.Duration) {
	defer d.inflight.Done()
	began := time.Now()
	fctx, cancel := context.WithTimeout(ctx, limit)
	b, err := d.peers.Chunk(fctx, m, d.set.Root(), c)
	cancel()
	took := time.Since(began)
	if ctx.Err() != nil {
		return
	}
	var refused *RefusalError
	d.mu.Lock()
	if !errors.As(err, &refused) {
		d.link.took(took, d.outstanding())
	}
	d.avail.end(c, i)
	d.mu.Unlock()
	defer d.signal()
	switch {
	case err == nil:
		d.arrived(c, i, m, b, took)
	case errors.As(err, &refused):
		d.refused(c, i, m, refused)
	default:
		d.failed(c, i, m, err)
	}
}

func (d *Download) arrived(c, i int, m Member, b []byte, took time.Duration) {
	n := len(b)
	_, err := d.set.Put(c, b)
	d.mu.Lock()
	d.stats.PeerBytes += int64(n)
	if err != nil {
		d.avail.holders[c] &^= 1 << i
		d.blame(m)
		d.mu.Unlock()
		d.strike(i, m)
		return
	}
	defer d.mu.Unlock()
	d.avail.have[c] = true
	d.stats.Blocked = ""
	if d.usual == 0 {
		d.usual = took
	}
	d.usual += time.Duration(smoothing * float64(took-d.usual))
	if d.avail.neighbours[i].member == m {
		d.avail.neighbours[i].strikes = 0
	}
}

// blame notes a corrupt chunk from m. The caller holds the lock.
func (d *Download) blame(m Member) {
	d.stats.CorruptPeer++
	d.corrupt[m.VM]++
}

// barred returns whether m gave too many corrupt chunks. The caller holds the
// lock.
func (d *Download) barred(m Member) bool {
	return d.corrupt[m.VM] >= maxCorrupt
}

func (d *Download) refused(c, i int, m Member, e *RefusalError) {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := &d.avail.neighbours[i]
	if n.member != m {
		return
	}
	if e.Refusal == RefusalBusy {
		n.until = time.Now().Add(d.usualTime() / 2)
		return
	}
	d.avail.holders[c] &^= 1 << i
}

func (d *Download) failed(c, i int, m Member, err error) {
	d.mu.Lock()
	if errors.Is(err, context.DeadlineExceeded) {
		d.stats.Stalled++
	}
	d.avail.holders[c] &^= 1 << i
	d.mu.Unlock()
	d.strike(i, m)
}
