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

// invalidNames are signed answers to request r1 with a header whose name is not a token.
var invalidNames = map[string]handler{
	"a blank inside":                write(signedStart + "X A: b\r\n" + signedLength),
	"a blank before the colon":      write(signedStart + "X-A : b\r\n" + signedLength),
	"a blank at the beginning":      write("HTTP/1.1 200 X\r\n X-A: b\r\nId: r1\r\nStamp: st\r\n" + signedLength),
	"a tab":                         write(signedStart + "X\tA: b\r\n" + signedLength),
	"a tab before the colon":        write(signedStart + "X-A\t: b\r\n" + signedLength),
	"a control byte":                write(signedStart + "X\x01A: b\r\n" + signedLength),
	"a zero byte":                   write(signedStart + "X\x00A: b\r\n" + signedLength),
	"a deleting byte":               write(signedStart + "X\x7fA: b\r\n" + signedLength),
	"a carriage return":             write(signedStart + "X\rA: b\r\n" + signedLength),
	"a byte over 126":               write(signedStart + "X\xe4A: b\r\n" + signedLength),
	"no name":                       write(signedStart + ": b\r\n" + signedLength),
	"a separator":                   write(signedStart + "X(A): b\r\n" + signedLength),
	"a length with a blank":         write(signedStart + "Content-Length : 3\r\n\r\ndone"),
	"two lengths, one with a blank": write(signedStart + "Content-Length : 3\r\n" + signedLength),
	"an encoding with a blank":      write(signedStart + "Transfer-Encoding : chunked\r\n\r\n4\r\ndone\r\n0\r\n\r\n"),
	"a type with a blank":           write(signedStart + "Content-Type : text/event-stream\r\n" + signedLength),
	"an ID with a blank":            write("HTTP/1.1 200 X\r\nId : r1\r\nStamp: st\r\n" + signedLength),
	"a blank, of another request":   write("HTTP/1.1 200 X\r\nId: r0\r\nX A: b\r\nContent-Length: 0\r\n\r\n" + due(200, "Stamp: st\r\n")),
	"a blank in an interim answer":  write("HTTP/1.1 103 X\r\nX A: b\r\n\r\n" + due(200, "Stamp: st\r\n")),
}

// signedStart and signedLength are the parts of a signed answer to request r1 around other headers.
const (
	signedStart  = "HTTP/1.1 200 X\r\nId: r1\r\nStamp: st\r\n"
	signedLength = "Content-Length: 4\r\n\r\ndone"
)

// TestAnAnswerWithAnInvalidNameReachesNoCaller guards against answers without one of their headers, or with another body.
func TestAnAnswerWithAnInvalidNameReachesNoCaller(t *testing.T) {
	for name, answer := range invalidNames {
		t.Run(name, func(t *testing.T) { expectNoAnswer(t, answer) })
	}
}

// invalidRefusals are refusals of request r1 that HTTP does not allow.
var invalidRefusals = map[string]string{
	"a name with a blank":        refusalStart + "X A: b\r\nContent-Length: 0\r\n\r\n",
	"a length with a blank":      refusalStart + "Content-Length : 0\r\n\r\n",
	"the promise with a blank":   "HTTP/1.1 503 X\r\nId: r1\r\nNot-Run: 1\r\nNot-Run : 1\r\nContent-Length: 0\r\n\r\n",
	"a blank in the trailer":     refusalStart + "Transfer-Encoding: chunked\r\n\r\n0\r\nX A: b\r\n\r\n",
	"a blank in what follows it": refusalStart + "Content-Length: 0\r\n\r\nHTTP/1.1 200 X\r\nId: r0\r\nX A: b\r\nContent-Length: 0\r\n\r\n",
	"a blank before it":          "HTTP/1.1 103 X\r\nX A: b\r\n\r\n" + refusalStart + "Content-Length: 0\r\n\r\n",
}

// refusalStart is the part of a refusal of request r1 before other headers.
const refusalStart = "HTTP/1.1 503 X\r\nId: r1\r\nNot-Run: 1\r\n"

