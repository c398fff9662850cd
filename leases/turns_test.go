package leases_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/silverdeck/silverdeck/leases"
)

// waiters returns n endpoints that wait, half of them with fewer requests than that of change, and ask
// again after the given time.
func waiters(n int, asksIn time.Duration) []leases.Waiter {
	var out []leases.Waiter
	for i := range n {
		out = append(out, leases.Waiter{VM: fmt.Sprintf("w%d", i), Running: change.Running - 1 + i%2*2, AsksIn: asksIn})
	}
	return out
}

// Guards against a grantor that receives more requests than it handles, and against endpoints of a
// large fleet that all ask so rarely that no even pace comes about.
func TestEndpointsOfALargeFleetAskInTurn(t *testing.T) {
	// crowded keeps all leases from being granted.
	crowded := func(size int) (*leases.Fleet, map[string]bool) {
		f, held := withVersion(newEndpoints(size, 14)), map[string]bool{}
		for i := range size / 2 {
			held[f.Endpoints[size-1-i].VM] = true
		}
		return f, held
	}
	const remaining = 4500 * time.Millisecond
	for name, c := range map[string]struct {
		size    int
		waiting []leases.Waiter
		newerIn time.Duration
		want    time.Duration
		turn    bool
	}{
		"the smallest large fleet":   {size: 100, want: 100 * time.Millisecond, turn: true},
		"a small fleet":              {size: 99, waiting: waiters(40, time.Second), want: 250 * time.Millisecond},
		"a large fleet":              {size: 400, waiting: waiters(199, 2*time.Second), want: 2 * time.Second, turn: true},
		"its turn has come":          {size: 400, want: 100 * time.Millisecond, turn: true},
		"many ask within a second":   {size: 400, waiting: waiters(299, time.Second), want: 3 * time.Second, turn: true},
		"a newer version is awaited": {size: 400, waiting: waiters(199, 2*time.Second), newerIn: 2 * time.Second, want: 3 * time.Second, turn: true},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			f, held := crowded(c.size)
			q := change
			q.VM, q.Remaining, q.NewerIn = f.Endpoints[0].VM, remaining, c.newerIn
			d := leases.Decide(q, f, held, c.waiting)
			g.Expect(d.Given).To(BeFalse())
			g.Expect(d.Turn).To(Equal(c.turn))
			g.Expect(d.RetryAfter).To(BeNumerically("~", c.want, 30*time.Millisecond))
		})
	}
}

// Guards against free turns that no endpoint takes since those that precede all others ask later.
func TestEndpointsOfALargeFleetDoNotWaitForThoseThatAskLater(t *testing.T) {
	g := NewWithT(t)
	f := withVersion(newEndpoints(400, 14))
	q := change
	q.VM = f.Endpoints[0].VM
	g.Expect(leases.Decide(q, f, nil, waiters(300, 100*time.Millisecond)).Given).To(BeFalse())
	g.Expect(leases.Decide(q, f, nil, waiters(300, 101*time.Millisecond)).Given).To(BeTrue())
}
