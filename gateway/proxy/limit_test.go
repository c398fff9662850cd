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

// An operator can see what endpoints name in answers, also in those that are not passed on.
func TestLimitsThatEndpointsNameAreTold(t *testing.T) {
	play(t, func(w *world) {
		for range 4 {
			w.ask("POST", "/safe/x", "")
			time.Sleep(time.Second)
		}
		lines := w.lines.with("endpoint limit")
		w.g.Expect(lines).To(HaveLen(2))
		w.g.Expect(lines[0]).To(And(HaveKeyWithValue("change", "named"), HaveKeyWithValue("perSecond", 2.0), HaveKeyWithValue("endpoint", "e0")))
		w.g.Expect(lines[1]).To(HaveKeyWithValue("change", "ended"))
		w.g.Expect(w.metrics.Limits.Count()).To(BeEquivalentTo(2))
		w.g.Expect(w.lines.with("unreadable headers")).To(HaveLen(1))
		w.g.Expect(w.metrics.Unreadable.Count()).To(BeEquivalentTo(1))
	}, []step{
		text(503, "", "Not-Run: 1", "Limit: 2"),
		text(200, "ok", "Limit: few"),
		text(200, "ok", "Limit: 2"),
		text(200, "ok"),
	}, []step{text(200, "ok")})
}

// What another endpoint says at the address, or in an answer to another request, says nothing
// of the endpoint.
func TestLimitsOfOthersAreNotTakenIn(t *testing.T) {
	play(t, func(w *world) {
		w.ask("POST", "/safe/x", "")
		w.ask("POST", "/safe/x", "")
		w.g.Expect(w.lines.with("endpoint limit")).To(BeEmpty())
	}, []step{
		raw("HTTP/1.1 200 OK\r\nId: other\r\nStamp: st\r\nLimit: 2\r\nContent-Length: 2\r\n\r\nok"),
		text(421, "", "Limit: 2"),
	}, []step{text(200, "ok")})
}

// limitWindow is the span in which what reaches an endpoint is compared with its limit.
const limitWindow = 4 * time.Second

// allowed returns how many requests a limit allows in limitWindow.
func allowed(perSecond float64) int {
	return int(1.5*perSecond*limitWindow.Seconds()) + 5
}

// Gateways send an endpoint, all together, what it says that it takes a second.
func TestEndpointsGetMoreThanTheLimitThatTheyNamed(t *testing.T) {
	for _, n := range []int{1, 2, 6, 34} {
		for _, limit := range []float64{0, 0.5, 1, 5} {
			t.Run(fmt.Sprintf("%d gateways, %g a second", n, limit), func(t *testing.T) {
				limited := text(200, "ok", fmt.Sprintf("Limit: %g", limit))
				playFleet(t, n, func(f *fleet) {
					began := time.Now()
					f.ask("/safe/x", 40*time.Millisecond, 15*time.Second)
					told := began.Add(time.Second)
					f.g.Expect(f.endpoints["e0"].most(limitWindow, told)).To(BeNumerically("<=", allowed(limit)))
					f.g.Expect(f.endpoints["e0"].since(told)).To(BeNumerically(">=", int(limit*14/2)), "it gets requests")
				}, []step{after(10*time.Millisecond, limited)}, []step{after(10*time.Millisecond, text(200, "ok"))})
			})
		}
	}
}

// pace is the time between two requests of a gateway in these tests.
const pace = 40 * time.Millisecond

// limitFor names a limit for d after the first request, and none after that.
func limitFor(d time.Duration, perSecond float64) step {
	var once sync.Once
	var ends time.Time
	limited, free := text(200, "ok", fmt.Sprintf("Limit: %g", perSecond)), text(200, "ok")
	return after(10*time.Millisecond, func(c net.Conn, r *http.Request) bool {
		once.Do(func() { ends = time.Now().Add(d) })
		if time.Now().Before(ends) {
			return limited(c, r)
		}
		return free(c, r)
	})
}

