package swarm

import (
	"math"
	"time"

	"golang.org/x/time/rate"

	"github.com/silverdeck/silverdeck/weights"
)

// Takeover of chunks whose first reader does not read them from the origin.
const (
	// maxRanks is how many members of a region are ranked as readers of a chunk, each a
	// takeover delay after the one before. Unranked members may read it after them.
	maxRanks = 4
	// unrankedSpread times the takeover delay is the interval over which reads by unranked
	// members are spread, so that they do not coincide.
	unrankedSpread = 16
	// maxBackoffShift limits the exponential backoff after corrupt reads to two doublings.
	maxBackoffShift = 2
	// remoteStartDivisor makes a region request a chunk that another region reads first half
	// a takeover delay after the chunk's turn, which is about when the chunk has been read.
	remoteStartDivisor = 2
)

// schedule determines which chunks this member reads from the origin for its region, and
// when. It is guarded by the Download's lock.
type schedule struct {
	// start is the time of the first chunk's turn on the origin's link.
	start time.Time
	// due is when this member may start to obtain each chunk, earlier lists the members to
	// request it from before the origin, and rank is this member's rank among the chunk's
	// readers in its region, starting at 0.
	due     []time.Time
	earlier [][]Member
	rank    []int
	// home marks chunks that this member's region is the first to read from the origin.
	home []bool
	// originAt is when this member may read each chunk from the origin; until then it only
	// requests the chunk from other members.
	originAt []time.Time
	// reading marks chunks that are being obtained, and fromOrigin those among them that
	// are being read from the origin.
	reading    map[int]bool
	fromOrigin map[int]bool
	corrupt    map[int]int
	// postponed counts how often each chunk was postponed in favour of another reader.
	postponed map[int]int
	// quota is how many bytes this member may still read from the origin.
	quota   int64
	limiter *rate.Limiter
	// position is each chunk's place in the order of reads, counted among the chunks that were
	// missing when the turns were computed.
	position []int
	// awaited marks the chunks that have a turn of their own which has not been given up.
	awaited []bool
	// changed is set once the origin reports that it has another version.
	changed bool
}

