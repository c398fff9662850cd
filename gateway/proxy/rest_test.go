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

// restless refuses the first request of each gateway in each spell and asks for rest, and
// answers all others. It counts what comes of a gateway while it should rest.
type restless struct {
	rest time.Duration

	mu sync.Mutex
	// until is when each gateway's rest ends, since when it began.
	until, since map[string]time.Time
	// during counts requests of gateways that came during their rest.
	during map[string]int
}

// step answers a request, whose ID begins with the gateway's name.
func (e *restless) step(c net.Conn, r *http.Request) bool {
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
		return text(503, "", "Not-Run: 1", fmt.Sprintf("Rest: %s", e.rest))(c, r)
	}
	return says()(c, r)
}

// most returns the most requests that came of a gateway during its rests.
func (e *restless) most() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := 0
	for _, during := range e.during {
		n = max(n, during)
	}
	return n
}

// A refusal's pause is short; the rest that an endpoint asks for with it may take seconds.
func TestRequestsReachEndpointsThatAskedForRest(t *testing.T) {
	for _, path := range []string{"/safe/x", "/unsafe/x", "/stream/x"} {
		for _, resting := range []int{1, 2} {
			t.Run(fmt.Sprintf("%s, %d of 3 endpoints", path, resting), func(t *testing.T) {
				var all []*restless
				var scripts [][]step
				for range resting {
					e := &restless{rest: 3 * time.Second, until: map[string]time.Time{}, since: map[string]time.Time{}, during: map[string]int{}}
					all, scripts = append(all, e), append(scripts, []step{e.step})
				}
				for len(scripts) < 3 {
					scripts = append(scripts, []step{says()})
				}
				playFleet(t, 3, func(f *fleet) {
					f.ask(path, pace, 20*time.Second)
					for _, e := range all {
						f.g.Expect(e.since).NotTo(BeEmpty())
						f.g.Expect(e.most()).To(BeZero())
					}
				}, scripts...)
			})
		}
	}
}

// Each refusal costs an arrival of the retry budget.
func TestCallersAreRefusedAtOnceWhileAllEndpointsRest(t *testing.T) {
	play(t, func(w *world) {
		w.g.Expect(w.ask("POST", "/safe/x", "").Code).To(Equal(503))
		sent := w.endpoints["e0"].count() + w.endpoints["e1"].count()
		w.g.Expect(sent).To(Equal(2))
		for range 50 {
			w.expectRefusal()
			time.Sleep(10 * time.Millisecond)
		}
		w.g.Expect(w.endpoints["e0"].count() + w.endpoints["e1"].count()).To(Equal(sent))
		time.Sleep(3 * time.Second)
		w.g.Expect(w.ask("POST", "/safe/x", "").Code).To(Equal(200))
	}, []step{text(503, "", "Not-Run: 1", "Rest: 3s"), says()}, []step{text(503, "", "Not-Run: 1", "Rest: 3s"), says()})
}

// An endpoint that sheds what is too much for it is not a broken one.
func TestAnEndpointThatAskedForRestOftenIsEjectedForItsFirstError(t *testing.T) {
	var script []step
	for range 20 {
		script = append(script, text(503, "", "Not-Run: 1", "Rest: 100ms"))
	}
	script = append(script, text(500, ""), says())
	play(t, func(w *world) {
		for range len(script) + 2 {
			w.ask("POST", "/unsafe/x", "")
			time.Sleep(200 * time.Millisecond)
		}
		w.g.Expect(w.endpoints["e0"].count()).To(Equal(len(script) + 2))
		w.g.Expect(w.endpoints["e1"].count()).To(Equal(20))
	}, script, []step{says()})
}
