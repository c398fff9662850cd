package exchange_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/silverdeck/silverdeck/exchange"
)

// Guards against a region that waits for a chunk behind copies within the region that has it.
func TestAFirstCopyGoesBeforeOthersAndIsNotTurnedAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := exchange.NewSlots(1, 2)
		var order []string
		request := func(name string, first bool) {
			go func() {
				if s.Acquire(t.Context(), first) {
					time.Sleep(time.Second)
					order = append(order, name)
					s.Release()
				}
			}()
			synctest.Wait()
		}
		request("running", false)
		request("second", false)
		request("third", false)
		request("refused", false)
		request("first copy", true)
		time.Sleep(10 * time.Second)
		synctest.Wait()
		g.Expect(order).To(Equal([]string{"running", "first copy", "second", "third"}))
	})
}

func TestACanceledRequestHoldsNoSlot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := exchange.NewSlots(1, 1)
		g.Expect(s.Acquire(t.Context(), false)).To(BeTrue())
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		g.Expect(s.Acquire(ctx, true)).To(BeFalse())
		s.Release()
		g.Expect(s.Acquire(t.Context(), false)).To(BeTrue())
		g.Expect(s.Acquire(ctx, false)).To(BeFalse())
	})
}
