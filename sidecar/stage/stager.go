package stage

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/charmbracelet/log"

	"github.com/silverdeck/silverdeck/exchange"
	"github.com/silverdeck/silverdeck/swarm"
	"github.com/silverdeck/silverdeck/swarm/congestion"
	"github.com/silverdeck/silverdeck/versions"
	"github.com/silverdeck/silverdeck/wait"
)

// Times of a Stager.
const (
	// lookEvery is how often the endpoint is asked for its state, settledEvery while it
	// runs what it should. Such calls stay on the VM.
	lookEvery = 150 * time.Millisecond
	// settledEvery is how often while it runs what it should.
	settledEvery = 500 * time.Millisecond
	// callLimit bounds one call to the endpoint or the origin.
	callLimit = 2 * time.Second
	// retryPause is the time after a step that failed.
	retryPause = 200 * time.Millisecond
)

// Config holds a Stager's parts and settings.
type Config struct {
	Self     swarm.Member
	Endpoint Endpoint
	Origin   Origin
	Fleet    Fleet
	Peers    swarm.Transport
	Asker    Asker
	// Limit is the time after which no request may begin on older weights.
	Limit time.Duration
	// LinkRate is the bandwidth of the VM's link, in bytes a second.
	LinkRate float64
	Log      *log.Logger
}

// Stager keeps the endpoint on this VM at the newest version of its models. It
// is safe for concurrent use.
type Stager struct {
	cfg      Config
	holdings *holdings
	// named is when versions were named, as far as this process knows.
	named *versions.History

	// lease is the last answer about a lease on a load, leaseAgain from when on it is asked for
	// again. Only Run uses them.
	lease      Lease
	leaseAgain time.Time
	// leasesRefused is how many were not given since the last load. Only Run uses it.
	leasesRefused int

	// ordering has room for one: for who gives an order, and for who asks for the count of
	// orders on which an order to unload then rests.
	ordering chan struct{}

	mu sync.Mutex
	// targets are the newest versions by model, complete those that are there whole.
	targets, complete map[string]target
	// former are the targets before the newest, by model, the newest of them last.
	former map[string][]target
	wake   chan struct{}
	// born is when the endpoint started, as it told last.
	born int64
	// ended are the loads under which the endpoint ended, by model.
	ended map[string]endedLoads
	// loading is the version that is about to be loaded, by model.
	loading map[string]int64
	// link measures the VM's link for chunks of linkChunk bytes; nil before the first.
	link      *congestion.Meter
	linkChunk int64
}

// New returns a Stager without targets.
func New(cfg Config) *Stager {
	return &Stager{
		cfg:      cfg,
		holdings: newHoldings(),
		named:    versions.New(cfg.Limit),
		targets:  map[string]target{},
		complete: map[string]target{},
		former:   map[string][]target{},
		loading:  map[string]int64{},
		ended:    map[string]endedLoads{},
		ordering: make(chan struct{}, 1),
		wake:     make(chan struct{}, 1),
	}
}

// Holdings is what this VM can give to others.
func (s *Stager) Holdings() exchange.Holdings {
	return s.holdings
}

// Run keeps the endpoint up to date until ctx ends.
func (s *Stager) Run(ctx context.Context) {
	go s.fetchAll(ctx)
	go s.keepLimits(ctx)
	for ctx.Err() == nil {
		settled := true
		for _, model := range s.models() {
			if !s.step(ctx, model) {
				settled = false
			}
		}
		pause := lookEvery
		if settled {
			pause = settledEvery
		}
		s.pause(ctx, pause)
	}
}

// pause waits for d, or until there is a new target.
func (s *Stager) pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-s.wake:
	case <-t.C:
	}
}

