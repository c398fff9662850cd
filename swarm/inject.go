package swarm

import (
	"context"
	"errors"
	"math"
	"time"

	"golang.org/x/time/rate"

	"github.com/silverdeck/silverdeck/origin"
	"github.com/silverdeck/silverdeck/weights"
)

// Ranks of a chunk.
const (
	// maxRanks is how many members of a region are named for a chunk, one after
	// the other, before anybody may read it.
	maxRanks = 4
	// anybodySpread is over how many times the lateness the readings by anybody
	// are spread, so that they do not come together.
	anybodySpread = 16
	// defaultPatience is how often a chunk is left to a member that says it is
	// about to read it. It is patient enough for that member's longest backoff.
	defaultPatience = 10
	// maxPostponedFar is the same for a member of another region. It is much
	// less, so that those who wait for this member outwait its waiting.
	maxPostponedFar = 2
	// maxBackoffShift bounds the growth of the pause after faults of the origin.
	maxBackoffShift = 2
	// originParallel is how many chunks a member reads from the origin at once.
	originParallel = 2
	// maxOriginCorrupt is how many corrupt copies of a chunk from the origin
	// make a member say that it is blocked.
	maxOriginCorrupt = 3
)

// injection decides which chunks this member brings into its region, and when.
// It is guarded by the Download's lock.
type injection struct {
	// due is when this member may bring in each chunk; front are those to ask before.
	due   []time.Time
	front [][]Member
	rank  []int
	// reading marks chunks that are being brought in now; fromOrigin those of
	// them that are being read from the origin.
	reading    map[int]bool
	fromOrigin map[int]bool
	corrupt    map[int]int
	// postponed counts how often each chunk was left to another member.
	postponed map[int]int
	// allowance is how many bytes of the origin this member may still read.
	allowance int64
	limiter   *rate.Limiter
	// retryAt is when the origin may be asked again after a fault.
	retryAt time.Time
	faults  int
	changed bool
}

func newInjection(d *Download) injection {
	n := len(d.set.Manifest().Chunks)
	j := injection{
		due:     make([]time.Time, n),
		front:   make([][]Member, n),
		rank:    make([]int, n),
		reading: map[int]bool{},
		corrupt: map[int]int{},

		fromOrigin: map[int]bool{},
		postponed:  map[int]int{},
	}
	j.assign(d)
	j.allowance = j.share(d)
	j.limiter = rate.NewLimiter(rate.Inf, 0)
	j.limit(d)
	return j
}

// limit keeps this member to its part of the origin's link. What it may read
// in all may come at once: the turns already spread that over time.
func (j *injection) limit(d *Download) {
	if d.cfg.OriginRate <= 0 {
		j.limiter.SetLimit(rate.Inf)
		return
	}
	members := float64(max(len(d.members), 1))
	j.limiter.SetBurst(int(max(j.allowance, d.set.Manifest().ChunkSize)))
	j.limiter.SetLimit(rate.Limit(d.cfg.OriginRate / members))
}

// share returns how many bytes of the origin this member may read: the chunks
// that it is the first to bring in, and its part of the spare copies. Shares
// add up to the budget; a part of a chunk is drawn by lot, the same each time.
func (j *injection) share(d *Download) int64 {
	m := d.set.Manifest()
	first := 0
	for _, r := range j.rank {
		if r == 0 {
			first++
		}
	}
	spare := (d.cfg.OriginCopies - 1) * float64(len(m.Chunks)) / float64(max(len(d.members), 1))
	whole, part := math.Modf(spare)
	if float64(score(d.set.Root(), allChunks, d.self.VM))/math.MaxUint64 < part {
		whole++
	}
	return (int64(first) + int64(whole)) * m.ChunkSize
}

