package stage

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"github.com/silverdeck/silverdeck/exchange"
	"github.com/silverdeck/silverdeck/swarm"
	"github.com/silverdeck/silverdeck/wait"
	"github.com/silverdeck/silverdeck/weights"
)

// Timing of a Stager.
const (
	// lookEvery is how often the endpoint is asked for its state, settledEvery
	// while it runs what it should.
	lookEvery    = 150 * time.Millisecond
	settledEvery = 500 * time.Millisecond
	// callLimit bounds one call to the endpoint or the origin.
	callLimit = 2 * time.Second
	// fleetEvery is how often the list of members is read during a download.
	fleetEvery = time.Second
	// settleTime is how long the VMs of a fleet may take to appear.
	settleTime = 5 * time.Second
	retryPause = 200 * time.Millisecond
	// parallelChunks is how many chunks are fetched from other VMs at once.
	parallelChunks = 3
	// originLateness is how long a chunk may stay away before the next in rank
	// reads it from the origin.
	originLateness = 250 * time.Millisecond
	// chunkLimit is the shortest time after which a chunk from a VM counts as stalled.
	chunkLimit = 600 * time.Millisecond
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

	mu sync.Mutex
	// targets are the newest versions by model, complete those that are there whole.
	targets, complete map[string]target
	wake              chan struct{}
}

// target is the version of a model that the endpoint should run.
type target struct {
	version int64
	// seenAt is when the version was first heard of; first says that it stood
	// there when this process began.
	seenAt time.Time
	first  bool
}

// New returns a Stager without targets.
func New(cfg Config) *Stager {
	return &Stager{cfg: cfg, holdings: newHoldings(), targets: map[string]target{}, complete: map[string]target{}, wake: make(chan struct{}, 1)}
}

// Holdings is what this VM can give to others.
func (s *Stager) Holdings() exchange.Holdings {
	return s.holdings
}

// Want takes in that version of model should run. first says that it stood
// there when this process began. Older versions than the newest are ignored.
func (s *Stager) Want(model string, version int64, first bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.targets[model].version >= version {
		return false
	}
	s.targets[model] = target{version: version, seenAt: time.Now(), first: first}
	select {
	case s.wake <- struct{}{}:
	default:
	}
	return true
}

func (s *Stager) target(model string) target {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.targets[model]
}

func (s *Stager) models() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []string
	for m := range s.targets {
		out = append(out, m)
	}
	return out
}

// Run keeps the endpoint up to date until ctx ends.
func (s *Stager) Run(ctx context.Context) {
	go s.fetchAll(ctx)
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

func (s *Stager) pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-s.wake:
	case <-t.C:
	}
}

// fetchAll fetches the newest version of each model, until ctx ends.
func (s *Stager) fetchAll(ctx context.Context) {
	for ctx.Err() == nil {
		for _, model := range s.models() {
			s.fetchNewest(ctx, model)
		}
		wait.For(ctx, lookEvery)
	}
}

// fetchNewest fetches the newest version of model. One that is named meanwhile
// takes over unless most of this one is there already.
func (s *Stager) fetchNewest(ctx context.Context, model string) {
	want := s.target(model)
	if set := s.holdings.version(model, want.version); set != nil && set.Complete() {
		return
	}
	if want.first && !s.settle(ctx, model, want) {
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go s.abandon(ctx, cancel, model, want.version)
	if err := s.fetch(ctx, model, want.version); err != nil {
		s.failed(ctx, "weights not fetched", model, want.version, err)
		return
	}
	s.completed(model, want)
}

// settle gives the other VMs time to appear in the platform's list when the
// endpoint has its weights already, and returns false when ctx ends.
func (s *Stager) settle(ctx context.Context, model string, want target) bool {
	report, err := s.report(ctx)
	if err != nil || report.Version(model) < want.version {
		return ctx.Err() == nil
	}
	return wait.For(ctx, time.Until(want.seenAt.Add(settleTime)))
}

// mostOf is the part of a version that makes it worth being fetched whole
// although a newer one is named.
const mostOf = 0.4

// abandon ends the fetching of a version once a newer one is wanted and little
// of the older is there.
func (s *Stager) abandon(ctx context.Context, cancel func(), model string, version int64) {
	for wait.For(ctx, lookEvery) {
		if s.target(model).version == version {
			continue
		}
		set := s.holdings.version(model, version)
		if set == nil || float64(set.Len()) < mostOf*float64(len(set.Manifest().Chunks)) {
			cancel()
			return
		}
	}
}

// completed notes that a version can be loaded.
func (s *Stager) completed(model string, t target) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.complete[model].version < t.version {
		s.complete[model] = t
	}
}

