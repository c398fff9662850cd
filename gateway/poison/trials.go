package poison

import (
	"encoding/binary"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// maxTrialTime limits a lease, so that one whose gateway has crashed does not block others for
// long. It is longer than callers wait for a response.
const maxTrialTime = 10 * time.Second

// maxTrials is the maximum number of leases that a gateway keeps, the same as that of suspects
// in a table.
const maxTrials = maxSuspects

// Owner returns which of the named gateways keeps the lease on a request. It uses rendezvous
// hashing, so that few requests change their owner when a gateway joins or leaves.
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

// Trials are the leases on suspected requests. Of all copies in the fleet, one at a time is sent
// to an endpoint, so that crashes at several gateways are known to all before the next copy is
// sent. Trials is safe for concurrent use.
type Trials struct {
	mu     sync.Mutex
	trials map[Key]trial
}

// trial is one lease.
type trial struct {
	holder string
	until  time.Time
}

// NewTrials returns a Trials without leases.
func NewTrials() *Trials {
	return &Trials{trials: map[Key]trial{}}
}

// Begin grants a holder the lease on a request for at most d. It returns false while the lease
// is held.
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
		return true // two copies at a time are better than none
	}
	t.trials[k] = trial{holder: holder, until: now.Add(min(d, maxTrialTime))}
	return true
}

// End releases the lease of a holder.
func (t *Trials) End(k Key, holder string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.trials[k].holder == holder {
		delete(t.trials, k)
	}
}

// expire removes expired leases. The caller holds the lock.
func (t *Trials) expire(now time.Time) {
	for k, held := range t.trials {
		if !now.Before(held.until) {
			delete(t.trials, k)
		}
	}
}
