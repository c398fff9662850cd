package proxy_test

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/silverdeck/silverdeck/roster"
)

// loadingFor returns a handler that refuses requests with 421 for d from the first one on, as endpoints do
// while they load weights, and then serves them.
func loadingFor(d time.Duration, header ...string) handler {
	loaded := sync.OnceValue(func() time.Time { return time.Now().Add(d) })
	return func(c net.Conn, r *http.Request) bool {
		if time.Now().Before(loaded()) {
			return respond(421, "", header...)(c, r)
		}
		return respondOK()(c, r)
	}
}

// sendInterval is the time between two requests of sendFor.
const sendInterval = 20 * time.Millisecond

// sendFor sends a request at each interval for d and returns the responses in order.
func (w *harness) sendFor(d time.Duration, path string) []response {
	out := make([]response, d/sendInterval)
	done := make(chan struct{})
	for i := range out {
		time.AfterFunc(time.Duration(i)*sendInterval, func() {
			defer func() { done <- struct{}{} }()
			out[i] = w.send("POST", path, "", "Id", fmt.Sprintf("r%d", i))
		})
	}
	for range out {
		<-done
	}
	return out
}

// Guards against endpoints that are never asked again once they refused requests while they loaded weights.
func TestEndpointsThatLoadAtOnceServeAgain(t *testing.T) {
	for name, header := range map[string][]string{"no ID": nil, "not run": {"Not-Run: 1"}} {
		for _, load := range []time.Duration{300 * time.Millisecond, 2 * time.Second} {
			for _, path := range []string{"/safe/x", "/unsafe/x", "/stream/x"} {
				t.Run(fmt.Sprintf("%s, %s, %s", name, load, path), func(t *testing.T) {
					runHarness(t, func(w *harness) {
						answers := w.sendFor(6*time.Second, path)
						for i, a := range answers {
							if time.Duration(i)*sendInterval > 2*load+sendInterval {
								w.g.Expect(a.Code).To(Equal(200), "request %d", i)
							}
							w.g.Expect(a.Code).To(BeElementOf(200, 503))
						}
					}, always(loadingFor(load, header...)), always(loadingFor(load, header...)))
				})
			}
		}
	}
}

// Guards against a request every 60 ms to an address that another endpoint has and that does not say so.
func TestAnAddressWhoseEndpointRefusesIsAskedLessAndLessOften(t *testing.T) {
	runHarness(t, func(w *harness) {
		for _, a := range w.sendFor(24*time.Second, "/unsafe/x") {
			w.g.Expect(a.Code).To(Equal(200))
		}
		w.g.Expect(w.endpoints["e0"].count()).To(BeNumerically("<=", 12))
	}, always(respond(421, "")), always(respond(200, "ok")))
}

// Guards against requests to an address that another endpoint has, and against none to the next address.
func TestAnAddressOfAnotherEndpointIsNotAskedAgain(t *testing.T) {
	runHarness(t, func(w *harness) {
		for _, a := range w.sendFor(24*time.Second, "/unsafe/x") {
			w.g.Expect(a.Code).To(Equal(200))
		}
		w.g.Expect(w.endpoints["e0"].count()).To(Equal(1))

		w.balancer.Update(&roster.List{Revision: 2, Endpoints: map[string]*roster.Endpoint{
			"e0": {ID: "e0", Service: "s", Addr: "e1", Zone: "a", Slots: 2},
		}})
		w.g.Expect(w.send("POST", "/unsafe/x", "").Code).To(Equal(200), "at its next address")
	}, always(respond(421, "", "Answered-By: e9")), always(respond(200, "ok")))
}

// Guards against callers that wait for their deadline, or are told nothing, while all endpoints load weights.
func TestCallersAreRefusedInTimeWhileAllEndpointsLoad(t *testing.T) {
	runHarness(t, func(w *harness) {
		for i, a := range w.sendFor(1900*time.Millisecond, "/stream/x") {
			w.g.Expect(a.Code).To(Equal(503), "request %d", i)
			w.g.Expect(a.Header().Get("Retry-After")).NotTo(BeEmpty())
			w.g.Expect(a.elapsed).To(BeNumerically("<=", 400*time.Millisecond))
		}
		w.g.Expect(w.endpoints["e0"].count() + w.endpoints["e1"].count()).To(BeNumerically("<=", 12))
	}, always(loadingFor(3*time.Second)), always(loadingFor(3*time.Second)))
}

// Guards against what another endpoint states of itself in a 421 being taken for the endpoint's own word.
func TestAdvisoriesOfA421CountOnlyIfTheEndpointNamesItself(t *testing.T) {
	for name, c := range map[string]struct {
		header  []string
		leaving int
	}{
		"no ID":      {[]string{"Leaving: 1"}, 0},
		"other's ID": {[]string{"Leaving: 1", "Answered-By: e9"}, 0},
		"its own ID": {[]string{"Leaving: 1", "Answered-By: e0"}, 1},
	} {
		t.Run(name, func(t *testing.T) {
			runHarness(t, func(w *harness) {
				w.send("POST", "/unsafe/x", "")
				w.g.Expect(w.logs.withMessage("endpoint leaves")).To(HaveLen(c.leaving))
			}, always(respond(421, "", c.header...)), always(respond(200, "ok")))
		})
	}
}