// The gateway that holds an endpoint is the only one to see its answers.
func TestALimitThatEndedKeepsNoGatewayAway(t *testing.T) {
	for _, limit := range []float64{0, 0.5, 5} {
		t.Run(fmt.Sprint(limit), func(t *testing.T) {
			playFleet(t, 6, func(f *fleet) {
				f.ask("/safe/x", pace, 10*time.Second)
				time.Sleep(balance.LimitInterval(limit))
				began := time.Now()
				f.ask("/safe/x", pace, balance.LimitInterval(limit)+time.Second)
				f.ask("/safe/x", pace, 2*time.Second)
				f.g.Expect(f.endpoints["e0"].most(2*time.Second, began)).To(BeNumerically(">", 100), "of 300")
			}, []step{limitFor(8*time.Second, limit)}, []step{after(10*time.Millisecond, text(200, "ok"))})
		})
	}
}

// While one gateway after the other dies, two may hold an endpoint, or none.
func TestALimitIsKeptWhileGatewaysDieAndStart(t *testing.T) {
	for _, limit := range []float64{0.5, 2, 10} {
		t.Run(fmt.Sprint(limit), func(t *testing.T) {
			playFleet(t, 6, func(f *fleet) {
				ctx, cancel := context.WithCancel(context.Background())
				defer cancel()
				began := time.Now()
				for i := range 4 {
					time.AfterFunc(time.Duration(3+4*i)*time.Second, func() { f.kill(f.holder("e0")) })
					time.AfterFunc(time.Duration(5+4*i)*time.Second, func() { f.add(ctx) })
				}
				for range 10 {
					f.ask("/safe/x", pace, 2*time.Second)
				}
				told := began.Add(time.Second)
				f.g.Expect(f.endpoints["e0"].most(limitWindow, told)).To(BeNumerically("<=", allowed(limit)))
				f.g.Expect(f.endpoints["e0"].since(told)).To(BeNumerically(">=", int(limit*19/3)), "it gets requests")
			}, []step{after(10*time.Millisecond, text(200, "ok", fmt.Sprintf("Limit: %g", limit)))}, []step{after(10*time.Millisecond, text(200, "ok"))})
		})
	}
}

// Repetitions are requests as well: streams that break off after an event are resumed, and
// refused ones go on.
func TestRepetitionsCountForALimit(t *testing.T) {
	limited := func(s step) step {
		return func(c net.Conn, r *http.Request) bool {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nStamp: st\r\nLimit: 1\r\nTransfer-Encoding: chunked\r\n\r\n", r.Header.Get("Id"))
			return chunks(c, "id: 1\ndata: x\n\n") && s(c, r)
		}
	}
	breaks := limited(func(net.Conn, *http.Request) bool { return false })
	for name, scripts := range map[string][][]step{
		"streams that break off": {{breaks}, {breaks}, {events(time.Millisecond, end, 1, 2, 3)}},
		"streams that stall":     {{limited(hang)}, {limited(hang)}, {events(time.Millisecond, end, 1, 2, 3)}},
		"refusals":               {{text(503, "", "Not-Run: 1", "Limit: 1")}, {text(503, "", "Not-Run: 1", "Limit: 1")}, {events(time.Millisecond, end, 1, 2, 3)}},
		"errors":                 {{text(500, "", "Limit: 1")}, {text(500, "", "Limit: 1")}, {events(time.Millisecond, end, 1, 2, 3)}},
	} {
		t.Run(name, func(t *testing.T) {
			playFleet(t, 3, func(f *fleet) {
				began := time.Now()
				f.ask("/stream/x", 2*pace, 15*time.Second)
				for _, id := range []string{"e0", "e1"} {
					f.g.Expect(f.endpoints[id].most(limitWindow, began.Add(time.Second))).To(BeNumerically("<=", allowed(1)), id)
				}
			}, scripts...)
		})
	}
}

