package stage

import (
	"context"
	"errors"
	"time"

	"github.com/silverdeck/silverdeck/wait"
	"github.com/silverdeck/silverdeck/weights"
)

// Times of a load.
const (
	// loadPause is for how long gateways are asked to send the endpoint nothing. A notice
	// at its end takes the pause back.
	loadPause = 900 * time.Millisecond
	// noticeTime is how long the gateways' last requests may be under way after the notice:
	// one way between regions.
	noticeTime = 40 * time.Millisecond
	// queueLimit is how long requests that wait at the endpoint may take to begin.
	queueLimit = 400 * time.Millisecond
	// queueEvery is how often the endpoint is asked for its queue meanwhile.
	queueEvery = 20 * time.Millisecond
	// orderLimit bounds a call with an order: it stays on the VM, and one that is lost may
	// have been taken, as the next report tells.
	orderLimit = 300 * time.Millisecond
	// loadedEvery is how often the endpoint is asked whether it has loaded.
	loadedEvery = 50 * time.Millisecond
	// loadTime is how long an endpoint with a lease takes at the most from the end of its
	// drain until it runs the new weights, with the placing of chunks before.
	loadTime = 2 * time.Second
	// loadLimit is how long a load may take before the endpoint's state is looked at anew.
	loadLimit = 3 * time.Second
)

// placed returns chunk i as it is at the endpoint, or nil.
func (s *Stager) placed(ctx context.Context, model string, i int) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	return s.cfg.Endpoint.Placed(ctx, model, i)
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
	good, err := s.isPlaced(ctx, model, set, i)
	if err != nil || good {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	return s.cfg.Endpoint.Place(ctx, model, i, set.Get(i))
}

// errCorrupt tells that chunks at the endpoint had to be placed again, so that all
// must be checked once more.
var errCorrupt = errors.New("stage: a chunk at the endpoint was corrupt")

// isPlaced returns whether chunk i is at the endpoint as it should be.
func (s *Stager) isPlaced(ctx context.Context, model string, set *weights.Set, i int) (bool, error) {
	data, err := s.placed(ctx, model, i)
	if err != nil || data == nil {
		return false, err
	}
	return set.Manifest().Hash.Sum(data) == set.Manifest().Chunks[i], nil
}

// verify reads all chunks at the endpoint back and places those again that are
// corrupt or missing.
func (s *Stager) verify(ctx context.Context, model string, set *weights.Set) error {
	corrupt := 0
	for i := range set.Manifest().Chunks {
		good, err := s.isPlaced(ctx, model, set, i)
		if err != nil {
			return err
		}
		if good {
			continue
		}
		corrupt++
		if err := s.placeChunk(ctx, model, set, i); err != nil {
			return err
		}
	}
	if corrupt > 0 {
		s.cfg.Log.Warn("corrupt chunks placed again", "model", model, "chunks", corrupt)
		return errCorrupt
	}
	return nil
}

// load checks what was placed at the endpoint and orders it to load that. leased says that
// the others carry its requests meanwhile, so that it drains for as long as it takes.
func (s *Stager) load(ctx context.Context, model string, want target, set *weights.Set, leased bool) error {
	s.noteLoading(model, want.version)
	defer s.noteLoading(model, 0)
	if err := s.verify(ctx, model, set); err != nil {
		return err
	}
	report, err := s.report(ctx)
	if err != nil || report.Busy || report.Version(model) >= want.version {
		return err
	}
	var drain time.Duration
	if held := report.Version(model); held != 0 {
		running := report.Running
		if leased {
			running = 0
		}
		drain = s.drainTime(model, held, running)
		if err := s.drainAndVerify(ctx, drain, model, set); err != nil {
			return err
		}
	}
	if s.outdated(model, want.version) {
		return nil // what came before took too long
	}
	if err := s.order(ctx, Order{Model: model, Version: want.version, Sequence: report.Sequence}); err != nil {
		return err
	}
	s.cfg.Log.Info("load ordered", "model", model, "version", want.version, "sequence", report.Sequence,
		"running", report.Running, "drainMs", drain.Milliseconds(), "leased", leased, "leasesRefused", s.leasesRefused, "sinceNamedMs", time.Since(want.seenAt).Milliseconds())
	s.leasesRefused = 0
	s.noteLoad(model, want.version, s.awaitLoaded(ctx, model, want.version, &Report{Born: report.Born, Sequence: report.Sequence + 1}))
	return nil
}