// assign works out this member's rank and time for each chunk.
//
// The origin's link is shared by time: chunk c has its turn at c times what a
// chunk takes on the link. So the first chunks arrive early and spread while
// the others wait, and a ceiling on the link holds without talk.
func (j *injection) assign(d *Download) {
	m := d.set.Manifest()
	late := d.cfg.lateness(m.Size)
	region := inRegion(d.members, d.self.Region)
	for c := range m.Chunks {
		turn := d.began.Add(turnOf(d.cfg.OriginRate, m, c))
		ranks := ranked(d.set.Root(), c, region, maxRanks)
		j.front[c], j.rank[c] = inFront(ranks, d.self.VM)
		wait := time.Duration(j.rank[c]) * late
		if j.rank[c] == len(ranks) {
			spread := float64(score(d.set.Root(), c, d.self.VM)) / math.MaxUint64
			wait += time.Duration(spread * anybodySpread * float64(late))
		}
		home := ranked(d.set.Root(), c, d.members, 1)
		if len(home) == 1 && home[0].Region != d.self.Region {
			j.front[c] = withHome(j.front[c], home[0], j.rank[c])
			wait += late
		}
		j.due[c] = turn.Add(wait)
	}
}

// setBudget changes the ceilings on the origin while chunks travel.
func (j *injection) setBudget(d *Download, rate, copies float64) {
	before := j.share(d)
	WithOriginBudget(rate, copies)(&d.cfg)
	j.allowance += j.share(d) - before
	j.assign(d)
	j.limit(d)
}

// turnOf returns when chunk c has its turn on the origin's link.
func turnOf(originRate float64, m *weights.Manifest, c int) time.Duration {
	if originRate <= 0 {
		return 0
	}
	off, _ := m.Range(c)
	return time.Duration(float64(off) / originRate * float64(time.Second))
}

// withHome adds the first reader of all, in another region, to those in front:
// behind the members of this region that should have asked it already, so that
// a long link carries a chunk once.
func withHome(front []Member, home Member, rank int) []Member {
	out := append([]Member(nil), front[:rank]...)
	out = append(out, home)
	return append(out, front[rank:]...)
}

// inFront returns those ranked before vm, the next behind it, and vm's rank.
// The next behind is asked as well: it had the first rank before vm joined.
func inFront(ranks []Member, vm string) ([]Member, int) {
	for r, m := range ranks {
		if m.VM != vm {
			continue
		}
		front := append([]Member(nil), ranks[:r]...)
		if r+1 < len(ranks) {
			front = append(front, ranks[r+1])
		}
		return front, r
	}
	return ranks, len(ranks)
}

// injectDue begins to bring in the chunks whose time has come.
func (d *Download) injectDue(ctx context.Context) {
	now := time.Now()
	j := &d.inject
	parallel := originParallel
	if j.faults > 0 || d.link.congested() {
		parallel = 1
	}
	for c := range j.due {
		if len(j.reading) >= parallel {
			return
		}
		if now.Before(j.due[c]) || d.avail.have[c] || j.reading[c] || d.avail.known(c) || d.avail.flights[c].copies > 0 {
			continue
		}
		j.reading[c] = true
		d.inflight.Add(1)
		go d.bringIn(ctx, c, j.front[c], j.rank[c])
	}
}

// bringIn gets chunk c from those in front, or else from the origin.
func (d *Download) bringIn(ctx context.Context, c int, front []Member, rank int) {
	defer d.inflight.Done()
	defer d.signal()
	defer func() {
		d.mu.Lock()
		delete(d.inject.reading, c)
		delete(d.inject.fromOrigin, c)
		d.mu.Unlock()
	}()
	for _, m := range front {
		d.mu.Lock()
		barred := d.barred(m)
		d.mu.Unlock()
		if barred {
			continue
		}
		switch d.askFront(ctx, c, m) {
		case askGot:
			return
		case askWait:
			if d.patient(c, m) {
				d.postpone(c)
				return
			}
		case askAbsent:
		}
	}
	if d.originTroubled() && d.askElsewhere(ctx, c) {
		return
	}
	d.readOrigin(ctx, c, rank)
}

type askResult int

const (
	askAbsent askResult = iota
	askGot
	askWait
)

// askFront asks m, who should have brought in chunk c, for it.
func (d *Download) askFront(ctx context.Context, c int, m Member) askResult {
	actx, cancel := context.WithTimeout(ctx, d.cfg.MinTimeout)
	defer cancel()
	b, err := d.peers.Chunk(actx, m, d.set.Root(), c)
	var refused *RefusalError
	if errors.As(err, &refused) && refused.Refusal != RefusalAbsent {
		return askWait
	}
	if errors.Is(err, context.DeadlineExceeded) && ctx.Err() == nil {
		return askWait
	}
	if err != nil {
		return askAbsent
	}
	n := len(b)
	_, err = d.set.Put(c, b)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.stats.PeerBytes += int64(n)
	if err != nil {
		d.blame(m)
		return askAbsent
	}
	d.avail.have[c] = true
	return askGot
}

