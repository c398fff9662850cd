package proxy_test

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// propagationTime is how long it takes until all gateways of a fleet have learned of an event.
const propagationTime = 2 * heartbeat

// respondOK returns a handler that serves plain requests and streams, with additional header
// lines.
func respondOK(header ...string) handler {
	return delayed(10*time.Millisecond, func(c net.Conn, r *http.Request) bool {
		if !strings.HasPrefix(r.URL.Path, "/stream/") {
			return respond(200, "ok", header...)(c, r)
		}
		lines := strings.Join(append(header, ""), "\r\n")
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nStamp: st\r\n%sTransfer-Encoding: chunked\r\n\r\n", r.Header.Get("Id"), lines)
		return chunks(c, stream(1)) && end(c, r)
	})
}

// Guards against requests that are sent to an endpoint after it stated in a response that it is
// leaving. While the store is unavailable, responses are the only source of that information.
func TestRequestsReachEndpointsThatSaidThatTheyLeave(t *testing.T) {
	for name, s := range map[string]handler{
		"answers":  respondOK("Leaving: 1"),
		"refusals": respond(503, "", "Not-Run: 1", "Leaving: 1"),
		"errors":   respond(500, "", "Leaving: 1"),
	} {
		for _, path := range []string{"/safe/x", "/stream/x"} {
			t.Run(name+" "+path, func(t *testing.T) {
				runFleet(t, 3, func(f *fleet) {
					began := time.Now()
					f.generateLoad(path, requestInterval, 10*time.Second)
					f.g.Expect(f.endpoints["e0"].arrivals()).NotTo(BeEmpty())
					f.g.Expect(f.endpoints["e0"].arrivalsAfter(began.Add(propagationTime))).To(BeZero())
				}, []handler{s}, []handler{respondOK()}, []handler{respondOK()})
			})
		}
	}
}

// Guards against callers that wait although all endpoints are leaving and none will accept their
// requests.
func TestCallersAreRefusedAtOnceWhereAllEndpointsSaidThatTheyLeave(t *testing.T) {
	runHarness(t, func(w *harness) {
		w.send("POST", "/unsafe/x", "")
		w.send("POST", "/unsafe/x", "")
		a := w.send("POST", "/unsafe/x", "")
		w.g.Expect(a.Code).To(Equal(503))
		w.g.Expect(a.elapsed).To(BeZero())
		w.g.Expect(a.Header().Get("Retry-After")).NotTo(BeEmpty())
	}, []handler{respond(200, "ok", "Leaving: 1")}, []handler{respond(200, "ok", "Leaving: 1")})
}

// Guards against moving a stream away from an endpoint that is leaving but still serves it.
func TestAStreamGoesOnAtAnEndpointThatSaidThatItLeaves(t *testing.T) {
	long := func(c net.Conn, r *http.Request) bool {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nStamp: st\r\nLeaving: 1\r\nTransfer-Encoding: chunked\r\n\r\n", r.Header.Get("Id"))
		for i := range 10 {
			time.Sleep(200 * time.Millisecond)
			if !chunks(c, stream(i+1)) {
				return false
			}
		}
		return end(c, r)
	}
	runHarness(t, func(w *harness) {
		a := w.send("POST", "/stream/x", "")
		w.g.Expect(a.Body.String()).To(Equal(stream(1, 2, 3, 4, 5, 6, 7, 8, 9, 10)))
		w.g.Expect(w.endpoints["e1"].count()).To(BeZero())
	}, []handler{long}, []handler{respondOK()})
}
