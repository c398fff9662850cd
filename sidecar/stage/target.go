package stage

import (
	"time"

	"github.com/silverdeck/silverdeck/weights"
)

// target is the version of a model that the endpoint should run.
type target struct {
	version int64
	// seenAt is when the version was first heard of; first says that it stood
	// there when this process began.
	seenAt time.Time
	first  bool
	// wholeAt is when all of it was there; zero before.
	wholeAt time.Time
}

// Want takes in that version of model should run. first says that it stood
// there when this process began. Older versions than the newest are ignored.
func (s *Stager) Want(model string, version int64, first bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.targets[model].version >= version {
		return false
	}
	if old, known := s.targets[model]; known {
		s.former[model] = append(s.former[model], old)
	}
	now := time.Now()
	s.targets[model] = target{version: version, seenAt: now, first: first}
	if first {
		s.named.AddExisting(model, version, now)
	} else {
		s.named.Add(model, version, now)
	}
	select {
	case s.wake <- struct{}{}:
	default:
	}
	return true
}

// Named takes in when a version of model was named, as others know it.
func (s *Stager) Named(model string, version int64, at time.Time) {
	s.named.Add(model, version, at)
}

// Suspended takes in that the VM was suspended for d.
func (s *Stager) Suspended(d time.Duration) {
	s.cfg.Log.Warn("suspended", "forMs", d.Milliseconds())
	s.named.AdjustForSuspension(d)
}

// target returns the newest version that the endpoint should run.
func (s *Stager) target(model string) target {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.targets[model]
}

// formerTarget returns the newest target before version that is not there whole,
// and whether there is one that is newer than what is.
func (s *Stager) formerTarget(model string, version int64) (target, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	former := s.former[model]
	for i := len(former) - 1; i >= 0; i-- {
		if former[i].version < version {
			return former[i], former[i].version > s.complete[model].version
		}
	}
	return target{}, false
}

// models returns the models that the endpoint should run.
func (s *Stager) models() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []string
	for m := range s.targets {
		out = append(out, m)
	}
	return out
}

// completed notes that a version can be loaded.
func (s *Stager) completed(model string, t target) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.complete[model].version < t.version {
		t.wholeAt = time.Now()
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
