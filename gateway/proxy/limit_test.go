package proxy_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// An operator can see what endpoints name in answers, also in those that are not passed on.
func TestLimitsThatEndpointsNameAreTold(t *testing.T) {
	play(t, func(w *world) {
		for range 4 {
			w.ask("POST", "/safe/x", "")
			time.Sleep(time.Second)
		}
		lines := w.lines.with("endpoint limit")
		w.g.Expect(lines).To(HaveLen(2))
		w.g.Expect(lines[0]).To(And(HaveKeyWithValue("change", "named"), HaveKeyWithValue("perSecond", 2.0), HaveKeyWithValue("endpoint", "e0")))
		w.g.Expect(lines[1]).To(HaveKeyWithValue("change", "ended"))
		w.g.Expect(w.metrics.Limits.Count()).To(BeEquivalentTo(2))
		w.g.Expect(w.lines.with("unreadable headers")).To(HaveLen(1))
		w.g.Expect(w.metrics.Unreadable.Count()).To(BeEquivalentTo(1))
	}, []step{
		text(503, "", "Not-Run: 1", "Limit: 2"),
		text(200, "ok", "Limit: few"),
		text(200, "ok", "Limit: 2"),
		text(200, "ok"),
	}, []step{text(200, "ok")})
}

// What another endpoint says at the address, or in an answer to another request, says nothing
// of the endpoint.
func TestLimitsOfOthersAreNotTakenIn(t *testing.T) {
	play(t, func(w *world) {
		w.ask("POST", "/safe/x", "")
		w.ask("POST", "/safe/x", "")
		w.g.Expect(w.lines.with("endpoint limit")).To(BeEmpty())
	}, []step{
		raw("HTTP/1.1 200 OK\r\nId: other\r\nStamp: st\r\nLimit: 2\r\nContent-Length: 2\r\n\r\nok"),
		text(421, "", "Limit: 2"),
	}, []step{text(200, "ok")})
}

// limitWindow is the span in which what reaches an endpoint is compared with its limit.
const limitWindow = 4 * time.Second

// allowed returns how many requests a limit allows in limitWindow.
func allowed(perSecond float64) int {
	return int(1.5*perSecond*limitWindow.Seconds()) + 5
}

// Gateways send an endpoint, all together, what it says that it takes a second.
func TestEndpointsGetMoreThanTheLimitThatTheyNamed(t *testing.T) {
	for _, n := range []int{1, 2, 6, 34} {
		for _, limit := range []float64{0, 0.5, 1, 5} {
			t.Run(fmt.Sprintf("%d gateways, %g a second", n, limit), func(t *testing.T) {
				limited := text(200, "ok", fmt.Sprintf("Limit: %g", limit))
				playFleet(t, n, func(f *fleet) {
					began := time.Now()
					f.ask("/safe/x", 40*time.Millisecond, 15*time.Second)
					told := began.Add(time.Second)
					f.g.Expect(f.endpoints["e0"].most(limitWindow, told)).To(BeNumerically("<=", allowed(limit)))
					f.g.Expect(f.endpoints["e0"].since(told)).To(BeNumerically(">=", int(limit*14/2)), "it gets requests")
				}, []step{after(10*time.Millisecond, limited)}, []step{after(10*time.Millisecond, text(200, "ok"))})
			})
		}
	}
}
