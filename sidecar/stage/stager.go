package stage

import (
	"context"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"github.com/silverdeck/silverdeck/exchange"
	"github.com/silverdeck/silverdeck/swarm"
	"github.com/silverdeck/silverdeck/swarm/congestion"
	"github.com/silverdeck/silverdeck/versions"
	"github.com/silverdeck/silverdeck/wait"
)

// Intervals and timeouts of a Stager.
const (
	// pollInterval is the interval at which the endpoint's state is polled while there is
	// work to do. The calls do not leave the VM.
	pollInterval = 150 * time.Millisecond
	// idlePollInterval is the polling interval while the endpoint runs its target versions.
	idlePollInterval = 500 * time.Millisecond
	// callTimeout is the timeout of one call to the endpoint or the origin.
	callTimeout = 2 * time.Second
	// retryDelay is the delay after a failed step.
	retryDelay = 200 * time.Millisecond
)

// Config holds the dependencies and settings of a Stager.
type Config struct {
	Self      swarm.Member
	Endpoint  Endpoint
	Origin    Origin
	Fleet     Fleet
	Peers     swarm.Transport
	Manifests ManifestClient
	// VersionLimit is the time after which no request may begin on superseded weights.
	VersionLimit time.Duration
	// ContactTime is how long after a start the platform does not enforce that limit.
	ContactTime time.Duration
	// LinkRate is the bandwidth of the VM's link in bytes per second.
	LinkRate float64
	Log      *log.Logger
}

// Stager keeps the endpoint on this VM at the newest version of its models. It is safe
// for concurrent use.
type Stager struct {
	cfg      Config
	holdings *holdings
	// startedAt is when the Stager was created.
	startedAt time.Time
	// history holds the times at which versions were named, as far as they are known here.
	history *versions.History

	// fetchWake wakes the fetch loop.
	fetchWake chan struct{}
	// originStatus records whether the origin answers; all downloads share it.
	originStatus *swarm.OriginStatus

	// lease is the latest answer to a request for a load lease, and leaseRetryAt the earliest
	// time of the next request. Both are used only by Run.
	lease        Lease
	leaseRetryAt time.Time
	// leaseAskedAt is when a lease was last requested. Used only by Run.
	leaseAskedAt time.Time
	// leasesRefused counts the refused requests since the last load. Used only by Run.
	leasesRefused int

	// staged holds by model the version that was last staged ahead of its load. Used only by Run.
	staged map[string]stagedVersion

	// orderSem is a binary semaphore. It is held while an order is sent, and from reading the
	// sequence number to sending an unload order that is based on it.
	orderSem chan struct{}

	mu sync.Mutex
	// targets holds the newest version of each model, complete the newest one of which all
	// chunks are present.
	targets, complete map[string]target
	// superseded holds the earlier targets of each model in ascending order.
	superseded map[string][]target
	wake       chan struct{}
	// startMillis is the start time that the endpoint reported last.
	startMillis int64
	// crashes records by model the loads during which the endpoint terminated.
	crashes map[string]loadCrashes
	// loading holds by model the version for which a load order is being prepared.
	loading map[string]int64
	// link measures the VM's link for chunks of linkChunkSize bytes; nil before first use.
	link          *congestion.Meter
	linkChunkSize int64
}

// New returns a Stager without targets.
func New(cfg Config) *Stager {
	return &Stager{
		cfg:        cfg,
		holdings:   newHoldings(),
		startedAt:  time.Now(),
		history:    versions.New(cfg.VersionLimit),
		targets:    map[string]target{},
		complete:   map[string]target{},
		superseded: map[string][]target{},
		loading:    map[string]int64{},
		staged:     map[string]stagedVersion{},

		fetchWake:    make(chan struct{}, 1),
		originStatus: &swarm.OriginStatus{},

		crashes:  map[string]loadCrashes{},
		orderSem: make(chan struct{}, 1),
		wake:     make(chan struct{}, 1),
	}
}

// Holdings returns the chunk sets that this VM can serve to others.
func (s *Stager) Holdings() exchange.Holdings {
	return s.holdings
}

// Run keeps the endpoint up to date until ctx is canceled.
func (s *Stager) Run(ctx context.Context) {
	go s.fetchLoop(ctx)
	go s.enforceLimits(ctx)
	for ctx.Err() == nil {
		settled := true
		for _, model := range s.models() {
			if !s.step(ctx, model) {
				settled = false
			}
		}
		s.sleep(ctx, s.stepPause(settled))
	}
}

// stepPause returns the time until the next step: sooner if a lease may be requested before.
func (s *Stager) stepPause(settled bool) time.Duration {
	if settled {
		return idlePollInterval
	}
	if d := time.Until(s.leaseRetryAt); d > 0 {
		return min(d, pollInterval)
	}
	return pollInterval
}

// sleep waits for d or until a new target is set.
func (s *Stager) sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-s.wake:
	case <-t.C:
	}
}

// step advances model by one step towards the newest complete version. It returns whether
// there is nothing left to do.
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
	if !s.worthLoading(model, want.version, report.Version(model) == 0) || s.inLoadBackoff(model, want.version) {
		return false
	}
	if err := s.stageAhead(ctx, model, report, want, set); err != nil {
		s.logAndBackOff(ctx, "weights not placed", model, want.version, err)
		return false
	}
	lease, may := s.maySwitch(ctx, model, report, want)
	if !may {
		return false
	}
	if err := s.placeAll(ctx, model, set); err != nil {
		s.logAndBackOff(ctx, "weights not placed", model, want.version, err)
		return false
	}
	if err := s.load(ctx, model, want, set, lease); err != nil {
		s.logAndBackOff(ctx, "weights not loaded", model, want.version, err)
	}
	return false
}

// worthLoading returns whether version would be used for long enough if its load began now. empty is
// set if the endpoint runs no version.
func (s *Stager) worthLoading(model string, version int64, empty bool) bool {
	end, ends := s.history.Deadline(model, version)
	return !ends || WorthLoading(end, time.Now(), empty)
}

// expiresTooSoon returns whether version would be too close to its expiry, or past it, by the
// time it is loaded in place of another one.
func (s *Stager) expiresTooSoon(model string, version int64) bool {
	return !s.worthLoading(model, version, false)
}

// logAndBackOff logs a failed step and waits before the next one.
func (s *Stager) logAndBackOff(ctx context.Context, what, model string, version int64, err error) {
	if ctx.Err() != nil {
		return
	}
	s.cfg.Log.Warn(what, "model", model, "version", version, "err", err)
	wait.For(ctx, retryDelay)
}

// report returns the endpoint's state.
func (s *Stager) report(ctx context.Context) (*Report, error) {
	return s.reportWithTimeout(ctx, callTimeout)
}

func (s *Stager) reportWithTimeout(ctx context.Context, limit time.Duration) (*Report, error) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	report, err := s.cfg.Endpoint.Report(ctx)
	if err == nil {
		s.recordStart(ctx, report.StartMillis)
	}
	return report, err
}

// recordStart records the endpoint's start time. Gateways are told immediately of a
// restart: going by the endpoint's registry record alone, they would keep sending it
// requests that it cannot run for another one to two seconds.
func (s *Stager) recordStart(ctx context.Context, startMillis int64) {
	s.mu.Lock()
	before := s.startMillis
	s.startMillis = startMillis
	s.mu.Unlock()
	if startMillis == before {
		return
	}
	if before != 0 {
		s.cfg.Log.Info("endpoint restarted", "born", startMillis, "before", before)
	}
	s.cfg.Fleet.NotifyStarted(ctx, startMillis, before != 0)
}
