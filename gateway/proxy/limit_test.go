package proxy_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/silverdeck/silverdeck/gateway/balance"
)

// Guards against limits that operators can't see: changes are logged and counted, also if the
// response that states the limit is not forwarded.
func TestLimitsThatEndpointsNameAreTold(t *testing.T) {
	runHarness(t, func(w *harness) {
		for range 4 {
			w.send("POST", "/safe/x", "")
			time.Sleep(time.Second)
		}
		lines := w.logs.withMessage("endpoint limit")
		w.g.Expect(lines).To(HaveLen(2))
		w.g.Expect(lines[0]).To(And(HaveKeyWithValue("change", "named"), HaveKeyWithValue("perSecond", 2.0), HaveKeyWithValue("endpoint", "e0")))
		w.g.Expect(lines[1]).To(HaveKeyWithValue("change", "ended"))
		w.g.Expect(w.metrics.Limits.Count()).To(BeEquivalentTo(2))
		w.g.Expect(w.logs.withMessage("unreadable headers")).To(HaveLen(1))
		w.g.Expect(w.metrics.Unreadable.Count()).To(BeEquivalentTo(1))
	}, []handler{
		respond(503, "", "Not-Run: 1", "Limit: 2"),
		respond(200, "ok", "Limit: few"),
		respond(200, "ok", "Limit: 2"),
		respond(200, "ok"),
	}, []handler{respond(200, "ok")})
}

// Guards against applying a limit from another endpoint at the same address, or from the
// response to another request.
func TestLimitsOfOthersAreNotTakenIn(t *testing.T) {
	runHarness(t, func(w *harness) {
		w.send("POST", "/safe/x", "")
		w.send("POST", "/safe/x", "")
		w.g.Expect(w.logs.withMessage("endpoint limit")).To(BeEmpty())
	}, []handler{
		raw("HTTP/1.1 200 OK\r\nId: other\r\nStamp: st\r\nLimit: 2\r\nContent-Length: 2\r\n\r\nok"),
		respond(421, "", "Limit: 2"),
	}, []handler{respond(200, "ok")})
}

// limitWindow is the time span over which arrivals are compared with the limit.
const limitWindow = 4 * time.Second

// allowed returns the number of requests that a limit allows in limitWindow.
func allowed(perSecond float64) int {
	return int(1.5*perSecond*limitWindow.Seconds()) + 5
}

// Guards against gateways that together exceed the rate limit of an endpoint.
func TestEndpointsGetMoreThanTheLimitThatTheyNamed(t *testing.T) {
	for _, n := range []int{1, 2, 6, 34} {
		for _, limit := range []float64{0, 0.5, 1, 5} {
			t.Run(fmt.Sprintf("%d gateways, %g a second", n, limit), func(t *testing.T) {
				limited := respond(200, "ok", fmt.Sprintf("Limit: %g", limit))
				runFleet(t, n, func(f *fleet) {
					began := time.Now()
					f.generateLoad("/safe/x", 40*time.Millisecond, 15*time.Second)
					measureFrom := began.Add(time.Second)
					f.g.Expect(f.endpoints["e0"].maxArrivals(limitWindow, measureFrom)).To(BeNumerically("<=", allowed(limit)))
					f.g.Expect(f.endpoints["e0"].arrivalsAfter(measureFrom)).To(BeNumerically(">=", int(limit*14/2)), "the endpoint gets requests")
				}, []handler{delayed(10*time.Millisecond, limited)}, []handler{delayed(10*time.Millisecond, respond(200, "ok"))})
			})
		}
	}
}

// requestInterval is the time between two requests of a gateway in these tests.
const requestInterval = 40 * time.Millisecond

// limitFor returns a handler that states a limit for d after its first request, and none later.
func limitFor(d time.Duration, perSecond float64) handler {
	var once sync.Once
	var ends time.Time
	limited, free := respond(200, "ok", fmt.Sprintf("Limit: %g", perSecond)), respond(200, "ok")
	return delayed(10*time.Millisecond, func(c net.Conn, r *http.Request) bool {
		once.Do(func() { ends = time.Now().Add(d) })
		if time.Now().Before(ends) {
			return limited(c, r)
		}
		return free(c, r)
	})
}

