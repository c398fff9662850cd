package stage

import "time"

// setResumed records that the download of an older version of model was resumed, or with 0 that it
// has ended.
func (s *Stager) setResumed(model string, version int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.resumed[model] = version
}

// mayReadOrigin returns whether chunks of a version may be read from the origin now, whose link has
// the given rate in bytes per second. It applies the rule ReadOlderFirst while the download of an
// older version was resumed beside that of the newest one.
func (s *Stager) mayReadOrigin(model string, version int64, rate float64) bool {
	s.mu.Lock()
	older, newest := s.resumed[model], s.targets[model].version
	s.mu.Unlock()
	olderSet, newestSet := s.holdings.lookup(model, older), s.holdings.lookup(model, newest)
	end, ends := s.history.Deadline(model, older)
	if older == 0 || olderSet == nil || newestSet == nil || newestSet.Complete() || !ends || rate <= 0 {
		return true
	}
	m := newestSet.Manifest()
	olderFirst := ReadOlderFirst(TwoVersions{
		OlderMissing:  len(olderSet.Manifest().Chunks) - olderSet.Len(),
		NewestMissing: len(m.Chunks) - newestSet.Len(),
		ChunkTime:     time.Duration(float64(m.ChunkSize) / rate * float64(time.Second)),
		Left:          time.Until(end) - minLoadMargin,
	})
	switch version {
	case older:
		return olderFirst
	case newest:
		return !olderFirst
	}
	return true
}