// loadable returns the newest version of model that is there whole.
func (s *Stager) loadable(model string) (target, *weights.Set) {
	s.mu.Lock()
	t := s.complete[model]
	s.mu.Unlock()
	return t, s.holdings.version(model, t.version)
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
	if report.Version(model) != 0 && time.Now().Before(s.turn(model, want)) {
		return false
	}
	if err := s.place(ctx, model, set); err != nil {
		s.failed(ctx, "weights not placed", model, want.version, err)
		return false
	}
	if err := s.load(ctx, model, want, set); err != nil {
		s.failed(ctx, "weights not loaded", model, want.version, err)
	}
	return false
}

func (s *Stager) failed(ctx context.Context, what, model string, version int64, err error) {
	if ctx.Err() != nil {
		return
	}
	s.cfg.Log.Warn(what, "model", model, "version", version, "err", err)
	wait.For(ctx, retryPause)
}

func (s *Stager) report(ctx context.Context) (*Report, error) {
	ctx, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	return s.cfg.Endpoint.Report(ctx)
}

// fetch fills the set of a version.
func (s *Stager) fetch(ctx context.Context, model string, version int64) error {
	set := s.holdings.version(model, version)
	if set == nil {
		m, err := s.manifest(ctx, model, version)
		if err != nil {
			return err
		}
		set = s.holdings.add(model, version, m)
		s.takePlaced(ctx, model, set)
	}
	if set.Complete() {
		return nil
	}
	return s.download(ctx, model, version, set)
}

// takePlaced takes what lies at the endpoint already and belongs to the set.
func (s *Stager) takePlaced(ctx context.Context, model string, set *weights.Set) {
	for i := range set.Manifest().Chunks {
		data, err := s.placed(ctx, model, i)
		if err != nil || data == nil {
			return
		}
		if _, err := set.Put(i, data); err != nil && i == 0 {
			return
		}
	}
}

func (s *Stager) placed(ctx context.Context, model string, i int) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	return s.cfg.Endpoint.Placed(ctx, model, i)
}

// download fills set from other VMs and the origin.
func (s *Stager) download(ctx context.Context, model string, version int64, set *weights.Set) error {
	members, err := s.cfg.Fleet.Members(ctx)
	if err != nil {
		members = []swarm.Member{s.cfg.Self}
	}
	source := &versionReader{origin: s.cfg.Origin, model: model, version: version, size: set.Manifest().ChunkSize}
	d := swarm.NewDownload(s.cfg.Self, members, set, s.cfg.Peers, source,
		swarm.WithOriginBudget(s.cfg.Origin.Rate(), float64(len(members)+1)),
		swarm.WithLateness(originLateness),
		swarm.WithParallel(parallelChunks, 1),
		swarm.WithLinkRate(s.cfg.LinkRate),
		swarm.WithMinTimeout(chunkLimit))
	s.holdings.setDownload(set.Root(), d)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go s.refresh(ctx, d)
	go s.doubt(ctx, cancel, d)
	began := time.Now()
	if err := d.Run(ctx); err != nil {
		if d.Stats().CorruptOrigin > 0 {
			s.holdings.remove(model, version)
		}
		return err
	}
	stats := d.Stats()
	s.cfg.Log.Info("weights fetched", "model", model, "version", version, "ms", time.Since(began).Milliseconds(),
		"peerBytes", stats.PeerBytes, "originBytes", stats.OriginBytes, "stalled", stats.Stalled,
		"corruptPeer", stats.CorruptPeer, "corruptOrigin", stats.CorruptOrigin, "takeovers", stats.Takeovers)
	return nil
}

// doubtAfter is how long a download may make no progress while chunks of the
// origin don't match the manifest before the manifest is read anew.
const doubtAfter = 3 * time.Second

// doubt ends a download whose manifest seems to be wrong.
func (s *Stager) doubt(ctx context.Context, cancel func(), d *swarm.Download) {
	have, since := -1, time.Now()
	for wait.For(ctx, lookEvery) {
		stats := d.Stats()
		if stats.Have != have {
			have, since = stats.Have, time.Now()
		}
		if stats.CorruptOrigin > 0 && time.Since(since) > doubtAfter {
			s.cfg.Log.Warn("manifest in doubt", "have", stats.Have, "corruptOrigin", stats.CorruptOrigin)
			cancel()
			return
		}
	}
}

// refresh keeps a download's members up to date.
func (s *Stager) refresh(ctx context.Context, d *swarm.Download) {
	for wait.For(ctx, fleetEvery) {
		if members, err := s.cfg.Fleet.Members(ctx); err == nil {
			d.SetMembers(members)
		}
	}
}

