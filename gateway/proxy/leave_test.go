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

// newsTime is how long it takes until all gateways of a fleet have heard of something.
const newsTime = 2 * heartbeat

// says answers plain requests and streams with success and more header lines.
func says(header ...string) step {
	return after(10*time.Millisecond, func(c net.Conn, r *http.Request) bool {
		if !strings.HasPrefix(r.URL.Path, "/stream/") {
			return text(200, "ok", header...)(c, r)
		}
		lines := strings.Join(append(header, ""), "\r\n")
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nStamp: st\r\n%sTransfer-Encoding: chunked\r\n\r\n", r.Header.Get("Id"), lines)
		return chunks(c, stream(1)) && end(c, r)
	})
}

// A store that is away can't tell that an endpoint leaves; its answers do.
func TestRequestsReachEndpointsThatSaidThatTheyLeave(t *testing.T) {
	for name, s := range map[string]step{
		"answers":  says("Leaving: 1"),
		"refusals": text(503, "", "Not-Run: 1", "Leaving: 1"),
		"errors":   text(500, "", "Leaving: 1"),
	} {
		for _, path := range []string{"/safe/x", "/stream/x"} {
			t.Run(name+" "+path, func(t *testing.T) {
				playFleet(t, 3, func(f *fleet) {
					began := time.Now()
					f.ask(path, pace, 10*time.Second)
					f.g.Expect(f.endpoints["e0"].arrivals()).NotTo(BeEmpty())
					f.g.Expect(f.endpoints["e0"].since(began.Add(newsTime))).To(BeZero())
				}, []step{s}, []step{says()}, []step{says()})
			})
		}
	}
}

// Nobody takes them any more, so waiting is in vain.
func TestCallersAreRefusedAtOnceWhereAllEndpointsSaidThatTheyLeave(t *testing.T) {
	play(t, func(w *world) {
		w.ask("POST", "/unsafe/x", "")
		w.ask("POST", "/unsafe/x", "")
		a := w.ask("POST", "/unsafe/x", "")
		w.g.Expect(a.Code).To(Equal(503))
		w.g.Expect(a.took).To(BeZero())
		w.g.Expect(a.Header().Get("Retry-After")).NotTo(BeEmpty())
	}, []step{text(200, "ok", "Leaving: 1")}, []step{text(200, "ok", "Leaving: 1")})
}

// What is under way there ends as it can.
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
	play(t, func(w *world) {
		a := w.ask("POST", "/stream/x", "")
		w.g.Expect(a.Body.String()).To(Equal(stream(1, 2, 3, 4, 5, 6, 7, 8, 9, 10)))
		w.g.Expect(w.endpoints["e1"].count()).To(BeZero())
	}, []step{long}, []step{says()})
}
