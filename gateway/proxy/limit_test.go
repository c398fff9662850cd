package proxy_test

import (
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