// TestARefusalWithAnInvalidNameIsNoPromise guards against requests that ran and are told not to have run.
func TestARefusalWithAnInvalidNameIsNoPromise(t *testing.T) {
	for name, refusal := range invalidRefusals {
		for _, path := range []string{"/unsafe/", "/once/", "/public/"} {
			t.Run(name+path, func(t *testing.T) {
				runHarness(t, func(w *harness) {
					a := w.send("POST", path, "x")
					w.g.Expect(a.Code).To(Equal(502))
					w.g.Expect(a.Header().Get(verdict.Header)).To(Equal("may-have-run"))
					w.g.Expect(w.endpoints["e1"].count()).To(BeZero())
				}, always(write(refusal)), always(respond(200, "other")))
			})
		}
	}
}

// invalidTrailers are the ends of answers in chunks whose trailer has a name that is not a token.
var invalidTrailers = map[string]string{
	"a blank":        "0\r\nX A: b\r\n\r\n",
	"a control byte": "0\r\nX\x01A: b\r\n\r\n",
	"no name":        "0\r\n: b\r\n\r\n",
}

// TestATrailerWithAnInvalidNameEndsNoAnswer guards against answers that count as whole although their end is not one.
func TestATrailerWithAnInvalidNameEndsNoAnswer(t *testing.T) {
	for name, trailer := range invalidTrailers {
		t.Run(name, func(t *testing.T) {
			runHarness(t, func(w *harness) { w.expectGarbled() }, always(write(chunkedHead+trailer)), always(respond(200, "other")))
			runHarness(t, func(w *harness) {
				w.g.Expect(w.send("POST", "/once/", "x").aborted).To(BeTrue())
				a := w.send("POST", "/stream/", "x")
				w.g.Expect(a.Body.String()).To(Equal(stream(1, 2)))
				w.g.Expect(a.aborted).To(BeFalse())
			}, always(write(chunkedHead+trailer)), always(events(time.Millisecond, end, 2)))
		})
	}
}

// TestATrailerIsPartOfASoundAnswer guards against answers that are lost because of a trailer, announced or not.
func TestATrailerIsPartOfASoundAnswer(t *testing.T) {
	for name, parts := range map[string][2]string{
		"announced":           {"Trailer: Sum\r\n", "Sum: 1\r\n"},
		"announced, not sent": {"Trailer: Sum\r\n", ""},
		"announced oddly":     {"Trailer: a b\r\n", ""},
		"not announced":       {"", "Sum: 1\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			runHarness(t, func(w *harness) {
				a := w.send("POST", "/unsafe/", "x")
				w.g.Expect(a.Code).To(Equal(200))
				w.g.Expect(a.Body.String()).To(Equal("done"))
			}, always(write("HTTP/1.1 200 X\r\nId: r1\r\nStamp: st\r\nTransfer-Encoding: chunked\r\n"+parts[0]+"\r\n4\r\ndone\r\n0\r\n"+parts[1]+"\r\n")))
		})
	}
}

// TestAnEncodingOfAnOldProtocolReachesNoCaller guards against bodies that have the frames of their chunks.
func TestAnEncodingOfAnOldProtocolReachesNoCaller(t *testing.T) {
	for name, encoding := range map[string]string{
		"chunked": "Transfer-Encoding: chunked", "identity": "transfer-encoding:identity", "folded": "Transfer-Encoding:\r\n chunked",
	} {
		t.Run(name, func(t *testing.T) {
			expectNoAnswer(t, raw("HTTP/1.0 200 X\r\nId: r1\r\nStamp: st\r\n"+encoding+"\r\n\r\n4\r\ndone\r\n0\r\n\r\n"))
		})
	}
}

// TestAnOldProtocolIsNoFault guards against sound answers that are lost because of their version.
func TestAnOldProtocolIsNoFault(t *testing.T) {
	runHarness(t, func(w *harness) {
		a := w.send("POST", "/unsafe/", "x")
		w.g.Expect(a.Code).To(Equal(200))
		w.g.Expect(a.Body.String()).To(Equal("done"))
	}, always(raw("HTTP/1.0 200 X\r\nId: r1\r\nStamp: st\r\nNote: Transfer-Encoding: chunked\r\n"+"Content-Length: 4\r\n\r\ndone")))
}