func newSchedule(d *Download) schedule {
	n := len(d.set.Manifest().Chunks)
	s := schedule{
		start:   d.began.Add(-d.cfg.HeadStart),
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
	s.takePositions(d)
	s.assign(d)
	s.quota = s.share(d)
	// The limiter is created with its final limits so that the full burst is available at
	// once. A limiter whose limits are set after creation starts without burst if no time
	// passes in between, and then reads one chunk in the time that the origin's link takes
	// for one chunk per member.
	s.limiter = rate.NewLimiter(s.limits(d))
	return s
}

// limits returns the rate limit and the burst for this member's share of the origin's link,
// in bytes per second and bytes. The burst covers the whole quota, because the turns already
// spread the reads over time.
func (s *schedule) limits(d *Download) (rate.Limit, int) {
	if d.cfg.OriginRate <= 0 {
		return rate.Inf, 0
	}
	members := float64(max(len(d.members), 1))
	return rate.Limit(d.cfg.OriginRate / members), int(max(s.quota, d.set.Manifest().ChunkSize))
}

// restart recomputes the turns on the origin's link, which begin at the given time. Without it,
// all members would read the chunks that became due during an outage at once when the origin
// recovers, and some chunks would be read twice before others are read at all.
func (s *schedule) restart(d *Download, at time.Time) {
	s.start = at
	clear(s.postponed)
	s.takePositions(d)
	s.assign(d)
}

// takePositions numbers the chunks that no known member holds. Chunks that others hold come
// first, with the first turn: they need none.
func (s *schedule) takePositions(d *Download) {
	s.position = make([]int, len(s.due))
	s.awaited = make([]bool, len(s.due))
	n := 0
	for c := range s.position {
		s.position[c] = n
		s.awaited[c] = !d.avail.known(c)
		if s.awaited[c] {
			n++
		}
	}
}

// closeGaps gives the turns of chunks that came before them to the chunks after those. Some are read
// out of turn, above all when an origin returns, and its link would idle in their turns.
func (s *schedule) closeGaps(d *Download) {
	turn := originLinkTime(d.cfg.OriginRate, d.set.Manifest(), 1)
	if turn <= 0 {
		return
	}
	now := time.Now()
	gaps := 0
	for c := range s.position {
		switch {
		case !s.start.Add(time.Duration(s.position[c]) * turn).After(now):
		case s.awaited[c] && d.avail.known(c):
			s.awaited[c] = false
			gaps++
		case s.awaited[c] && gaps > 0:
			s.position[c] -= gaps
			s.due[c] = s.due[c].Add(-time.Duration(gaps) * turn)
			s.originAt[c] = s.originAt[c].Add(-time.Duration(gaps) * turn)
		}
	}
}

// tryInTurn makes this member's own chunks due when it may try a failing origin again. Their turns
// would be due as if it answered.
func (s *schedule) tryInTurn(d *Download) {
	at := d.cfg.OriginStatus.nextTry()
	for c := range s.due {
		if s.home[c] && s.rank[c] == 0 {
			s.due[c], s.originAt[c] = at, at
		}
	}
}

// end returns when the origin's link has sent the last of the chunks that no known member holds.
// Turns are shorter than that takes.
func (s *schedule) end(d *Download) time.Time {
	end := s.start
	for c, p := range s.position {
		if !d.avail.known(c) {
			end = s.start.Add(originLinkTime(d.cfg.OriginRate, d.set.Manifest(), p+1))
		}
	}
	return end
}

// share returns how many bytes this member may read from the origin: the chunks of which it
// is the first reader in its region, and its part of the spare copies. The fractional chunk of
// that part is rounded up or down by the member's hash score, so that the result is the same
// on each call and the shares of all members add up to the budget on average.
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

// assign computes this member's rank and start times for each chunk.
//
// The origin's link is divided into time slots: chunk c has its turn after c times the transfer
// time of one chunk. The first chunks thus arrive early and spread among the members while later
// ones are read, the limit on the link's rate holds without coordination, and an origin that fails
// loses the few chunks that it is sending.
//
// A chunk is read first in the region of its home reader, the member that ranks first among
// all members. Other regions request it there, and read it from the origin only after the
// origin's link could have transferred one full copy. Since the origin may fail, each chunk
// is read from it once before any chunk is read twice.
func (s *schedule) assign(d *Download) {
	m := d.set.Manifest()
	late := d.cfg.takeoverDelay(m.Size)
	oneCopy := originLinkTime(d.cfg.OriginRate, m, len(m.Chunks))
	region := inRegion(d.members, d.self.Region)
	last := s.lastTurn(d)
	for c := range m.Chunks {
		turn := s.start.Add(originLinkTime(d.cfg.OriginRate, m, min(s.position[c], last)))
		ranks := ranked(d.set.Root(), c, region, maxRanks)
		s.earlier[c], s.rank[c] = earlierReaders(ranks, d.self.VM)
		wait := time.Duration(s.rank[c]) * late
		if s.rank[c] == len(ranks) {
			spread := float64(score(d.set.Root(), c, d.self.VM)) / math.MaxUint64
			wait += time.Duration(spread * unrankedSpread * float64(late))
		}
		home := ranked(d.set.Root(), c, d.members, 1)
		s.home[c] = len(home) == 0 || home[0].Region == d.self.Region
		if !s.home[c] {
			s.earlier[c] = withHomeReader(s.earlier[c], home[0], s.rank[c])
			wait += min(late/remoteStartDivisor, originLinkTime(d.cfg.OriginRate, m, 1))
		}
		s.due[c] = turn.Add(wait)
		s.originAt[c] = s.due[c]
		if !s.home[c] {
			s.originAt[c] = s.due[c].Add(oneCopy)
		}
	}
}

// lastTurn returns the place of the last turn. After an outage, of whose end the members have heard at
// different times, the last chunks share a turn: else the origin's link may idle before the last one.
func (s *schedule) lastTurn(d *Download) int {
	last := 0
	for c, p := range s.position {
		if s.awaited[c] {
			last = max(last, p)
		}
	}
	if !d.resumedAt.After(d.began) {
		return last
	}
	return max(last-turnTolerance, 0)
}

// setBudget changes the limits on origin reads while the download runs.
func (s *schedule) setBudget(d *Download, rate, copies float64) {
	before := s.share(d)
	WithOriginBudget(rate, copies)(&d.cfg)
	s.quota += s.share(d) - before
	s.assign(d)
	limit, burst := s.limits(d)
	s.limiter.SetBurst(burst)
	s.limiter.SetLimit(limit)
}

// originLinkTime returns the time that the origin's link takes for the chunks before chunk c.
// For c equal to the number of chunks this is the time of one full copy.
func originLinkTime(originRate float64, m *weights.Manifest, c int) time.Duration {
	if originRate <= 0 {
		return 0
	}
	off := m.Size
	if c < len(m.Chunks) {
		off, _ = m.Range(c)
	}
	return time.Duration(float64(off) / originRate * float64(time.Second))
}

// withHomeReader inserts the home reader, a member of another region, into earlier after the
// members of this region that rank before this one. These should have requested the chunk
// from the home reader already, so that it crosses the link between the regions only once.
func withHomeReader(earlier []Member, home Member, rank int) []Member {
	out := append([]Member(nil), earlier[:rank]...)
	out = append(out, home)
	return append(out, earlier[rank:]...)
}

// earlierReaders returns the members ranked before vm, the member ranked next after it, and
// vm's rank. The next member is included because it may have read the chunk at vm's rank
// before vm joined.
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

// allowsRead reports whether n bytes may be read from the origin.
func (s *schedule) allowsRead(n int64) bool {
	return !s.changed && s.quota >= n
}

// willRead reports whether this member is reading chunk c from the origin, or ranks first for
// it and has quota left to read it, where mayRead is whether the download reads from the origin.
// A member that only requests the chunk from others does not count: two such members would wait
// for each other.
func (s *schedule) willRead(c int, n int64, mayRead bool) bool {
	if s.fromOrigin[c] {
		return true
	}
	return mayRead && s.rank[c] == 0 && s.allowsRead(n)
}
