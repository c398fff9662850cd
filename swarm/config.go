package swarm

import (
	"math/rand/v2"
	"time"

	"github.com/silverdeck/silverdeck/swarm/congestion"
)

// Config holds a Download's settings.
type Config struct {
	// Degree is how many neighbours a member asks for chunks.
	Degree int
	// Parallel is how many chunks a member fetches at once.
	Parallel int
	// PerNeighbour is how many of these may come from one neighbour.
	PerNeighbour int
	// OriginRate is the ceiling on the origin's link for all members together,
	// in bytes a second; 0 means none.
	OriginRate float64
	// OriginCopies is the ceiling on bytes read from the origin by all members
	// together, in copies of the weights. It also sets how soon a late chunk is
	// read again: more copies, less waiting.
	OriginCopies float64
	// Lateness is how long after its time a chunk may stay away before the next
	// in rank reads it; 0 derives it from OriginRate and OriginCopies.
	Lateness time.Duration
	// MinTimeout is the shortest time after which a chunk from a neighbour
	// counts as stalled.
	MinTimeout time.Duration
	// LinkRate is the bandwidth of this VM's own link in bytes a second; 0 means
	// unknown. A link that carries much less is not filled with several chunks.
	LinkRate float64
	// Link measures this VM's own link together with other downloads; nil measures it
	// for this one alone, by LinkRate.
	Link *congestion.Meter
	// Patience is how often a chunk is left to a member of the same region that
	// says it is about to read it.
	Patience int
	// HeadStart is for how long other members may have been reading from the origin when
	// this one begins: turns on the origin's link count from then.
	HeadStart time.Duration
	// FirstCopies makes a member read only the chunks that it is the first of all to read
	// from the origin, at once, and end with them.
	FirstCopies bool
	// Rand breaks ties.
	Rand *rand.Rand
}

// Option changes a Config.
type Option func(*Config)

// WithDegree sets how many neighbours a member asks for chunks.
func WithDegree(n int) Option {
	return func(cfg *Config) { cfg.Degree = min(n, MaxDegree) }
}

// WithParallel sets how many chunks are fetched at once, and how many from one neighbour.
func WithParallel(total, perNeighbour int) Option {
	return func(cfg *Config) { cfg.Parallel, cfg.PerNeighbour = total, perNeighbour }
}

// WithOriginBudget sets the ceilings on the origin: bytes a second and copies.
// Zero keeps the default.
func WithOriginBudget(rate, copies float64) Option {
	return func(cfg *Config) {
		cfg.OriginRate = rate
		if copies > 0 {
			cfg.OriginCopies = copies
		}
	}
}

// WithLateness sets how long a chunk may stay away before the next in rank reads it.
func WithLateness(d time.Duration) Option {
	return func(cfg *Config) { cfg.Lateness = d }
}

// WithMinTimeout sets the shortest time after which a chunk counts as stalled.
func WithMinTimeout(d time.Duration) Option {
	return func(cfg *Config) { cfg.MinTimeout = d }
}

// WithLinkRate sets the bandwidth of this VM's own link, in bytes a second.
func WithLinkRate(rate float64) Option {
	return func(cfg *Config) { cfg.LinkRate = rate }
}

// WithLink sets what measures this VM's own link, which other downloads share.
func WithLink(m *congestion.Meter) Option {
	return func(cfg *Config) { cfg.Link = m }
}

// WithPatience sets how often a chunk is left to a member of the same region that
// says it is about to read it.
func WithPatience(n int) Option {
	return func(cfg *Config) { cfg.Patience = n }
}

// WithHeadStart sets for how long other members may have been reading from the origin.
func WithHeadStart(d time.Duration) Option {
	return func(cfg *Config) { cfg.HeadStart = d }
}

// WithFirstCopies makes a member bring in only what it is the first of all to read.
func WithFirstCopies() Option {
	return func(cfg *Config) { cfg.FirstCopies = true }
}

// WithRand sets the source of tie breaks; tests that must repeat set it.
func WithRand(r *rand.Rand) Option {
	return func(cfg *Config) { cfg.Rand = r }
}

// DefaultCopies is the ceiling on origin copies where nothing else is set. Healthy
// swarms read little more than one.
const DefaultCopies = 1.25

// Defaults of a Config; bench/burst measures them together.
const (
	// defaultDegree is how many neighbours a member asks.
	defaultDegree = 10
	// defaultParallel is how many chunks it fetches at once.
	defaultParallel = 8
	// defaultMinTimeout is the shortest time after which a chunk counts as stalled.
	defaultMinTimeout = 500 * time.Millisecond
)

// How the lateness is derived from a budget.
const (
	// minLateness and maxLateness bound it.
	minLateness = 250 * time.Millisecond
	// maxLateness is the longest.
	maxLateness = 15 * time.Second
	// unknownCopyTime stands for an eighth of the time of one copy where the origin's
	// rate is not known.
	unknownCopyTime = 2 * time.Second
	// latenessDivisor makes the lateness an eighth of the time of one copy.
	latenessDivisor = 8
	// minSpareCopies keeps a budget without spare copies from waiting forever.
	minSpareCopies = 0.05
)

func newConfig(opts []Option) Config {
	cfg := Config{
		Degree:       defaultDegree,
		Parallel:     defaultParallel,
		PerNeighbour: 1,
		OriginCopies: DefaultCopies,
		MinTimeout:   defaultMinTimeout,
		Patience:     defaultPatience,
	}
	for _, o := range opts {
		o(&cfg)
	}
	if cfg.Rand == nil {
		cfg.Rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	return cfg
}

// lateness returns how long a chunk may stay away. At the default budget it is
// an eighth of the time that the origin's link takes for one copy; each spare
// copy shortens it in proportion.
func (cfg Config) lateness(size int64) time.Duration {
	if cfg.Lateness > 0 {
		return cfg.Lateness
	}
	base := unknownCopyTime
	if cfg.OriginRate > 0 {
		base = time.Duration(float64(size) / cfg.OriginRate / latenessDivisor * float64(time.Second))
	}
	spare := max(cfg.OriginCopies-1, minSpareCopies)
	d := time.Duration(float64(base) * (DefaultCopies - 1) / spare)
	return min(max(d, minLateness), maxLateness)
}
