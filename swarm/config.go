package swarm

import (
	"math/rand/v2"
	"time"

	"github.com/silverdeck/silverdeck/swarm/congestion"
)

// Config holds a Download's settings.
type Config struct {
	// Degree is the number of neighbours from which a member requests chunks.
	Degree int
	// Parallel is the maximum number of chunks that a member fetches at once.
	Parallel int
	// PerNeighbour is the maximum number of these from a single neighbour.
	PerNeighbour int
	// OriginRate is the limit on the rate of origin reads by all members together, in bytes
	// per second; 0 means unlimited.
	OriginRate float64
	// OriginCopies is the limit on bytes read from the origin by all members together, in
	// copies of the weights. Unless TakeoverDelay is set, more copies also shorten the
	// takeover delay.
	OriginCopies float64
	// TakeoverDelay is how long after its due time a chunk may be missing before the reader
	// next in rank takes over; 0 derives it from OriginRate and OriginCopies.
	TakeoverDelay time.Duration
	// MinTimeout is the shortest timeout of a chunk request to another member.
	MinTimeout time.Duration
	// LinkRate is the bandwidth of this VM's own link in bytes per second; 0 means unknown.
	// If the link turns out to be much slower, chunks are transferred one at a time.
	LinkRate float64
	// Link measures this VM's own link and is shared with other downloads. If it is nil, the
	// download creates a meter of its own from LinkRate.
	Link *congestion.Meter
	// MaxPostponements is how often a chunk is postponed in favour of a member of the same
	// region that reports that it is going to read it.
	MaxPostponements int
	// HeadStart is how long other members may have been reading from the origin when this
	// download starts. Turns on the origin's link are counted from that earlier time.
	HeadStart time.Duration
	// OriginStatus records whether the origin answers and is shared with other downloads. If it
	// is nil, the download has one of its own.
	OriginStatus *OriginStatus
	// Rand is the source of randomness for breaking ties and for backoff jitter.
	Rand *rand.Rand
}

// Option changes a Config.
type Option func(*Config)

// WithDegree sets the number of neighbours, at most MaxDegree.
func WithDegree(n int) Option {
	return func(cfg *Config) { cfg.Degree = min(n, MaxDegree) }
}

// WithParallel sets how many chunks are fetched at once in total and from a single neighbour.
func WithParallel(total, perNeighbour int) Option {
	return func(cfg *Config) { cfg.Parallel, cfg.PerNeighbour = total, perNeighbour }
}

// WithOriginBudget sets the limits on origin reads: bytes per second, with 0 for unlimited, and
// copies of the weights, with 0 for the default.
func WithOriginBudget(rate, copies float64) Option {
	return func(cfg *Config) {
		cfg.OriginRate = rate
		if copies > 0 {
			cfg.OriginCopies = copies
		}
	}
}

// WithTakeoverDelay sets how long a chunk may be missing before the reader next in rank takes
// over.
func WithTakeoverDelay(d time.Duration) Option {
	return func(cfg *Config) { cfg.TakeoverDelay = d }
}

// WithMinTimeout sets the shortest timeout of a chunk request.
func WithMinTimeout(d time.Duration) Option {
	return func(cfg *Config) { cfg.MinTimeout = d }
}

// WithLinkRate sets the bandwidth of this VM's own link, in bytes per second.
func WithLinkRate(rate float64) Option {
	return func(cfg *Config) { cfg.LinkRate = rate }
}

// WithLink sets the meter of this VM's own link, shared with other downloads.
func WithLink(m *congestion.Meter) Option {
	return func(cfg *Config) { cfg.Link = m }
}

// WithMaxPostponements sets how often a chunk is postponed in favour of a member of the same
// region that reports that it is going to read it.
func WithMaxPostponements(n int) Option {
	return func(cfg *Config) { cfg.MaxPostponements = n }
}

// WithHeadStart sets how long other members may have been reading from the origin already.
func WithHeadStart(d time.Duration) Option {
	return func(cfg *Config) { cfg.HeadStart = d }
}

// WithOriginStatus sets the status of the origin, shared with other downloads.
func WithOriginStatus(o *OriginStatus) Option {
	return func(cfg *Config) { cfg.OriginStatus = o }
}

// WithRand sets the source of randomness, for reproducible tests.
func WithRand(r *rand.Rand) Option {
	return func(cfg *Config) { cfg.Rand = r }
}

// DefaultCopies is the default limit on copies read from the origin. A healthy swarm reads
// little more than one copy.
const DefaultCopies = 1.25

// Defaults of Config. They depend on each other: change them together.
const (
	// defaultDegree is the number of neighbours that a member requests chunks from.
	defaultDegree = 10
	// defaultParallel is the number of chunks that are fetched concurrently.
	defaultParallel = 8
	// defaultMinTimeout is the minimum time after which a chunk counts as stalled.
	defaultMinTimeout = 500 * time.Millisecond
)

// Derivation of the takeover delay from the origin budget.
const (
	// minTakeoverDelay is the lower bound of the derived delay.
	minTakeoverDelay = 250 * time.Millisecond
	// maxTakeoverDelay is its upper bound.
	maxTakeoverDelay = 15 * time.Second
	// defaultTakeoverDelay replaces an eighth of the time of one copy if the origin's rate is
	// unknown.
	defaultTakeoverDelay = 2 * time.Second
	// takeoverDelayDivisor sets the delay at the default budget to an eighth of the time that
	// the origin's link takes for one copy.
	takeoverDelayDivisor = 8
	// minSpareCopies keeps the delay finite for a budget without spare copies.
	minSpareCopies = 0.05
)

func newConfig(opts []Option) Config {
	cfg := Config{
		Degree:           defaultDegree,
		Parallel:         defaultParallel,
		PerNeighbour:     1,
		OriginCopies:     DefaultCopies,
		MinTimeout:       defaultMinTimeout,
		MaxPostponements: defaultMaxPostponements,
	}
	for _, o := range opts {
		o(&cfg)
	}
	if cfg.OriginStatus == nil {
		cfg.OriginStatus = &OriginStatus{}
	}
	if cfg.Rand == nil {
		cfg.Rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	return cfg
}

// takeoverDelay returns TakeoverDelay, or if that is not set, derives it for weights of size
// bytes. At the default budget it is an eighth of the time that the origin's link takes for one
// copy; it is inversely proportional to the number of spare copies, within bounds.
func (cfg Config) takeoverDelay(size int64) time.Duration {
	if cfg.TakeoverDelay > 0 {
		return cfg.TakeoverDelay
	}
	base := defaultTakeoverDelay
	if cfg.OriginRate > 0 {
		base = time.Duration(float64(size) / cfg.OriginRate / takeoverDelayDivisor * float64(time.Second))
	}
	spare := max(cfg.OriginCopies-1, minSpareCopies)
	d := time.Duration(float64(base) * (DefaultCopies - 1) / spare)
	return min(max(d, minTakeoverDelay), maxTakeoverDelay)
}
