package proxy_test

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// restingEndpoint refuses a request of each gateway and asks it for a rest, again after every
// period of service that lasted as long as the rest, and serves all other requests. It counts
// the requests that arrive from a gateway during its rest.
type restingEndpoint struct {
	rest time.Duration

	mu sync.Mutex
	// until is when the rest of each gateway ends, since when it began.
	until, since map[string]time.Time
	// during counts the requests of each gateway that arrived during its rest, except in the
	// first half second.
	during map[string]int
}

// handle handles a request, whose ID starts with the gateway's name.
func (e *restingEndpoint) handle(c net.Conn, r *http.Request) bool {
	gateway, _, _ := strings.Cut(r.Header.Get("Id"), "-")
	e.mu.Lock()
	now := time.Now()
	resting := now.Before(e.until[gateway])
	if resting && now.Sub(e.since[gateway]) > 500*time.Millisecond {
		e.during[gateway]++
	}
	again := now.After(e.until[gateway].Add(e.rest))
	if !resting && again {
		e.since[gateway], e.until[gateway] = now, now.Add(e.rest)
	}
	e.mu.Unlock()
	if !resting && again {
		return respond(503, "", "Not-Run: 1", fmt.Sprintf("Rest: %s", e.rest))(c, r)
	}
	return respondOK()(c, r)
}

// maxDuringRest returns the largest number of requests that arrived from one gateway during its
// rests.
func (e *restingEndpoint) maxDuringRest() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := 0
	for _, during := range e.during {
		n = max(n, during)
	}
	return n
}

// Guards against requests that are sent to an endpoint during the rest that it asked for. The
// pause after a refusal is short, whereas a rest may take seconds.
func TestRequestsReachEndpointsThatAskedForRest(t *testing.T) {
	for _, path := range []string{"/safe/x", "/unsafe/x", "/stream/x"} {
		for _, resting := range []int{1, 2} {
			t.Run(fmt.Sprintf("%s, %d of 3 endpoints", path, resting), func(t *testing.T) {
				var restingEndpoints []*restingEndpoint
				var scripts [][]handler
				for range resting {
					e := &restingEndpoint{rest: 3 * time.Second, until: map[string]time.Time{}, since: map[string]time.Time{}, during: map[string]int{}}
					restingEndpoints, scripts = append(restingEndpoints, e), append(scripts, []handler{e.handle})
				}
				for len(scripts) < 3 {
					scripts = append(scripts, []handler{respondOK()})
				}
				runFleet(t, 3, func(f *fleet) {
					f.generateLoad(path, requestInterval, 20*time.Second)
					for _, e := range restingEndpoints {
						f.g.Expect(e.since).NotTo(BeEmpty())
						f.g.Expect(e.maxDuringRest()).To(BeZero())
					}
				}, scripts...)
			})
		}
	}
}

// Guards against requests sent to resting endpoints when all rest: each refusal would use up
// retry budget.
func TestCallersAreRefusedAtOnceWhileAllEndpointsRest(t *testing.T) {
	runHarness(t, func(w *harness) {
		w.g.Expect(w.send("POST", "/safe/x", "").Code).To(Equal(503))
		sent := w.endpoints["e0"].count() + w.endpoints["e1"].count()
		w.g.Expect(sent).To(Equal(2))
		for range 50 {
			w.expectRefusal()
			time.Sleep(10 * time.Millisecond)
		}
		w.g.Expect(w.endpoints["e0"].count() + w.endpoints["e1"].count()).To(Equal(sent))
		time.Sleep(3 * time.Second)
		w.g.Expect(w.send("POST", "/safe/x", "").Code).To(Equal(200))
	}, []handler{respond(503, "", "Not-Run: 1", "Rest: 3s"), respondOK()}, []handler{respond(503, "", "Not-Run: 1", "Rest: 3s"), respondOK()})
}

// Guards against the ejection of an endpoint for its first error because it asked for rests
// before. An endpoint that sheds excess load is not faulty.
func TestAnEndpointThatAskedForRestOftenIsEjectedForItsFirstError(t *testing.T) {
	var script []handler
	for range 20 {
		script = append(script, respond(503, "", "Not-Run: 1", "Rest: 100ms"))
	}
	script = append(script, respond(500, ""), respondOK())
	runHarness(t, func(w *harness) {
		for range len(script) + 2 {
			w.send("POST", "/unsafe/x", "")
			time.Sleep(200 * time.Millisecond)
		}
		w.g.Expect(w.endpoints["e0"].count()).To(Equal(len(script) + 2))
		w.g.Expect(w.endpoints["e1"].count()).To(Equal(20))
	}, script, []handler{respondOK()})
}
