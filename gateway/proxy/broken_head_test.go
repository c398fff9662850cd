package proxy_test

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/silverdeck/silverdeck/verdict"
)

// invalidStatuses are signed answers to request r1 whose status HTTP does not define.
var invalidStatuses = map[string]handler{
	"000":                     write("HTTP/1.1 000 X\r\n" + signedRest),
	"001":                     write("HTTP/1.1 001 X\r\n" + signedRest),
	"099":                     write("HTTP/1.1 099 X\r\n" + signedRest),
	"600":                     write("HTTP/1.1 600 X\r\n" + signedRest),
	"999":                     write("HTTP/1.1 999 X\r\n" + signedRest),
	"a sign":                  write("HTTP/1.1 +20 X\r\n" + signedRest),
	"minus zero":              write("HTTP/1.1 -00 X\r\n" + signedRest),
	"a switch of protocols":   write("HTTP/1.1 101 X\r\n" + signedRest),
	"000 without a length":    raw("HTTP/1.1 000 X\r\nId: r1\r\nStamp: st\r\n\r\ndone"),
	"000 in chunks":           write("HTTP/1.1 000 X\r\n" + chunkedRest),
	"000 as interim answer":   write("HTTP/1.1 000 X\r\n\r\n" + due(200, "Stamp: st\r\n")),
	"001 behind interim ones": write("HTTP/1.1 100 X\r\n\r\nHTTP/1.1 001 X\r\n\r\n" + due(200, "Stamp: st\r\n")),
	"000 of another request":  write("HTTP/1.1 000 X\r\nId: r0\r\nContent-Length: 0\r\n\r\n" + due(200, "Stamp: st\r\n")),
}

// signedRest and chunkedRest follow the status line of a signed answer to request r1.
const (
	signedRest  = "Id: r1\r\nStamp: st\r\nContent-Length: 4\r\n\r\ndone"
	chunkedRest = "Id: r1\r\nStamp: st\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\n\r\n"
)

// expectNoAnswer checks that callers on each kind of route get nothing of the answers of endpoint e0.
func expectNoAnswer(t *testing.T, answer handler) {
	runHarness(t, func(w *harness) { w.expectGarbled() }, always(answer), always(respond(200, "other")))
	runHarness(t, func(w *harness) {
		a := w.send("POST", "/stream/", "x")
		w.g.Expect(a.Body.String()).To(Equal(stream(1, 2)))
		w.g.Expect(a.elapsed).To(BeNumerically("<=", 2*time.Millisecond))
		b := w.send("POST", "/once/", "x")
		w.g.Expect(b.Code).To(Equal(502))
		w.g.Expect(b.Header().Get(verdict.Header)).To(Equal("may-have-run"))
		w.g.Expect(b.elapsed).To(BeZero())
	}, always(answer), always(events(time.Millisecond, end, 1, 2)))
}

// TestAnAnswerWithAnInvalidStatusReachesNoCaller guards against answers with status 000 and requests that wait behind them.
func TestAnAnswerWithAnInvalidStatusReachesNoCaller(t *testing.T) {
	for name, answer := range invalidStatuses {
		t.Run(name, func(t *testing.T) { expectNoAnswer(t, answer) })
	}
}

// TestAnInvalidStatusBehindARefusalIsNoOtherAnswer guards against refusals that are believed because of unreadable bytes.
func TestAnInvalidStatusBehindARefusalIsNoOtherAnswer(t *testing.T) {
	const refusal = "HTTP/1.1 503 X\r\nId: r1\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
	runHarness(t, func(w *harness) {
		w.g.Expect(w.send("POST", "/unsafe/", "x").Header().Get(verdict.Header)).To(Equal("may-have-run"))
	}, always(write(refusal+"HTTP/1.1 000 X\r\nId: r0\r\nContent-Length: 0\r\n\r\n")))
}

// TestAnInterimAnswerIsNoAnswer guards against sound answers that are lost because of informational ones.
func TestAnInterimAnswerIsNoAnswer(t *testing.T) {
	for _, status := range []string{"100", "102", "103", "199"} {
		t.Run(status, func(t *testing.T) {
			runHarness(t, func(w *harness) {
				a := w.send("POST", "/unsafe/", "x")
				w.g.Expect(a.Code).To(Equal(200))
				w.g.Expect(a.Body.String()).To(Equal("done"))
			}, always(func(c net.Conn, r *http.Request) bool {
				_, err := io.WriteString(c, "HTTP/1.1 "+status+" X\r\nLink: </a>\r\n\r\n")
				return err == nil && respond(200, "done")(c, r)
			}))
		})
	}
}