// postpone leaves chunk c alone for half the lateness, or for half of what a
// member that stalls takes to be found out.
func (d *Download) postpone(c int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.inject.postponed[c]++
	step := max(d.cfg.lateness(d.set.Manifest().Size), d.cfg.MinTimeout) / 2
	d.inject.due[c] = time.Now().Add(step)
}

// patient returns whether chunk c may be left to m once more.
func (d *Download) patient(c int, m Member) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if m.Region != d.self.Region {
		return d.inject.postponed[c] < maxPostponedFar
	}
	return d.inject.postponed[c] < d.cfg.Patience
}

// readOrigin reads chunk c from the origin within this member's budget.
func (d *Download) readOrigin(ctx context.Context, c, rank int) {
	off, n := d.set.Manifest().Range(c)
	if !d.mayRead(c, n) {
		d.postpone(c)
		return
	}
	if err := d.inject.limiter.WaitN(ctx, int(n)); err != nil {
		return
	}
	b, err := d.origin.ReadChunk(ctx, off, n)
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		d.originFailed(err, int64(len(b)), n)
		return
	}
	_, err = d.set.Put(c, b)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.stats.OriginBytes += n
	if err != nil {
		d.originCorrupt(c)
		return
	}
	d.inject.faults = 0
	d.avail.have[c] = true
	d.stats.Blocked = ""
	if rank > 0 {
		d.stats.Takeovers++
	}
}

// mayRead takes the n bytes of chunk c from the allowance, if there are as many and the
// origin may be asked now.
func (d *Download) mayRead(c int, n int64) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.inject.open(n) {
		d.explainClosed(n)
		return false
	}
	d.inject.allowance -= n
	d.inject.fromOrigin[c] = true
	return true
}

// Reasons why a download is blocked.
const (
	blockedChanged = "the origin no longer has this version; the rest can only come from other VMs"
	blockedBudget  = "this member's share of the origin's budget is used up"
	blockedCorrupt = "the origin's bytes do not match the manifest"
)

func (d *Download) explainClosed(n int64) {
	switch {
	case d.inject.changed:
		d.stats.Blocked = blockedChanged
	case d.inject.allowance < n:
		d.stats.Blocked = blockedBudget
	}
}

// open returns whether n bytes may be read from the origin now.
func (j *injection) open(n int64) bool {
	return !j.changed && j.allowance >= n && !time.Now().Before(j.retryAt)
}

// promises returns whether this member is reading chunk c from the origin, or
// is the first to do so and will as soon as it can. One that only asks others
// for it promises nothing: two that ask each other would both wait.
func (j *injection) promises(c int, n int64) bool {
	if j.fromOrigin[c] {
		return true
	}
	return j.rank[c] == 0 && !j.changed && j.allowance >= n
}

// originFailed notes a fault of the origin after read of n bytes, and backs off.
func (d *Download) originFailed(err error, read, n int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	j := &d.inject
	j.allowance += n - read
	d.stats.OriginBytes += read
	var changed *origin.ChangedError
	if errors.As(err, &changed) {
		j.changed = true
		d.stats.Blocked = blockedChanged
		return
	}
	d.stats.Blocked = "origin: " + err.Error()
	// It is the origin's fault that chunks are late, and no other member's.
	clear(j.postponed)
	j.backOff(d)
}

// backOff leaves the origin alone for a while, longer after each fault in a
// row, and not for the same time as other members.
func (j *injection) backOff(d *Download) {
	j.faults++
	pause := d.cfg.lateness(d.set.Manifest().Size) << min(j.faults-1, maxBackoffShift)
	jitter := 0.5 + d.cfg.Rand.Float64()/2
	j.retryAt = time.Now().Add(time.Duration(jitter * float64(pause)))
}

// originCorrupt notes a corrupt chunk from the origin. The caller holds the lock.
func (d *Download) originCorrupt(c int) {
	j := &d.inject
	d.stats.CorruptOrigin++
	j.corrupt[c]++
	j.backOff(d)
	if j.corrupt[c] >= maxOriginCorrupt {
		d.stats.Blocked = blockedCorrupt
	}
}
