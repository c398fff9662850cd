package proxy_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/silverdeck/silverdeck/verdict"
)

// after returns a handler that writes s before it responds with h.
func after(s string, h handler) handler {
	return func(c net.Conn, r *http.Request) bool {
		if _, err := io.WriteString(c, s); err != nil {
			return false
		}
		return h(c, r)
	}
}

// onReusedConn returns a handler that responds with h and writes s before that on a connection that has
// had a request.
func onReusedConn(s string, h handler) handler {
	return func(c net.Conn, r *http.Request) bool {
		if r.Context().Value(reusedConn{}) != nil {
			return after(s, h)(c, r)
		}
		return h(c, r)
	}
}

// surplusTo returns a second copy of the refusal of the request with the given ID.
func surplusTo(id string) string {
	return strings.Replace(surplus(503, "Not-Run: 1\r\n"), "r0", id, 1)
}

// surplus returns a second copy of the answer to another request.
func surplus(status int, header string) string {
	return fmt.Sprintf("HTTP/1.1 %d X\r\nId: r0\r\n%sContent-Length: 4\r\n\r\nbusy", status, header)
}

// An endpoint's second answer to a request that it refused was taken for a refusal of the next one, which ran twice.
func TestARefusalOfAnotherRequestIsNotTakenForTheAnswer(t *testing.T) {
	for name, foreign := range map[string]string{
		"refused":           surplus(503, "Not-Run: 1\r\n"),
		"refused for rest":  surplus(503, "Not-Run: 1\r\nRest: 5s\r\n"),
		"rate limited":      surplus(429, "Not-Run: 1\r\nLimit: 0\r\n"),
		"misdirected":       surplus(421, "Not-Run: 1\r\n"),
		"misdirected alone": surplus(421, ""),
		"bad request":       surplus(400, "Not-Run: 1\r\n"),
	} {
		t.Run(name, func(t *testing.T) {
			runHarness(t, func(w *harness) {
				w.send("POST", "/unsafe/", "x", "Id", "r0")
				a := w.send("POST", "/unsafe/", "x", "Id", "r1")
				w.g.Expect(a.Code).NotTo(BeElementOf(408, 421, 429, 503), "a promise that it did not run")
				w.g.Expect(w.endpoints["e0"].count()).To(Equal(2))
				w.g.Expect(w.endpoints["e1"].count()).To(BeZero())
				w.send("POST", "/unsafe/", "x", "Id", "r2")
				w.g.Expect(w.endpoints["e0"].count()).To(Equal(3), "the endpoint said nothing about itself")
				w.g.Expect(w.dials.Load()).To(Equal(int64(2)), "the answer that is due may stand on the first connection")
			}, []handler{respond(200, "done"), after(foreign, respond(200, "done"))}, always(respond(200, "other")))
		})
	}
}

// Requests whose answer stood behind a second answer to an earlier one failed with 502.
func TestAnAnswerBehindAnotherRequestsIsDelivered(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\nId: r0\r\nStamp: st\r\n"
	for name, foreign := range map[string]string{
		"success":           surplus(200, "Stamp: st\r\n"),
		"refusal":           surplus(503, "Not-Run: 1\r\n"),
		"without an ID":     "HTTP/1.1 200 OK\r\nStamp: st\r\nContent-Length: 2\r\n\r\nok",
		"no content":        "HTTP/1.1 204 No Content\r\nId: r0\r\n\r\n",
		"stream":            head + "Transfer-Encoding: chunked\r\n\r\n7\r\nid: 1\n\n\r\n0\r\n\r\n",
		"behind an interim": "HTTP/1.1 100 Continue\r\n\r\n" + surplus(200, "Stamp: st\r\n"),
		"two":               surplus(200, "Stamp: st\r\n") + surplus(503, "Not-Run: 1\r\n"),
	} {
		t.Run(name, func(t *testing.T) {
			runHarness(t, func(w *harness) {
				w.send("POST", "/unsafe/", "x", "Id", "r0")
				a := w.send("POST", "/unsafe/", "x", "Id", "r1")
				w.g.Expect(a.Code).To(Equal(200))
				w.g.Expect(a.Body.String()).To(Equal("due"))
				w.send("POST", "/unsafe/", "x", "Id", "r2")
				w.g.Expect(w.dials.Load()).To(Equal(int64(2)), "more may follow on the first connection")
				w.g.Expect(w.endpoints["e1"].count()).To(BeZero())
			}, []handler{respond(200, "done"), after(foreign, respond(200, "due"))}, always(respond(200, "other")))
		})
	}
}

