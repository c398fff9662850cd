package stage_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/silverdeck/silverdeck/sidecar/stage"
)

// What users saw: now and then an answer came from weights that had been replaced more
// than the limit before.
//
// Order of events: a newer version is named; its chunks reach a VM late, behind a
// narrow link. Gateways stop sending to the old weights shortly before the limit. A
// request that was sent just before that is up to 1.7 s on the link to the VM, arrives
// past the limit, and the endpoint, which still has the old weights, begins it.
//
// Cause: only senders knew of the limit, and a sender can't know how long its request
// will be on the way, nor take it back. Nothing at the endpoint ended the use of the old
// weights. Evidence: the two requests that could be followed were sent at the last
// moment that gateways allow, were 0.75 and 0.9 s on the way and began 0.06 and 0.25 s
// past the limit.
func TestNothingBeginsOnWeightsPastTheirLimitHoweverLateItArrives(t *testing.T) {
	play(t, 1, func(g *WithT, m *machine, s *stage.Stager) {
		m.set(func() { m.lost = 2 })
		s.Want("m", 2, false)
		time.Sleep(limit - time.Second)
		g.Expect(m.begins()).To(Equal(int64(1)), "the old weights are used while they may be")
		time.Sleep(time.Second)
		for range 100 {
			g.Expect(m.begins()).NotTo(Equal(int64(1)), "past the limit")
			time.Sleep(100 * time.Millisecond)
		}
		m.set(func() { m.lost = 0 })
		time.Sleep(2 * time.Second)
		g.Expect(m.begins()).To(Equal(int64(2)), "the new weights are loaded once they are there")
	})
}