// Guards against gateways that avoid an endpoint after its limit has ended, because only the
// gateway that holds the endpoint sees its responses.
func TestALimitThatEndedKeepsNoGatewayAway(t *testing.T) {
	for _, limit := range []float64{0, 0.5, 5} {
		t.Run(fmt.Sprint(limit), func(t *testing.T) {
			runFleet(t, 6, func(f *fleet) {
				f.generateLoad("/safe/x", requestInterval, 10*time.Second)
				time.Sleep(balance.LimitInterval(limit))
				began := time.Now()
				f.generateLoad("/safe/x", requestInterval, balance.LimitInterval(limit)+time.Second)
				f.generateLoad("/safe/x", requestInterval, 2*time.Second)
				f.g.Expect(f.endpoints["e0"].maxArrivals(2*time.Second, began)).To(BeNumerically(">", 100), "of 300")
			}, []handler{limitFor(8*time.Second, limit)}, []handler{delayed(10*time.Millisecond, respond(200, "ok"))})
		})
	}
}

// Guards against exceeding a limit while gateways die one after another, when two gateways or
// none may hold the endpoint.
func TestALimitIsKeptWhileGatewaysDieAndStart(t *testing.T) {
	for _, limit := range []float64{0.5, 2, 10} {
		t.Run(fmt.Sprint(limit), func(t *testing.T) {
			runFleet(t, 6, func(f *fleet) {
				ctx, cancel := context.WithCancel(context.Background())
				defer cancel()
				began := time.Now()
				for i := range 4 {
					time.AfterFunc(time.Duration(3+4*i)*time.Second, func() { f.kill(f.holder("e0")) })
					time.AfterFunc(time.Duration(5+4*i)*time.Second, func() { f.add(ctx) })
				}
				for range 10 {
					f.generateLoad("/safe/x", requestInterval, 2*time.Second)
				}
				measureFrom := began.Add(time.Second)
				f.g.Expect(f.endpoints["e0"].maxArrivals(limitWindow, measureFrom)).To(BeNumerically("<=", allowed(limit)))
				f.g.Expect(f.endpoints["e0"].arrivalsAfter(measureFrom)).To(BeNumerically(">=", int(limit*19/3)), "the endpoint gets requests")
			}, []handler{delayed(10*time.Millisecond, respond(200, "ok", fmt.Sprintf("Limit: %g", limit)))}, []handler{delayed(10*time.Millisecond, respond(200, "ok"))})
		})
	}
}

// Guards against retries and resumes that exceed a limit: interrupted streams are resumed and
// refused requests are retried elsewhere.
func TestRepetitionsCountForALimit(t *testing.T) {
	limited := func(s handler) handler {
		return func(c net.Conn, r *http.Request) bool {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nStamp: st\r\nLimit: 1\r\nTransfer-Encoding: chunked\r\n\r\n", r.Header.Get("Id"))
			return chunks(c, "id: 1\ndata: x\n\n") && s(c, r)
		}
	}
	breaks := limited(func(net.Conn, *http.Request) bool { return false })
	for name, scripts := range map[string][][]handler{
		"streams that break off": {{breaks}, {breaks}, {events(time.Millisecond, end, 1, 2, 3)}},
		"streams that stall":     {{limited(hang)}, {limited(hang)}, {events(time.Millisecond, end, 1, 2, 3)}},
		"refusals":               {{respond(503, "", "Not-Run: 1", "Limit: 1")}, {respond(503, "", "Not-Run: 1", "Limit: 1")}, {events(time.Millisecond, end, 1, 2, 3)}},
		"errors":                 {{respond(500, "", "Limit: 1")}, {respond(500, "", "Limit: 1")}, {events(time.Millisecond, end, 1, 2, 3)}},
	} {
		t.Run(name, func(t *testing.T) {
			runFleet(t, 3, func(f *fleet) {
				began := time.Now()
				f.generateLoad("/stream/x", 2*requestInterval, 15*time.Second)
				for _, id := range []string{"e0", "e1"} {
					f.g.Expect(f.endpoints[id].maxArrivals(limitWindow, began.Add(time.Second))).To(BeNumerically("<=", allowed(1)), id)
				}
			}, scripts...)
		})
	}
}