// step takes one step towards the newest version of model that is there and
// returns whether nothing is left to do.
func (s *Stager) step(ctx context.Context, model string) bool {
	want, set := s.loadable(model)
	if set == nil {
		return false
	}
	report, err := s.report(ctx)
	if err != nil || report.Busy {
		return false
	}
	if report.Version(model) >= want.version {
		return true
	}
	if s.outdated(model, want.version) || s.leftAlone(model, want.version) {
		return false
	}
	leased, may := s.mayChange(ctx, model, report.Version(model), want)
	if !may {
		return false
	}
	if err := s.place(ctx, model, set); err != nil {
		s.failed(ctx, "weights not placed", model, want.version, err)
		return false
	}
	if err := s.load(ctx, model, want, set, leased); err != nil {
		s.failed(ctx, "weights not loaded", model, want.version, err)
	}
	return false
}

// outdated returns whether requests could not use version any more once it is
// loaded, since its limit has come.
func (s *Stager) outdated(model string, version int64) bool {
	end, ends := s.named.Deadline(model, version)
	return ends && !Useful(end, time.Now())
}

// mayChange returns whether this endpoint, which runs a version or none, may change to want
// now, and whether it has a lease for that. It asks for one from the first moment at which it
// may change. Without, it changes at a time of its own, or where a lease is to come, at the
// last moment. The limit counts from the version that first replaced the one it runs,
// whichever is loaded in the end.
func (s *Stager) mayChange(ctx context.Context, model string, held int64, want target) (leased, may bool) {
	naming, replaced := s.named.Replaced(model, held)
	if held == 0 || !replaced || naming.TimeUnknown {
		return false, true // it is empty, or nobody knows how near the limit is
	}
	now := time.Now()
	if now.Before(FirstChange(naming.At, s.cfg.Limit, want.wholeAt)) {
		return false, false
	}
	if s.leasesLoad(ctx, model, held, now) {
		return true, true
	}
	at := ChangeTime(naming.At, s.cfg.Limit, want.wholeAt, s.draw(model))
	if s.lease.Comes {
		at = LastChange(naming.At, s.cfg.Limit)
	}
	return false, !now.Before(at)
}

// draw returns the endpoint's draw from [0, 1). It is a hash, so that it is the same after a
// restart.
func (s *Stager) draw(model string) float64 {
	return float64(xxhash.Sum64String(model+"\x00"+s.cfg.Self.VM)) / (1 << 64)
}

// leasesLoad returns whether the endpoint, which runs a version, has a lease on a load. It is
// asked for no more often than the last answer said.
func (s *Stager) leasesLoad(ctx context.Context, model string, held int64, now time.Time) bool {
	if now.Before(s.leaseAgain) {
		return false
	}
	s.lease = s.cfg.Fleet.LeaseLoad(ctx, model, s.drainTime(model, held, 0)+loadTime)
	s.leaseAgain = now.Add(s.lease.Again)
	if !s.lease.Given {
		s.leasesRefused++
	}
	return s.lease.Given
}

// failed notes a step that failed and waits before the next.
func (s *Stager) failed(ctx context.Context, what, model string, version int64, err error) {
	if ctx.Err() != nil {
		return
	}
	s.cfg.Log.Warn(what, "model", model, "version", version, "err", err)
	wait.For(ctx, retryPause)
}

// report asks the endpoint for its state.
func (s *Stager) report(ctx context.Context) (*Report, error) {
	return s.reportWithin(ctx, callLimit)
}

func (s *Stager) reportWithin(ctx context.Context, limit time.Duration) (*Report, error) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	report, err := s.cfg.Endpoint.Report(ctx)
	if err == nil {
		s.noteBorn(ctx, report.Born)
	}
	return report, err
}

// noteBorn notes when the endpoint started. Gateways hear at once of a start that comes
// after another: by the endpoint's record they would send to it for a second or two longer
// what it can't run.
func (s *Stager) noteBorn(ctx context.Context, born int64) {
	s.mu.Lock()
	before := s.born
	s.born = born
	s.mu.Unlock()
	if born == before {
		return
	}
	if before != 0 {
		s.cfg.Log.Info("endpoint started again", "born", born, "before", before)
	}
	s.cfg.Fleet.Started(ctx, born, before != 0)
}
