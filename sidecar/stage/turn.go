package stage

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// When endpoints change to new weights.
const (
	// earliestTurn is when the first endpoint may change, from the naming on.
	earliestTurn = 0.36
	// latestTurn is when the last should have begun to change, as a part of the limit.
	latestTurn = 0.85
)

// turn returns when this endpoint may change to want: spread by hash over a
// part of the time limit.
func (s *Stager) turn(model string, want target) time.Time {
	draw := float64(xxhash.Sum64String(model+"\x00"+s.cfg.Self.VM)) / (1 << 64)
	part := earliestTurn + draw*(latestTurn-earliestTurn)
	return want.seenAt.Add(time.Duration(part * float64(s.cfg.Limit)))
}