// expectRefusal asks and expects to be refused at once, with a time to come back.
func (w *world) expectRefusal() {
	a := w.ask("POST", "/safe/x", "")
	w.g.Expect(a.Code).To(Equal(503))
	w.g.Expect(a.took).To(BeZero())
	after, err := strconv.ParseFloat(a.Header().Get("Retry-After"), 64)
	w.g.Expect(err).NotTo(HaveOccurred())
	w.g.Expect(after).To(BeNumerically("~", 0.667, 0.01), "a third of the two seconds that it has")
}

// Who can't be served now is told so at once, and comes back when there may be room.
func TestCallersAreRefusedAtOnceWhereLimitsLeaveNoRoom(t *testing.T) {
	play(t, func(w *world) {
		w.ask("POST", "/safe/x", "")
		time.Sleep(50 * time.Millisecond)
		w.expectRefusal()
		w.g.Expect(w.metrics.Closed.Count()).To(BeEquivalentTo(1))
		time.Sleep(2 * time.Second)
		w.g.Expect(w.ask("POST", "/safe/x", "").Code).To(Equal(200))
	}, []step{text(200, "ok", "Limit: 0.5")})
}

// A caller's gateway need not be the one that holds the only endpoint, which may have no
// callers at all.
func TestAnEndpointWithALimitServesCallersOfGatewaysThatDoNotHoldIt(t *testing.T) {
	for _, limit := range []float64{1, 5} {
		t.Run(fmt.Sprint(limit), func(t *testing.T) {
			playFleet(t, 3, func(f *fleet) {
				others := f.without(f.holder("e0"))
				began := time.Now()
				served := f.askOf(others, "/safe/x", pace, 20*time.Second)
				f.g.Expect(f.endpoints["e0"].most(limitWindow, began.Add(time.Second))).To(BeNumerically("<=", allowed(limit)))
				f.g.Expect(served).To(BeNumerically(">=", int(limit*20*0.6)))
			}, []step{after(10*time.Millisecond, text(200, "ok", fmt.Sprintf("Limit: %g", limit)))})
		})
	}
}

// Without callers of its own the holder never sees that the limit has ended.
func TestALimitEndsWhoseHolderHasNoRequests(t *testing.T) {
	for _, others := range []int{0, 1} {
		t.Run(fmt.Sprintf("beside %d other endpoints", others), func(t *testing.T) {
			free := []step{after(10*time.Millisecond, text(200, "ok"))}
			scripts := [][]step{{limitFor(4*time.Second, 0.5)}, free}[:1+others]
			playFleet(t, 3, func(f *fleet) {
				asking := f.without(f.holder("e0"))
				f.askOf(asking, "/safe/x", pace, 12*time.Second)
				began := time.Now()
				f.askOf(asking, "/safe/x", pace, 2*time.Second)
				f.g.Expect(f.endpoints["e0"].since(began)).To(BeNumerically(">", 30), "of 100")
			}, scripts...)
		})
	}
}

// A holder with callers enough for the whole limit leaves others a part of it.
func TestTheHolderOfAnEndpointKeepsItsWholeLimit(t *testing.T) {
	for _, n := range []int{2, 6} {
		t.Run(fmt.Sprintf("%d gateways", n), func(t *testing.T) {
			playFleet(t, n, func(f *fleet) {
				began := time.Now()
				f.ask("/safe/x", pace, 30*time.Second)
				f.g.Expect(f.endpoints["e0"].most(limitWindow, began.Add(time.Second))).To(BeNumerically("<=", allowed(5)))
				f.g.Expect(f.endpoints["e0"].since(began)).To(BeNumerically(">=", 5*30*2/3), "and most of the limit is used")
				parts := f.endpoints["e0"].byGateway()
				for _, w := range f.gateways {
					f.g.Expect(parts[w.self.Name]).To(BeNumerically(">=", 5*30/n/4), w.self.Name)
				}
			}, []step{after(10*time.Millisecond, text(200, "ok", "Limit: 5"))})
		})
	}
}
