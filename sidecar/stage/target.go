package stage

import (
	"slices"
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
	s.wakeUp()
	s.wakeFetchLoop()
	return true
}

// wakeUp lets Run take its next step at once.
func (s *Stager) wakeUp() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
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

// wantedVersions returns the versions of model to fetch, in ascending order: the newest one
// unless it is complete, and of those before it that are newer than the newest complete one and
// can still be used, the one of which most chunks are present.
func (s *Stager) wantedVersions(model string) []target {
	s.mu.Lock()
	newest, complete := s.targets[model], s.complete[model].version
	former := slices.Clone(s.superseded[model])
	s.mu.Unlock()
	if newest.version <= complete {
		return nil
	}
	best, most := -1, 0
	for i, t := range former {
		if t.version <= complete || s.holdings.lookup(model, t.version) == nil || s.expiresTooSoon(model, t.version) {
			continue
		}
		if n := s.chunkCount(model, t.version); best < 0 || n >= most {
			best, most = i, n
		}
	}
	if best < 0 {
		return []target{newest}
	}
	return []target{former[best], newest}
}

// usableBefore returns the version that endpoints can run until version is complete: the newest
// complete one. A VM that has just started assumes that it is the preceding one.
func (s *Stager) usableBefore(model string, version int64) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if complete := s.complete[model].version; complete > 0 {
		return complete
	}
	return version - 1
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
		s.wakeUp()
	}
}

// loadable returns the newest complete version of model and its chunk set.
func (s *Stager) loadable(model string) (target, *weights.Set) {
	s.mu.Lock()
	t := s.complete[model]
	s.mu.Unlock()
	return t, s.holdings.lookup(model, t.version)
}
