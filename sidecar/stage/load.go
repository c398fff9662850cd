package stage

import (
	"context"
	"errors"
	"time"

	"github.com/silverdeck/silverdeck/wait"
	"github.com/silverdeck/silverdeck/weights"
)

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