// place puts all chunks of set at the endpoint and checks what lies there.
func (s *Stager) place(ctx context.Context, model string, set *weights.Set) error {
	for i := range set.Manifest().Chunks {
		if err := s.placeChunk(ctx, model, set, i); err != nil {
			return err
		}
	}
	return nil
}

// placeChunk puts chunk i at the endpoint unless it lies there already.
func (s *Stager) placeChunk(ctx context.Context, model string, set *weights.Set, i int) error {
	lies, err := s.placed(ctx, model, i)
	if err != nil {
		return err
	}
	if lies != nil && set.Manifest().Hash.Sum(lies) == set.Manifest().Chunks[i] {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	return s.cfg.Endpoint.Place(ctx, model, i, set.Get(i))
}

// errSpoilt tells that a chunk at the endpoint is not what was put there.
var errSpoilt = errors.New("stage: a chunk at the endpoint is spoilt")

// verify reads all chunks at the endpoint back and mends those that are spoilt.
func (s *Stager) verify(ctx context.Context, model string, set *weights.Set) error {
	spoilt := 0
	for i, want := range set.Manifest().Chunks {
		lies, err := s.placed(ctx, model, i)
		if err != nil {
			return err
		}
		if lies != nil && set.Manifest().Hash.Sum(lies) == want {
			continue
		}
		spoilt++
		if err := s.placeChunk(ctx, model, set, i); err != nil {
			return err
		}
	}
	if spoilt > 0 {
		s.cfg.Log.Warn("spoilt chunks mended", "model", model, "chunks", spoilt)
		return errSpoilt
	}
	return nil
}

// load checks what lies at the endpoint and orders it to load that.
func (s *Stager) load(ctx context.Context, model string, want target, set *weights.Set) error {
	if err := s.verify(ctx, model, set); err != nil {
		return err
	}
	report, err := s.report(ctx)
	if err != nil || report.Busy || report.Version(model) >= want.version {
		return err
	}
	if report.Version(model) != 0 {
		s.cfg.Fleet.Pause(ctx, loadPause)
		s.awaitQuiet(ctx)
		if err := s.verify(ctx, model, set); err != nil {
			return err
		}
	}
	if err := s.order(ctx, Order{Model: model, Version: want.version, Sequence: report.Sequence}); err != nil {
		return err
	}
	s.cfg.Log.Info("load ordered", "model", model, "version", want.version, "sequence", report.Sequence,
		"running", report.Running, "sinceNamedMs", time.Since(want.seenAt).Milliseconds())
	s.awaitLoaded(ctx, model, want.version)
	return nil
}

func (s *Stager) order(ctx context.Context, o Order) error {
	ctx, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	return s.cfg.Endpoint.Load(ctx, o)
}

// Timing of a load.
const (
	// loadPause is for how long entries are asked to leave the endpoint alone.
	loadPause = 900 * time.Millisecond
	// quietTime is how long the entries' last requests may be under way, and
	// quietLimit how long they may take to begin.
	quietTime  = 40 * time.Millisecond
	quietLimit = 400 * time.Millisecond
	quietEvery = 20 * time.Millisecond
	// loadedEvery is how often the endpoint is asked whether it has loaded.
	loadedEvery = 50 * time.Millisecond
	loadLimit   = 3 * time.Second
)

// awaitQuiet waits until no request waits at the endpoint that entries sent
// before they heard of the pause: it would begin on the old weights, and late
// if this VM stood still now.
func (s *Stager) awaitQuiet(ctx context.Context) {
	wait.For(ctx, quietTime)
	for began := time.Now(); time.Since(began) < quietLimit; {
		report, err := s.report(ctx)
		if err == nil && report.Queued == 0 {
			return
		}
		if !wait.For(ctx, quietEvery) {
			return
		}
	}
}

// awaitLoaded waits until the endpoint runs a version, and tells the entries.
func (s *Stager) awaitLoaded(ctx context.Context, model string, version int64) {
	began := time.Now()
	for time.Since(began) < loadLimit && wait.For(ctx, loadedEvery) {
		report, err := s.report(ctx)
		if err != nil || report.Version(model) < version {
			continue
		}
		s.cfg.Fleet.Loaded(ctx, model, version)
		s.cfg.Log.Info("weights loaded", "model", model, "version", version, "ms", time.Since(began).Milliseconds())
		return
	}
}

// versionReader reads chunks of one version from the origin.
type versionReader struct {
	origin  Origin
	model   string
	version int64
	size    int64
}

// ReadChunk implements swarm.Origin.
func (r *versionReader) ReadChunk(ctx context.Context, off, _ int64) ([]byte, error) {
	return r.origin.Chunk(ctx, r.model, r.version, int(off/r.size))
}
