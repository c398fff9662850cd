package proxy_test

import (
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// crlf returns s with CR LF at the end of each line.
func crlf(s string) string {
	return strings.ReplaceAll(s, "\n", "\r\n")
}

// TestAStreamThatEndsInsideAnEventIsNotPassedOnAsWhole guards against a cut stream that looks complete to its caller.
func TestAStreamThatEndsInsideAnEventIsNotPassedOnAsWhole(t *testing.T) {
	for _, tc := range []struct {
		name, path, protocol string
		first, second, later handler
		// body is what the caller receives in the end, or "*" if the response must be reset.
		body string
		err  error
	}{
		{name: "inside a line", path: "/once/", first: unframed(200, eventsType, stream(1)+"id: 2\nda"), body: "*", err: syscall.ECONNRESET},
		{name: "between lines", path: "/once/", first: unframed(200, eventsType, stream(1)+"id: 2\ndata: a\n"), body: "*", err: syscall.ECONNRESET},
		{name: "inside an event of several lines", path: "/once/",
			first: unframed(200, eventsType, stream(1)+"id: 2\ndata: a\ndata: b"), body: "*", err: syscall.ECONNRESET},
		{name: "inside a blank line of CR LF", path: "/once/",
			first: unframed(200, eventsType, crlf(stream(1)+"id: 2\ndata: x\n")+"\r"), body: "*", err: syscall.ECONNRESET},
		{name: "inside a comment", path: "/once/", first: unframed(200, eventsType, stream(1)+": sti"), body: "*", err: syscall.ECONNRESET},
		{name: "with a length that promises no more", path: "/once/", first: respond(200, stream(1)+"id: 2\nda"), body: "*", err: io.ErrUnexpectedEOF},
		{name: "with a last chunk", path: "/once/", first: events(0, func(c net.Conn, r *http.Request) bool {
			return chunks(c, "id: 2\nda") && end(c, r)
		}, 1), body: "*", err: io.ErrUnexpectedEOF},
		{name: "to a caller of HTTP/1.0", path: "/once/", protocol: "HTTP/1.0",
			first: unframed(200, eventsType, stream(1)+"id: 2\nda"), body: "*", err: syscall.ECONNRESET},
		{name: "and is resumed", path: "/stream/", first: unframed(200, eventsType, stream(1)+"id: 2\nda"), second: events(0, end, 2), body: stream(1, 2)},
		{name: "after it was resumed", path: "/stream/", first: events(0, cut, 1), second: unframed(200, eventsType, stream(2)+"id: 3\nda"),
			later: events(0, end, 3), body: stream(1, 2, 3)},
		{name: "after it was resumed, and can't be again", path: "/stream/", first: events(0, cut, 1), second: unframed(200, eventsType, stream(2)+"id: 3\nda"),
			later: respond(500, "fail"), body: "*", err: io.ErrUnexpectedEOF},
		{name: "on a route for plain responses", path: "/unsafe/", first: unframed(200, eventsType, stream(1)+"id: 2\nda"), body: "502"},
		{name: "on a route for plain responses that may be repeated", path: "/safe/",
			first: unframed(200, eventsType, stream(1)+"id: 2\nda"), second: respond(200, stream(1, 2)), body: stream(1, 2)},
		{name: "on a route for plain responses, and is too long to be kept", path: "/unsafe/",
			first: unframed(200, eventsType, strings.Repeat(stream(1), 1<<20)+"id: 2\nda"), body: "*", err: syscall.ECONNRESET},
	} {
		t.Run(tc.name, func(t *testing.T) {
			if tc.protocol == "" {
				tc.protocol = "HTTP/1.1"
			}
			got := startSocketGateway(t, scriptsOf(tc.later, tc.first, tc.second)...).send(tc.path, tc.protocol)
			g := NewWithT(t)
			switch {
			case tc.body == "502":
				g.Expect(got.status).To(Equal(502))
				return
			case tc.err == nil:
				g.Expect(got.err).NotTo(HaveOccurred())
				g.Expect(got.body).To(Equal(tc.body))
			default:
				g.Expect(got.err).To(MatchError(tc.err))
			}
			g.Expect(got.status).To(Equal(200))
		})
	}
}

// TestAStreamOfCRLFLinesIsForwardedAsItArrives guards against events that are not recognized and are held back.
func TestAStreamOfCRLFLinesIsForwardedAsItArrives(t *testing.T) {
	runHarness(t, func(w *harness) {
		got := w.send("POST", "/stream/", "")
		w.g.Expect(got.aborted).To(BeFalse())
		w.g.Expect(got.Body.String()).To(Equal(crlf(stream(1, 2, 3))))
		first := w.metrics.FirstEvent.Snapshot().Max()
		w.g.Expect(time.Duration(first) * time.Microsecond).To(BeNumerically("<", 100*time.Millisecond))
	}, []handler{func(c net.Conn, r *http.Request) bool {
		if !events(0, func(net.Conn, *http.Request) bool { return true })(c, r) {
			return false
		}
		for id := 1; id <= 3; id++ {
			time.Sleep(50 * time.Millisecond)
			if !chunks(c, crlf(stream(id))) {
				return false
			}
		}
		return end(c, r)
	}})
}

// TestBlankLinesOfBothKindsAreTheEndOfAnEvent guards against a whole stream that counts as cut.
func TestBlankLinesOfBothKindsAreTheEndOfAnEvent(t *testing.T) {
	for _, ending := range []string{"\n\n", "\r\n\r\n", "\n\n\r\n", "\r\n\r\n\n", "\n\r\n", "\n\n\n"} {
		got := startSocketGateway(t, []handler{unframed(200, eventsType, "data: x"+ending)}).send("/once/", "HTTP/1.1")
		g := NewWithT(t)
		g.Expect(got.err).NotTo(HaveOccurred(), "%q", ending)
		g.Expect(got.body).To(Equal("data: x"+ending), "%q", ending)
	}
}
