package stage_test

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/silverdeck/silverdeck/sidecar/stage"
)

// lateVM is a fakeVM that records when it got its last chunk, and whose gateways may be silent.
type lateVM struct {
	*fakeVM
	gotLast time.Time
	// silent makes lease requests fail after a while.
	silent bool
}

func (m *lateVM) Chunk(ctx context.Context, model string, version int64, i int) ([]byte, error) {
	data, err := m.fakeVM.Chunk(ctx, model, version, i)
	m.set(func() { m.gotLast = time.Now() })
	return data, err
}

func (m *lateVM) RequestLoadLease(ctx context.Context, q stage.LeaseRequest) stage.Lease {
	if m.silent {
		time.Sleep(300 * time.Millisecond)
		return stage.Lease{RetryAfter: 500 * time.Millisecond}
	}
	return m.fakeVM.RequestLoadLease(ctx, q)
}

// Guards against an endpoint without usable weights that waits for a lease, an interval or gateways
// that do not answer, although its new weights are complete.
func TestAnEndpointLoadsAtOnceOnceItsWeightsExpired(t *testing.T) {
	for name, c := range map[string]struct {
		// completeAt is when the new version is complete, after it was named.
		completeAt time.Duration
		silent     bool
		// within is how long after that it is loaded.
		within time.Duration
	}{
		"a moment after the limit": {completeAt: limit + 30*time.Millisecond},
		"later":                    {completeAt: limit + time.Second},
		"a moment after the limit, silent gateways":   {completeAt: limit + 30*time.Millisecond, silent: true},
		"later, silent gateways":                      {completeAt: limit + time.Second, silent: true},
		"a moment before the limit, after the notice": {completeAt: limit - 60*time.Millisecond, within: 40 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			runVirtual(t, func(b *testEnv) {
				m := &lateVM{fakeVM: newFakeVM(1), silent: c.silent}
				m.running, m.capacity = 16, fullCapacity
				m.delay = c.completeAt / (chunks / 2)
				s := b.start(stage.Config{Endpoint: m, Origin: m, Fleet: m, Peers: noPeers{}})
				s.SetTarget("m", 2, false)
				time.Sleep(c.completeAt + 2*time.Second)
				orders := m.snapshot().orders
				b.Expect(orders).To(HaveLen(1))
				b.Expect(orders[0].at.Sub(m.gotLast)).To(BeNumerically("<=", c.within))
			})
		})
	}
}