// endedLoads are the loads of a version in a row under which the endpoint ended.
type endedLoads struct {
	version int64
	ended   int
	// until is until when the endpoint is left alone.
	until time.Time
}

// noteLoad notes whether the endpoint ended under a load.
func (s *Stager) noteLoad(model string, version int64, ended bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !ended {
		delete(s.ended, model)
		return
	}
	e := s.ended[model]
	if e.version != version {
		e = endedLoads{version: version}
	}
	e.ended++
	pause := LoadPause(e.ended)
	e.until = time.Now().Add(pause)
	s.ended[model] = e
	s.cfg.Log.Warn("endpoint ended under a load", "model", model, "version", version, "times", e.ended, "pauseMs", pause.Milliseconds())
}

// leftAlone returns whether the endpoint is left alone for now, since it ended under loads of a
// version.
func (s *Stager) leftAlone(model string, version int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.ended[model]
	return e.version == version && time.Now().Before(e.until)
}

// noteLoading notes that a version of model is about to be loaded; 0 stands for none.
func (s *Stager) noteLoading(model string, version int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loading[model] = version
}

// order gives the endpoint an order to load.
func (s *Stager) order(ctx context.Context, o Order) error {
	s.ordering <- struct{}{}
	defer func() { <-s.ordering }()
	ctx, cancel := context.WithTimeout(ctx, orderLimit)
	defer cancel()
	return s.cfg.Endpoint.Load(ctx, o)
}

// drainTime returns for how long the endpoint, which runs version held, drains.
func (s *Stager) drainTime(model string, held int64, running int) time.Duration {
	end, ends := s.named.Deadline(model, held)
	if !ends {
		return 0
	}
	return DrainTime(s.cfg.Fleet.Capacity(), running, time.Until(end))
}

// drainAndVerify drains the endpoint for limit at the most and checks what was placed
// there once more: chunks may have turned corrupt meanwhile.
func (s *Stager) drainAndVerify(ctx context.Context, limit time.Duration, model string, set *weights.Set) error {
	s.drain(ctx, limit)
	return s.verify(ctx, model, set)
}

// drain asks gateways to send the endpoint nothing and waits until it is empty, for limit
// at the most, and for queueLimit until no request waits there that gateways sent before
// they heard of the pause: it would begin on the old weights, and late if this VM stood
// still now.
func (s *Stager) drain(ctx context.Context, limit time.Duration) {
	s.cfg.Fleet.Pause(ctx, limit+loadPause)
	wait.For(ctx, noticeTime)
	began := time.Now()
	for {
		report, err := s.report(ctx)
		waited := time.Since(began)
		queued := err != nil || report.Queued > 0
		running := err != nil || report.Running > 0
		waits := (queued && waited < queueLimit) || (running && waited < limit)
		if !waits || !wait.For(ctx, queueEvery) {
			return
		}
	}
}

// awaitLoaded waits until the endpoint runs a version, and tells the gateways. ordered is
// what it tells once it has taken the order: one that has started again since forgot it. It
// returns whether the endpoint did, or is away.
func (s *Stager) awaitLoaded(ctx context.Context, model string, version int64, ordered *Report) (restarted bool) {
	began := time.Now()
	away := false
	for time.Since(began) < loadLimit && wait.For(ctx, loadedEvery) {
		report, err := s.report(ctx)
		away = err != nil
		if away {
			continue
		}
		if report.Restarted(ordered) {
			return true
		}
		if report.Version(model) < version {
			continue
		}
		s.cfg.Fleet.Loaded(ctx, model, version)
		s.cfg.Log.Info("weights loaded", "model", model, "version", version, "ms", time.Since(began).Milliseconds())
		return false
	}
	return away && ctx.Err() == nil
}