// expectRefusal sends a request and expects it to be refused at once with a retry time.
func (w *harness) expectRefusal() {
	a := w.send("POST", "/safe/x", "")
	w.g.Expect(a.Code).To(Equal(503))
	w.g.Expect(a.elapsed).To(BeZero())
	after, err := strconv.ParseFloat(a.Header().Get("Retry-After"), 64)
	w.g.Expect(err).NotTo(HaveOccurred())
	w.g.Expect(after).To(BeNumerically("~", 0.667, 0.01), "a third of the route's timeout of two seconds")
}

// Guards against callers that wait for an endpoint whose limit is reached, instead of being told
// at once when to retry.
func TestCallersAreRefusedAtOnceWhereLimitsLeaveNoRoom(t *testing.T) {
	runHarness(t, func(w *harness) {
		w.send("POST", "/safe/x", "")
		time.Sleep(50 * time.Millisecond)
		w.expectRefusal()
		w.g.Expect(w.metrics.Closed.Count()).To(BeEquivalentTo(1))
		time.Sleep(2 * time.Second)
		w.g.Expect(w.send("POST", "/safe/x", "").Code).To(Equal(200))
	}, []handler{respond(200, "ok", "Limit: 0.5")})
}

// Guards against requests that fail because their gateway does not hold the only endpoint. The
// gateway that holds it may have no requests of its own.
func TestAnEndpointWithALimitServesCallersOfGatewaysThatDoNotHoldIt(t *testing.T) {
	for _, limit := range []float64{1, 5} {
		t.Run(fmt.Sprint(limit), func(t *testing.T) {
			runFleet(t, 3, func(f *fleet) {
				others := f.without(f.holder("e0"))
				began := time.Now()
				served := f.generateLoadAt(others, "/safe/x", requestInterval, 20*time.Second)
				f.g.Expect(f.endpoints["e0"].maxArrivals(limitWindow, began.Add(time.Second))).To(BeNumerically("<=", allowed(limit)))
				f.g.Expect(served).To(BeNumerically(">=", int(limit*20*0.6)))
			}, []handler{delayed(10*time.Millisecond, respond(200, "ok", fmt.Sprintf("Limit: %g", limit)))})
		})
	}
}

// Guards against a limit that never ends because the holder has no requests of its own and so
// does not see that responses no longer state it.
func TestALimitEndsWhoseHolderHasNoRequests(t *testing.T) {
	for _, others := range []int{0, 1} {
		t.Run(fmt.Sprintf("beside %d other endpoints", others), func(t *testing.T) {
			free := []handler{delayed(10*time.Millisecond, respond(200, "ok"))}
			scripts := [][]handler{{limitFor(4*time.Second, 0.5)}, free}[:1+others]
			runFleet(t, 3, func(f *fleet) {
				asking := f.without(f.holder("e0"))
				f.generateLoadAt(asking, "/safe/x", requestInterval, 12*time.Second)
				began := time.Now()
				f.generateLoadAt(asking, "/safe/x", requestInterval, 2*time.Second)
				f.g.Expect(f.endpoints["e0"].arrivalsAfter(began)).To(BeNumerically(">", 30), "of 100")
			}, scripts...)
		})
	}
}

// Guards against a holder with many requests that uses the whole limit and leaves nothing to
// other gateways.
func TestTheHolderOfAnEndpointKeepsItsWholeLimit(t *testing.T) {
	for _, n := range []int{2, 6} {
		t.Run(fmt.Sprintf("%d gateways", n), func(t *testing.T) {
			runFleet(t, n, func(f *fleet) {
				began := time.Now()
				f.generateLoad("/safe/x", requestInterval, 30*time.Second)
				f.g.Expect(f.endpoints["e0"].maxArrivals(limitWindow, began.Add(time.Second))).To(BeNumerically("<=", allowed(5)))
				f.g.Expect(f.endpoints["e0"].arrivalsAfter(began)).To(BeNumerically(">=", 5*30*2/3), "most of the limit is used")
				parts := f.endpoints["e0"].byGateway()
				for _, w := range f.gateways {
					f.g.Expect(parts[w.self.Name]).To(BeNumerically(">=", 5*30/n/4), w.self.Name)
				}
			}, []handler{delayed(10*time.Millisecond, respond(200, "ok", "Limit: 5"))})
		})
	}
}
