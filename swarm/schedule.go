package swarm

import (
	"math"
	"time"

	"golang.org/x/time/rate"

	"github.com/silverdeck/silverdeck/weights"
)

// Who reads a chunk from the origin when the first in rank does not.
const (
	// maxRanks is how many members of a region are named for a chunk, one after the other,
	// before anybody may read it.
	maxRanks = 4
	// anybodySpread is over how many times the lateness the readings by anybody are spread,
	// so that they do not come together.
	anybodySpread = 16
	// maxBackoffShift bounds the growth of the pause after faults of the origin: it doubles
	// twice.
	maxBackoffShift = 2
	// farStartDivisor makes a region ask for a chunk that another one reads first half of the
	// lateness after its turn: about what it takes to be there.
	farStartDivisor = 2
)

// turnShare is the part of a chunk's time on the origin's link after which the next has its
// turn. Readers come a little sooner than the link is free, so that it never waits for one
// that has yet to connect or that was late itself.
const turnShare = 0.9

// schedule decides which chunks this member reads from the origin for its region,
// and when. It is guarded by the Download's lock.
type schedule struct {
	// from is when the first chunk has its turn on the origin's link.
	from time.Time
	// due is when this member may obtain each chunk, earlier are the members to ask
	// for it first, and rank is this member's place among its readers, 0 first.
	due     []time.Time
	earlier [][]Member
	rank    []int
	// home is set for chunks that this member's region reads from the origin first of all.
	home []bool
	// originAt is when this member may read each chunk from the origin; before, it only
	// asks others for it.
	originAt []time.Time
	// reading marks chunks that are being obtained now; fromOrigin those of
	// them that are being read from the origin.
	reading    map[int]bool
	fromOrigin map[int]bool
	corrupt    map[int]int
	// postponed counts how often each chunk was left to another member.
	postponed map[int]int
	// quota is how many bytes of the origin this member may still read.
	quota   int64
	limiter *rate.Limiter
	// retryAt is when the origin may be asked again after a fault.
	retryAt time.Time
	// faults counts those of the origin in a row.
	faults int
	// changed is set once the origin has another version.
	changed bool
}

func newSchedule(d *Download) schedule {
	n := len(d.set.Manifest().Chunks)
	s := schedule{
		from:    d.began.Add(-d.cfg.HeadStart),
		due:     make([]time.Time, n),
		earlier: make([][]Member, n),
		rank:    make([]int, n),
		reading: map[int]bool{},

		home:     make([]bool, n),
		originAt: make([]time.Time, n),

		corrupt: map[int]int{},

		fromOrigin: map[int]bool{},
		postponed:  map[int]int{},
	}
	s.assign(d)
	s.quota = s.share(d)
	// All of the burst is there from the start. A limiter that is made first and limited
	// then has none of it where no time passes in between, and reads a chunk only in the
	// time that the origin's link takes for one chunk of each member.
	s.limiter = rate.NewLimiter(s.limits(d))
	return s
}

// limits returns what keeps this member to its part of the origin's link, in bytes a
// second and bytes. What it may read in all may come at once: the turns already spread
// that over time.
func (s *schedule) limits(d *Download) (rate.Limit, int) {
	if d.cfg.OriginRate <= 0 {
		return rate.Inf, 0
	}
	members := float64(max(len(d.members), 1))
	return rate.Limit(d.cfg.OriginRate / members), int(max(s.quota, d.set.Manifest().ChunkSize))
}

// beginAnew lets the turns on the origin's link begin now. Chunks that were due while the
// origin failed would else be read by all members at once when it is back, some of them
// twice before others leave it.
func (s *schedule) beginAnew(d *Download) {
	s.from = time.Now()
	clear(s.postponed)
	s.assign(d)
}

