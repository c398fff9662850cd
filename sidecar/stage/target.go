package stage

import (
	"time"

	"github.com/silverdeck/silverdeck/weights"
)

// target is a version of a model that the endpoint should run.
type target struct {
	version int64
	// firstSeen is when the version became known here. atStartup is set if it had been named
	// before this process started.
	firstSeen time.Time
	atStartup bool
	// completedAt is when all its chunks were present; zero before that.
	completedAt time.Time
}

// SetTarget sets the version of model that the endpoint should run, and returns whether it is
// newer than the current target; versions that are not newer are ignored. atStartup is set if the
// version had been named before this process started.
func (s *Stager) SetTarget(model string, version int64, atStartup bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.targets[model].version >= version {
		return false
	}
	if old, known := s.targets[model]; known {
		s.superseded[model] = append(s.superseded[model], old)
	}
	now := time.Now()
	s.targets[model] = target{version: version, firstSeen: now, atStartup: atStartup}
	if atStartup {
		s.history.AddExisting(model, version, now)
	} else {
		s.history.Add(model, version, now)
	}
	select {
	case s.wake <- struct{}{}:
	default:
	}
	return true
}

// RecordNaming records when a version of model was named, as reported by others.
func (s *Stager) RecordNaming(model string, version int64, at time.Time) {
	s.history.Add(model, version, at)
}

// RecordSuspension records that the VM was suspended for d.
func (s *Stager) RecordSuspension(d time.Duration) {
	s.cfg.Log.Warn("suspended", "forMs", d.Milliseconds())
	s.history.AdjustForSuspension(d)
}

// target returns the newest version that the endpoint should run.
func (s *Stager) target(model string) target {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.targets[model]
}

// supersededTarget returns the newest target that precedes version, and whether it is newer
// than the newest complete version.
func (s *Stager) supersededTarget(model string, version int64) (target, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	former := s.superseded[model]
	for i := len(former) - 1; i >= 0; i-- {
		if former[i].version < version {
			return former[i], former[i].version > s.complete[model].version
		}
	}
	return target{}, false
}

// models returns the models that have a target.
func (s *Stager) models() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []string
	for m := range s.targets {
		out = append(out, m)
	}
	return out
}

// markComplete records that all chunks of a version are present, so that it can be loaded.
func (s *Stager) markComplete(model string, t target) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.complete[model].version < t.version {
		t.completedAt = time.Now()
		s.complete[model] = t
	}
}

// loadable returns the newest complete version of model and its chunk set.
func (s *Stager) loadable(model string) (target, *weights.Set) {
	s.mu.Lock()
	t := s.complete[model]
	s.mu.Unlock()
	return t, s.holdings.lookup(model, t.version)
}
