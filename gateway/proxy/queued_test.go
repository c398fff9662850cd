package proxy_test

import (
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/silverdeck/silverdeck/gateway/admission"
)

// useShortage makes the gateway admit requests of service s within a room that is short. Slots came
// free at the given endpoints, in that order.
func (w *harness) useShortage(vacated ...string) {
	w.gate = admission.New(admission.Config{
		Supply: func(string, time.Time) admission.Supply { return admission.Supply{Room: 10, Running: 9, Own: 9} },
		News:   func(string, time.Time) admission.News { return admission.News{} },
		Random: func() float64 { return 0 },
	})
	w.proxy = w.newTestProxy()
	w.useEngine()
	first, err := w.gate.TryAcquire(&admission.Request{Service: "s", SlotTime: time.Hour, Target: time.Second}, time.Now())
	w.g.Expect(err).NotTo(HaveOccurred())
	first.Release("", time.Now())
	var grants []*admission.Grant
	for range vacated {
		grant, err := w.gate.TryAcquire(&admission.Request{Service: "s", Target: time.Second}, time.Now())
		w.g.Expect(err).NotTo(HaveOccurred())
		grants = append(grants, grant)
	}
	for i, id := range vacated {
		grants[i].Release(id, time.Now())
	}
}

// Guards against streams that wait in the queue of an endpoint until they are late while slots of
// others are free: gateways that learn late of each other's requests choose the same slot.
func TestAStreamThatIsQueuedInAShortageIsAlsoSentToAFreeSlot(t *testing.T) {
	queued, prompt := delayed(time.Second, events(0, end, 1)), events(10*time.Millisecond, end, 1)
	for _, x := range []struct {
		name    string
		short   bool
		slow    []string
		vacated []string
		second  string
		after   time.Duration
	}{
		{"at another endpoint", true, nil, []string{"e0"}, "e1", 112500 * time.Microsecond},
		{"at one that was just vacated", true, nil, []string{"e2", "e0"}, "e2", 112500 * time.Microsecond},
		{"not at slow ones, where it would be late as well", true, []string{"e1", "e2"}, []string{"e0"}, "", 0},
		{"not without a shortage", false, nil, nil, "", 0},
	} {
		t.Run(x.name, func(t *testing.T) {
			runHarness(t, func(w *harness) {
				w.useEngine()
				if x.short {
					w.useShortage(x.vacated...)
				}
				for _, id := range x.slow {
					w.announcePace(id, 4)
				}
				sentAt := time.Now()
				a := w.send(http.MethodPost, "/stream/", "x", "Tokens", "1000,800", "Hint", "30")
				w.g.Expect(a.Body.String()).To(Equal(stream(1)))
				w.g.Expect(w.endpoints["e0"].count()).To(Equal(1))
				if x.second == "" {
					w.g.Expect(a.elapsed).To(BeNumerically(">", 600*time.Millisecond), "two gap targets")
					return
				}
				w.g.Expect(w.endpoints[x.second].count()).To(Equal(1))
				w.g.Expect(w.endpoints[x.second].arrived[0].Sub(sentAt)).To(Equal(x.after))
				w.g.Expect(a.elapsed).To(BeNumerically("<", 200*time.Millisecond))
				w.g.Expect(w.balancer.InFlight()).To(BeEmpty())
				w.g.Expect(w.gate.Status()[0].Admitted).To(BeZero())
			}, always(queued), always(prompt), always(prompt))
		})
	}
}