// share returns how many bytes of the origin this member may read: the chunks
// that it is the first to bring in, and its part of the spare copies. Shares
// add up to the budget; a part of a chunk is drawn by lot, the same each time.
func (s *schedule) share(d *Download) int64 {
	m := d.set.Manifest()
	first := 0
	for _, r := range s.rank {
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
// The origin's link is shared by time: chunk c has its turn at c times a little less than
// what a chunk takes on the link. So the first chunks arrive early and spread while
// the others wait, and a ceiling on the link holds without talk.
//
// A chunk is read first in the region of its home reader, the first of all members; the
// others ask there, and read from the origin only once its link could have carried one
// copy: the origin is what can fail, and each chunk leaves it once before any does twice.
func (s *schedule) assign(d *Download) {
	m := d.set.Manifest()
	late := d.cfg.lateness(m.Size)
	oneCopy := timeOnLink(d.cfg.OriginRate, m, len(m.Chunks))
	region := inRegion(d.members, d.self.Region)
	for c := range m.Chunks {
		turn := s.from.Add(turnOf(d.cfg.OriginRate, m, c))
		ranks := ranked(d.set.Root(), c, region, maxRanks)
		s.earlier[c], s.rank[c] = earlierReaders(ranks, d.self.VM)
		wait := time.Duration(s.rank[c]) * late
		if s.rank[c] == len(ranks) {
			spread := float64(score(d.set.Root(), c, d.self.VM)) / math.MaxUint64
			wait += time.Duration(spread * anybodySpread * float64(late))
		}
		home := ranked(d.set.Root(), c, d.members, 1)
		s.home[c] = len(home) == 0 || home[0].Region == d.self.Region
		if !s.home[c] {
			s.earlier[c] = withHomeReader(s.earlier[c], home[0], s.rank[c])
			wait += late / farStartDivisor
		}
		s.due[c] = turn.Add(wait)
		s.originAt[c] = s.due[c]
		if !s.home[c] {
			s.originAt[c] = s.due[c].Add(oneCopy)
		}
		if d.cfg.FirstCopies {
			s.due[c], s.originAt[c] = s.from, s.from
		}
	}
}

// firstOfAll returns whether this member is the first of all to read chunk c.
func (s *schedule) firstOfAll(c int) bool {
	return s.home[c] && s.rank[c] == 0
}

// setBudget changes the ceilings on the origin while chunks travel.
func (s *schedule) setBudget(d *Download, rate, copies float64) {
	before := s.share(d)
	WithOriginBudget(rate, copies)(&d.cfg)
	s.quota += s.share(d) - before
	s.assign(d)
	limit, burst := s.limits(d)
	s.limiter.SetBurst(burst)
	s.limiter.SetLimit(limit)
}

// turnOf returns when chunk c has its turn on the origin's link.
func turnOf(originRate float64, m *weights.Manifest, c int) time.Duration {
	return time.Duration(turnShare * float64(timeOnLink(originRate, m, c)))
}

// timeOnLink returns for how long the origin's link carries the chunks before chunk c; for
// the chunk after the last, one copy.
func timeOnLink(originRate float64, m *weights.Manifest, c int) time.Duration {
	if originRate <= 0 {
		return 0
	}
	off := m.Size
	if c < len(m.Chunks) {
		off, _ = m.Range(c)
	}
	return time.Duration(float64(off) / originRate * float64(time.Second))
}

// withHomeReader adds the first reader of all, in another region, to those in earlier:
// behind the members of this region that should have asked it already, so that
// a long link carries a chunk once.
func withHomeReader(earlier []Member, home Member, rank int) []Member {
	out := append([]Member(nil), earlier[:rank]...)
	out = append(out, home)
	return append(out, earlier[rank:]...)
}

// earlierReaders returns those ranked before vm, the next behind it, and vm's rank.
// The next behind is asked as well: it had the first rank before vm joined.
func earlierReaders(ranks []Member, vm string) ([]Member, int) {
	for r, m := range ranks {
		if m.VM != vm {
			continue
		}
		earlier := append([]Member(nil), ranks[:r]...)
		if r+1 < len(ranks) {
			earlier = append(earlier, ranks[r+1])
		}
		return earlier, r
	}
	return ranks, len(ranks)
}

// open returns whether n bytes may be read from the origin now.
func (s *schedule) open(n int64) bool {
	return !s.changed && s.quota >= n && !time.Now().Before(s.retryAt)
}

// willRead returns whether this member is reading chunk c from the origin, or
// is the first to do so and will as soon as it can. One that only asks others for
// it does not count: two that ask each other would both wait.
func (s *schedule) willRead(c int, n int64) bool {
	if s.fromOrigin[c] {
		return true
	}
	return s.rank[c] == 0 && !s.changed && s.quota >= n
}

// backOff leaves the origin alone for a while, longer after each fault in a
// row, and not for the same time as other members.
func (s *schedule) backOff(d *Download) {
	s.faults++
	pause := d.cfg.lateness(d.set.Manifest().Size) << min(s.faults-1, maxBackoffShift)
	jitter := 0.5 + d.cfg.Rand.Float64()/2
	s.retryAt = time.Now().Add(time.Duration(jitter * float64(pause)))
}
