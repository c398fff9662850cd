package session_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/silverdeck/silverdeck/verdict"
)

// brokenHeads are answers whose head HTTP does not allow.
var brokenHeads = map[string]string{
	"status 000":               "HTTP/1.1 000 X\r\nContent-Length: 4\r\n\r\nfour",
	"status 101":               "HTTP/1.1 101 X\r\nContent-Length: 4\r\n\r\nfour",
	"status 600":               "HTTP/1.1 600 X\r\nContent-Length: 4\r\n\r\nfour",
	"name with a blank":        "HTTP/1.1 200 OK\r\nX A: b\r\nContent-Length: 4\r\n\r\nfour",
	"name with a control byte": "HTTP/1.1 200 OK\r\nX\x01A: b\r\nContent-Length: 4\r\n\r\nfour",
	"length with a blank":      "HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\nfour",
	"refusal":                  "HTTP/1.1 503 X\r\nX A: b\r\nContent-Length: 4\r\n\r\nfour",
	"trailer":                  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfour\r\n0\r\nX A: b\r\n\r\n",
}

// TestAnAnswerThatHTTPDoesNotAllowReachesNoCaller guards against broken answers of engines that count, and are passed on.
func TestAnAnswerThatHTTPDoesNotAllowReachesNoCaller(t *testing.T) {
	for name, text := range brokenHeads {
		t.Run(name, func(t *testing.T) {
			started(t, 1, 1, func(w *world) {
				w.plain["quotes-0"].SendRaw(func(string) string { return text })
				a := w.send(0, "/services/quotes/alert/1", `{"alert":1}`, "Silverdeck-Repeat", "never")
				w.g.Expect(a.err).NotTo(HaveOccurred())
				w.g.Expect(a.status).To(BeNumerically(">=", 500))
				w.g.Expect(a.header.Get(verdict.Header)).To(Equal("may-have-run"))
				w.g.Expect(a.body).NotTo(ContainSubstring("four"))
			})
		})
	}
}
