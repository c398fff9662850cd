package poison

import (
	"encoding/binary"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// maxTrial bounds a trial, so that one whose gateway has died holds nobody up for long:
// longer than callers wait for an answer.
const maxTrial = 10 * time.Second

// maxTrials bounds the trials that a gateway keeps for others. As many as requests are
// remembered.
const maxTrials = maxRequests

// Owner returns which of the gateways with these names keeps the trials of a request: the one
// with the highest hash of both, so that a gateway that comes or goes changes few.
func Owner(k Key, names []string) string {
	best, most := "", uint64(0)
	for _, name := range names {
		h := xxhash.Sum64(append(binary.BigEndian.AppendUint64(k.Digest[:len(k.Digest):len(k.Digest)], uint64(k.Shape)), name...))
		if best == "" || h > most || h == most && name < best {
			best, most = name, h
		}
	}
	return best
}

// Trials are leases on suspected requests: of all copies in the fleet one at a time is sent
// to an endpoint, so that what several know of it together is not three endpoints late. It
// is safe for concurrent use.
type Trials struct {
	mu     sync.Mutex
	trials map[Key]trial
}

// trial is one lease.
type trial struct {
	holder string
	until  time.Time
}

// NewTrials returns Trials without any.
func NewTrials() *Trials {
	return &Trials{trials: map[Key]trial{}}
}

// Begin gives a lease for at most d to a holder and returns true, or returns false while
// another has it.
func (t *Trials) Begin(k Key, holder string, d time.Duration, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if held, found := t.trials[k]; found && now.Before(held.until) {
		return false
	}
	if len(t.trials) >= maxTrials {
		t.expire(now)
	}
	if len(t.trials) >= maxTrials {
		return true // better two copies at a time than none
	}
	t.trials[k] = trial{holder: holder, until: now.Add(min(d, maxTrial))}
	return true
}

// End ends the lease of a holder.
func (t *Trials) End(k Key, holder string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.trials[k].holder == holder {
		delete(t.trials, k)
	}
}

// expire forgets leases that have run out. The caller holds the lock.
func (t *Trials) expire(now time.Time) {
	for k, held := range t.trials {
		if !now.Before(held.until) {
			delete(t.trials, k)
		}
	}
}
