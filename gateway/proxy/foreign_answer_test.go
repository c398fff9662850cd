package proxy_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	. "github.com/onsi/gomega"
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
