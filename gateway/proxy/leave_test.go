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
