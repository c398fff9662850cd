package stage

import (
	"context"
	"errors"

	"github.com/silverdeck/silverdeck/weights"
)

// readPlaced returns chunk i from the endpoint's staging area, or nil if it is missing.
func (s *Stager) readPlaced(ctx context.Context, model string, i int) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return s.cfg.Endpoint.Placed(ctx, model, i)
}

// placeAll stages all chunks of set at the endpoint. Valid chunks that are staged already
// are skipped.
func (s *Stager) placeAll(ctx context.Context, model string, set *weights.Set) error {
	for i := range set.Manifest().Chunks {
		if err := s.placeChunk(ctx, model, set, i); err != nil {
			return err
		}
	}
	return nil
}

// stagedVersion is a version that is staged at the endpoint since the endpoint's start.
type stagedVersion struct {
	version     int64
	startMillis int64
}

// stageAhead stages a complete version as soon as it may be loaded, even if the endpoint has to wait
// for a lease. The staging area outlives this process: without it, VMs that all lose their memory would
// read the version from the origin again, and an endpoint that restarts would wait for the chunks.
func (s *Stager) stageAhead(ctx context.Context, model string, report *Report, want target, set *weights.Set) error {
	now := stagedVersion{version: want.version, startMillis: report.StartMillis}
	if s.staged[model] == now {
		return nil
	}
	if err := s.placeAll(ctx, model, set); err != nil {
		return err
	}
	s.staged[model] = now
	return nil
}

// placeChunk stages chunk i unless the endpoint has a valid copy.
func (s *Stager) placeChunk(ctx context.Context, model string, set *weights.Set, i int) error {
	good, err := s.isPlaced(ctx, model, set, i)
	if err != nil || good {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return s.cfg.Endpoint.Place(ctx, model, i, set.Get(i))
}

// errCorrupt reports that staged chunks had to be replaced. All chunks must then be
// verified again.
var errCorrupt = errors.New("stage: corrupt chunk at the endpoint replaced")

// isPlaced returns whether the endpoint has a valid copy of chunk i.
func (s *Stager) isPlaced(ctx context.Context, model string, set *weights.Set, i int) (bool, error) {
	data, err := s.readPlaced(ctx, model, i)
	if err != nil || data == nil {
		return false, err
	}
	return set.Manifest().Hash.Sum(data) == set.Manifest().Chunks[i], nil
}

// verify reads back all staged chunks and replaces those that are corrupt or missing.
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