// A response that belongs to another request and whose end can't be found must not be read past.
func TestAForeignAnswerWithoutAKnownEndFailsTheAttempt(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\nId: r0\r\nStamp: st\r\n"
	for name, foreign := range map[string]string{
		"without a length":  head + "\r\n",
		"and then closes":   head + "Connection: close\r\nContent-Length: 2\r\n\r\nok",
		"long":              fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, 1<<20, strings.Repeat("x", 1<<20)),
		"that does not end": head + "Content-Length: 9\r\n\r\nok",
		"many":              strings.Repeat(surplus(200, "Stamp: st\r\n"), 9),
	} {
		t.Run(name, func(t *testing.T) {
			runHarness(t, func(w *harness) {
				w.send("POST", "/unsafe/", "x", "Id", "r0")
				a := w.send("POST", "/unsafe/", "x", "Id", "r1")
				w.g.Expect(a.Code).To(Equal(502))
				w.g.Expect(a.Header().Get(verdict.Header)).To(Equal("may-have-run"))
				w.g.Expect(a.elapsed).To(BeNumerically("<=", 100*time.Millisecond))
				w.g.Expect(w.endpoints["e1"].count()).To(BeZero())
			}, []handler{respond(200, "done"), after(foreign, hang)}, always(respond(200, "other")))
		})
	}
	t.Run("to a HEAD request", func(t *testing.T) {
		runHarness(t, func(w *harness) {
			w.send("HEAD", "/unsafe/", "", "Id", "r0")
			a := w.send("POST", "/unsafe/", "x", "Id", "r1")
			w.g.Expect(a.Code).To(Equal(502))
		}, []handler{respond(200, ""), after(head+"Content-Length: 400\r\n\r\n", respond(200, "due"))})
	})
}

// A second answer to a stream's own earlier attempt carries the same ID and was taken for the answer to the next one.
func TestASecondRefusalOfAStreamIsNotTakenForTheAnswerToItsRest(t *testing.T) {
	refuse := respond(503, "", "Not-Run: 1")
	runHarness(t, func(w *harness) {
		a := w.send("POST", "/stream/", "x")
		w.g.Expect(a.aborted).To(BeFalse())
		w.g.Expect(a.Body.String()).To(Equal(stream(1, 2, 3)))
		w.g.Expect(w.endpoints["e1"].count()).To(Equal(2))
	}, []handler{events(0, raw(""), 1), refuse}, []handler{refuse, onReusedConn(surplusTo("r1"), events(0, end, 2, 3))})
}

// A retry on a connection that its own refusal came on would take a second copy of that for its answer.
func TestARetryThatMayRunOnceOpensAConnection(t *testing.T) {
	runHarness(t, func(w *harness) {
		w.endpoints["e1"].script = always(respond(200, "done"))
		w.balancer.SetPreferred(map[string]bool{"e1": true})
		w.send("POST", "/unsafe/", "x", "Id", "r0")
		w.balancer.SetPreferred(map[string]bool{"e0": true})
		w.send("POST", "/unsafe/", "x", "Id", "r1")
		w.g.Expect(w.dials.Load()).To(Equal(int64(3)))
	}, always(respond(503, "", "Not-Run: 1")), always(respond(200, "done")))
}

// Without an ID of the request, nothing but the connection shows whose answer it is.
func TestARequestWithoutAnIDIsNotAnsweredWithAnothers(t *testing.T) {
	runHarness(t, func(w *harness) {
		w.send("POST", "/unsafe/", "x", "Id", "r0")
		a := w.send("POST", "/unsafe/", "x", "Id", "")
		w.g.Expect(a.Code).To(Equal(200))
		w.g.Expect(a.Body.String()).To(Equal("due"))
	}, []handler{respond(200, "done"), onReusedConn("HTTP/1.1 200 OK\r\nStamp: st\r\nContent-Length: 4\r\n\r\nbusy", respond(200, "due"))})
}

// A hedge of a request without an ID was sent on a used connection, where its own answer counted as another's.
func TestAHedgeWithoutAnIDOpensAConnection(t *testing.T) {
	runHarness(t, func(w *harness) {
		w.balancer.SetPreferred(map[string]bool{"e1": true})
		w.send("GET", "/safe/", "", "Id", "r0")
		w.balancer.SetPreferred(map[string]bool{"e0": true})
		a := w.send("GET", "/safe/", "", "Id", "")
		w.g.Expect(a.Code).To(Equal(200))
		w.g.Expect(a.Body.String()).To(Equal("done"))
		w.g.Expect(w.dials.Load()).To(Equal(int64(3)))
	}, always(hang), always(respond(200, "done")))
}
