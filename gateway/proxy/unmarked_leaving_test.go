package proxy_test

import (
	"io"
	"net"
	"net/http"
	"testing"

	. "github.com/onsi/gomega"
)

// A stream without a mark of its end that the crash of a leaving endpoint cut was passed on as whole.
func TestAnAnswerWithoutAMarkThatTheCrashOfALeavingEndpointCut(t *testing.T) {
	for name, c := range map[string]struct {
		path, body string
		status     int
		// want is the body of a complete response; the response is aborted or failed if it is empty.
		want string
	}{
		"a stream":                            {"/once/", stream(1, 2), 200, ""},
		"a stream that may be resumed":        {"/stream/", stream(1, 2), 200, stream(1, 2, 3)},
		"a plain answer":                      {"/unsafe/", "hel", 502, ""},
		"a plain answer that may be repeated": {"/safe/", "hel", 200, stream(1, 2, 3)},
	} {
		t.Run(name, func(t *testing.T) {
			runHarness(t, func(w *harness) {
				w.endpoints["e0"].script = always(func(conn net.Conn, r *http.Request) bool {
					_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: r1\r\nStamp: st\r\nLeaving: 1\r\n\r\n"+c.body)
					return w.crash("e0")(conn, r)
				})
				got := w.send("POST", c.path, "")
				w.g.Expect(got.Code).To(Equal(c.status))
				if c.want != "" {
					w.g.Expect(got.aborted).To(BeFalse())
					w.g.Expect(got.Body.String()).To(Equal(c.want))
				} else if c.status == http.StatusOK {
					w.g.Expect(got.aborted).To(BeTrue())
				}
				w.g.Expect(w.logs.withMessage("endpoint ended")).To(BeEmpty(), "it may have ended as planned")
			}, always(hang), always(unmarkedEvents))
		})
	}
}
