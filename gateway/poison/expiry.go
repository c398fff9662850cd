package poison

import (
	"cmp"
	"time"
)

// evict removes a suspect if the table is full. The caller holds the lock.
func (t *Table) evict() {
	if len(t.suspects) < maxSuspects {
		return
	}
	var oldest *suspect
	for _, q := range t.suspects {
		if oldest == nil || q.evictedBefore(oldest) {
			oldest = q
		}
	}
	t.remove(oldest)
}

// evictedBefore returns whether q is evicted before o.
func (q *suspect) evictedBefore(o *suspect) bool {
	order := cmp.Or(cmp.Compare(q.State(), o.State()), cmp.Compare(len(q.Crashes), len(o.Crashes)), q.changedAt.Compare(o.changedAt))
	return order < 0
}

func (t *Table) remove(q *suspect) {
	delete(t.suspects, q.Key)
	if q.Key.Kind == KindRequest {
		if t.shapes[q.Key.Shape]--; t.shapes[q.Key.Shape] == 0 {
			delete(t.shapes, q.Key.Shape)
		}
	}
	t.size.Add(-1)
}

// dropExplained removes crashes that are attributed to other suspects. The caller holds the
// lock.
func (t *Table) dropExplained(now time.Time) {
	for _, q := range t.suspects {
		if q.State() != Quarantined || now.Sub(q.changedAt) < settleTime {
			continue
		}
		for _, other := range t.suspects {
			if q.Explains(&other.Record) && now.Sub(other.changedAt) >= settleTime {
				t.update(other.withoutCrashesOf(&q.Record), true, CauseExplained, now)
			}
		}
	}
}

// expire ends expired quarantines and removes suspects that have not changed for a long time.
// The caller holds the lock.
func (t *Table) expire(now time.Time) {
	t.dropExplained(now)
	for _, q := range t.suspects {
		age := now.Sub(q.changedAt)
		switch {
		case q.State() == Quarantined && age >= QuarantineTime(q.Relapses):
			t.update(q.expired(), true, CauseExpired, now)
		case q.State() == Quarantined:
		case age >= suspicionTime && q.Relapses == 0, age >= QuarantineTime(maxDoublings):
			t.remove(q)
		}
	}
}
