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
	// reading marks chunks that are being brought in now.
	reading map[int]bool
	corrupt map[int]int
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
	}
	j.assign(d)
	m := d.set.Manifest()
	members := float64(max(len(d.members), 1))
	fair := d.cfg.OriginCopies * float64(m.Size) / members
	j.allowance = int64(math.Ceil(fair)) + 2*m.ChunkSize
	j.limiter = rate.NewLimiter(rate.Inf, 0)
	if d.cfg.OriginRate > 0 {
		burst := max(int(j.allowance), int(m.ChunkSize))
		j.limiter = rate.NewLimiter(rate.Limit(d.cfg.OriginRate/members), burst)
	}
	return j
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
			j.front[c] = append(home, j.front[c]...)
			wait += late
		}
		j.due[c] = turn.Add(wait)
	}
}

// turnOf returns when chunk c has its turn on the origin's link.
func turnOf(originRate float64, m *weights.Manifest, c int) time.Duration {
	if originRate <= 0 {
		return 0
	}
	off, _ := m.Range(c)
	return time.Duration(float64(off) / originRate * float64(time.Second))
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
	for c := range j.due {
		if len(j.reading) >= originParallel {
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
		d.mu.Unlock()
	}()
	for _, m := range front {
		switch d.askFront(ctx, c, m) {
		case askGot:
			return
		case askWait:
			d.postpone(c)
			return
		case askAbsent:
		}
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
	if err != nil {
		return askAbsent
	}
	n := len(b)
	_, err = d.set.Put(c, b)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.stats.PeerBytes += int64(n)
	if err != nil {
		d.stats.CorruptPeer++
		return askAbsent
	}
	d.avail.have[c] = true
	return askGot
}

// postpone gives whoever is reading chunk c half the lateness more.
func (d *Download) postpone(c int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.inject.due[c] = time.Now().Add(d.cfg.lateness(d.set.Manifest().Size) / 2)
}

// readOrigin reads chunk c from the origin within this member's budget.
func (d *Download) readOrigin(ctx context.Context, c, rank int) {
	off, n := d.set.Manifest().Range(c)
	if !d.mayRead(n) {
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
		d.originFailed(err)
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

// mayRead takes n bytes from the allowance, if there are as many and the
// origin may be asked now.
func (d *Download) mayRead(n int64) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	j := &d.inject
	if j.changed || time.Now().Before(j.retryAt) {
		return false
	}
	if j.allowance < n {
		d.stats.Blocked = "this member's share of the origin's budget is used up"
		return false
	}
	j.allowance -= n
	return true
}

// originFailed notes a fault of the origin and backs off.
func (d *Download) originFailed(err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	j := &d.inject
	var changed *origin.ChangedError
	if errors.As(err, &changed) {
		j.changed = true
		d.stats.Blocked = "the origin no longer has this version; the rest can only come from other VMs"
		return
	}
	j.faults++
	d.stats.Blocked = "origin: " + err.Error()
	j.retryAt = time.Now().Add(backoff(j.faults, d.cfg.lateness(d.set.Manifest().Size)))
}

// originCorrupt notes a corrupt chunk from the origin. The caller holds the lock.
func (d *Download) originCorrupt(c int) {
	j := &d.inject
	d.stats.CorruptOrigin++
	j.corrupt[c]++
	j.faults++
	j.retryAt = time.Now().Add(backoff(j.faults, d.cfg.lateness(d.set.Manifest().Size)/4))
	if j.corrupt[c] >= maxOriginCorrupt {
		d.stats.Blocked = "the origin's bytes do not match the manifest"
	}
}

// maxBackoffShift bounds the growth of a backoff.
const maxBackoffShift = 6

func backoff(faults int, base time.Duration) time.Duration {
	return base << min(faults-1, maxBackoffShift)
}
