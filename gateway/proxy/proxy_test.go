package proxy_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"

	"github.com/silverdeck/silverdeck/gateway/balance"
	"github.com/silverdeck/silverdeck/gateway/proxy"
	"github.com/silverdeck/silverdeck/roster"
	"github.com/silverdeck/silverdeck/routes"
	"github.com/silverdeck/silverdeck/verdict"
)

// always returns a script that handles all requests with s.
func always(s handler) []handler { return []handler{s} }

func TestARequestIsForwardedUnchanged(t *testing.T) {
	runHarness(t, func(w *harness) {
		a := w.send("POST", "/unsafe/a%2Fb?q=1", "hello", "Deadline", "500", "Account", "forged", "Instance", "forged", "X-Own", "1", "Connection", "X-Hop", "X-Hop", "1")
		w.g.Expect(a.Code).To(Equal(200))
		w.g.Expect(a.Body.String()).To(Equal("done"))
		w.g.Expect(a.Header().Get("Stamp")).To(Equal("st"))
		r := w.endpoints["e0"].request()
		w.g.Expect([]string{r.Method, r.RequestURI, r.Host}).To(Equal([]string{"POST", "/unsafe/a%2Fb?q=1", "h"}))
		w.g.Expect(w.endpoints["e0"].body()).To(Equal("hello"))
		w.g.Expect(r.Header.Get("Account")).To(Equal("acme"))
		w.g.Expect(r.Header.Get("Instance")).To(Equal("e0"))
		w.g.Expect(r.Header.Get("Deadline")).To(Equal("500"))
		w.g.Expect(r.Header.Get("X-Own")).To(Equal("1"))
		w.g.Expect(r.Header).NotTo(Or(HaveKey("Key"), HaveKey("X-Hop"), HaveKey("Connection")))
	}, always(respond(200, "done")))
}

func TestRequestsThatTheConfigurationDoesNotAllow(t *testing.T) {
	for name, c := range map[string]struct {
		path, body, key string
		want            int
	}{
		"no route":       {"/none/", "", "secret", 404},
		"no key":         {"/unsafe/", "", "", 401},
		"an unknown key": {"/unsafe/", "", "guess", 401},
		"too long":       {"/unsafe/", strings.Repeat("x", 65), "secret", 413},
		"public":         {"/public/", "", "", 200},
	} {
		t.Run(name, func(t *testing.T) {
			runHarness(t, func(w *harness) {
				a := w.sendWithContext(context.Background(), "POST", c.path, c.body, "Key", c.key)
				w.g.Expect(a.Code).To(Equal(c.want))
				w.g.Expect(a.Header().Get("Id")).To(Equal("r1"))
			}, always(respond(200, "done")))
		})
	}
}

func TestRequestsWithoutAConfigurationAreRefusedWithARetryTime(t *testing.T) {
	runHarness(t, func(w *harness) {
		g := proxy.New(proxy.Config{Headers: names, Log: log.New(io.Discard), Metrics: proxy.NewMetrics(metrics.NewRegistry())})
		w.proxy = g
		a := w.send("POST", "/unsafe/", "")
		w.g.Expect(a.Code).To(Equal(503))
		w.g.Expect(a.Header().Get("Retry-After")).To(Equal("1.000"))
	})
}

func TestAnOlderConfigurationIsNotTaken(t *testing.T) {
	runHarness(t, func(w *harness) {
		newer := configuration()
		newer.Version, newer.Revision = 2, 5
		w.g.Expect(w.proxy.SetConfig(newer)).To(BeTrue())
		w.g.Expect(w.proxy.SetConfig(configuration())).To(BeFalse())
		w.g.Expect(w.proxy.Routes().Version).To(Equal(int64(2)))
	})
}

func TestARequestThatDidNotRunIsRetriedAtAnotherEndpoint(t *testing.T) {
	refuse := respond(503, "", "Not-Run: 1")
	for name, first := range map[string]handler{"refused": refuse, "misdirected": respond(421, "")} {
		t.Run(name, func(t *testing.T) {
			runHarness(t, func(w *harness) {
				a := w.send("POST", "/unsafe/", "x")
				w.g.Expect(a.Code).To(Equal(200))
				w.g.Expect(w.endpoints["e0"].count() + w.endpoints["e1"].count()).To(Equal(2))
			}, always(first), always(respond(200, "done")))
		})
	}
	t.Run("unreachable", func(t *testing.T) {
		runHarness(t, func(w *harness) {
			w.setDown("e0", true)
			w.g.Expect(w.send("POST", "/unsafe/", "x").Code).To(Equal(200))
		}, always(hang), always(respond(200, "done")))
	})
}

func TestARefusalByAllEndpointsIsReportedAsNotRun(t *testing.T) {
	refuse := always(respond(503, "", "Not-Run: 1"))
	runHarness(t, func(w *harness) {
		a := w.send("POST", "/unsafe/", "x")
		w.g.Expect(a.Code).To(Equal(503))
		w.g.Expect(a.Header().Get("Retry-After")).NotTo(BeEmpty())
		w.g.Expect(a.Header().Get("Stamp")).To(BeEmpty())
		w.g.Expect(a.Header().Get(verdict.Header)).To(Equal("not-run"))
		w.g.Expect(a.elapsed).To(BeZero(), "at once")
	}, refuse, refuse, refuse)
}

func TestWhatMayHaveRunIsNotRepeatedNorPromised(t *testing.T) {
	for name, first := range map[string]handler{
		"closed":                  raw(""),
		"invalid response":        raw("what?\r\n\r\n"),
		"half an answer":          raw("HTTP/1.1 200 OK\r\nId: r1\r\nStamp: st\r\nContent-Length: 9\r\n\r\nhalf"),
		"no signature":            raw("HTTP/1.1 200 OK\r\nId: r1\r\nContent-Length: 2\r\n\r\nok"),
		"another request's":       raw("HTTP/1.1 200 OK\r\nId: r0\r\nStamp: st\r\nContent-Length: 2\r\n\r\nok"),
		"503 that may have run":   respond(503, "busy"),
		"429 that may have run":   respond(429, "busy"),
		"interim, and then close": raw("HTTP/1.1 100 Continue\r\n\r\n"),
	} {
		t.Run(name, func(t *testing.T) {
			runHarness(t, func(w *harness) {
				a := w.send("POST", "/unsafe/", "x")
				w.g.Expect(a.Code).To(Equal(502))
				w.g.Expect(a.Header().Get("Stamp")).To(BeEmpty())
				w.g.Expect(a.Header().Get(verdict.Header)).To(Equal("may-have-run"))
				w.g.Expect(w.endpoints["e1"].count()).To(BeZero())
			}, always(first), always(respond(200, "done")))
		})
		t.Run(name+", and may be repeated", func(t *testing.T) {
			runHarness(t, func(w *harness) {
				a := w.send("GET", "/safe/", "")
				w.g.Expect(a.Code).To(Equal(200))
				w.g.Expect(a.Body.String()).To(Equal("done"))
			}, always(first), always(respond(200, "done")))
		})
	}
}

func TestAnErrorResponseIsForwardedUnlessAnotherEndpointServes(t *testing.T) {
	runHarness(t, func(w *harness) {
		a := w.send("POST", "/unsafe/", "x")
		w.g.Expect([]any{a.Code, a.Body.String(), a.Header().Get("Stamp")}).To(Equal([]any{500, "no", "st"}))
		w.g.Expect(w.send("GET", "/safe/", "").Code).To(Equal(200))
	}, always(respond(500, "no")), always(respond(200, "done")))
	runHarness(t, func(w *harness) {
		a := w.send("GET", "/safe/", "")
		w.g.Expect([]any{a.Code, a.Body.String(), a.Header().Get("Stamp")}).To(Equal([]any{500, "no", "st"}))
	}, always(respond(500, "no")), always(respond(500, "no")))
}

func TestAHungEndpointIsAbandonedOnlyForRepeatableRequests(t *testing.T) {
	runHarness(t, func(w *harness) {
		a := w.send("GET", "/safe/", "")
		w.g.Expect(a.Code).To(Equal(200))
		w.g.Expect(a.elapsed).To(BeNumerically("<=", 300*time.Millisecond))
	}, always(hang), always(respond(200, "done")))
	runHarness(t, func(w *harness) {
		a := w.send("POST", "/unsafe/", "x", "Deadline", "700")
		w.g.Expect(a.Code).To(Equal(504))
		w.g.Expect(a.elapsed).To(Equal(700 * time.Millisecond))
		w.g.Expect(w.endpoints["e1"].count()).To(BeZero())
	}, always(hang), always(respond(200, "done")))
}

func TestTheRouteTimeoutLimitsTheCallersDeadline(t *testing.T) {
	runHarness(t, func(w *harness) {
		a := w.send("POST", "/unsafe/", "x", "Deadline", "60000")
		w.g.Expect(a.Code).To(Equal(504))
		w.g.Expect(a.elapsed).To(Equal(2 * time.Second))
		w.g.Expect(w.endpoints["e0"].request().Header.Get("Deadline")).To(Equal("2000"))
	}, always(hang))
}

func TestRepeatedRequestsStayWithinTheBudget(t *testing.T) {
	refuse := always(respond(503, "", "Not-Run: 1"))
	runHarness(t, func(w *harness) {
		const requests = 300
		for range requests {
			w.send("POST", "/unsafe/", "x")
		}
		arrivals := 0
		for _, e := range w.endpoints {
			arrivals += e.count()
		}
		w.g.Expect(arrivals - requests).To(BeNumerically("<=", 0.2*requests+100))
		w.g.Expect(arrivals - requests).To(BeNumerically(">", 60))
	}, refuse, refuse, refuse)
}

func TestMisdirectedRequestsCountAsArrivals(t *testing.T) {
	g := NewWithT(t)
	b := proxy.NewBudget(0.2, 100, 10*time.Second, func() int { return 50 })
	now := time.Now()
	b.Request("s", now)
	g.Expect(b.Take("s", proxy.Retry, now)).To(BeTrue())
	g.Expect(b.Take("s", proxy.Retry, now)).To(BeFalse())
	other := misdirected(400)
	runHarness(t, func(w *harness) {
		for range 200 {
			w.send("POST", "/unsafe/", "x")
		}
		arrivals := 0
		for _, e := range w.endpoints {
			arrivals += e.count()
		}
		w.g.Expect(arrivals).To(BeNumerically("<=", 200+140))
	}, other...)
}

// misdirected returns scripts of n endpoints whose addresses now belong to other endpoints.
func misdirected(n int) [][]handler {
	var out [][]handler
	for range n {
		out = append(out, always(respond(421, "")))
	}
	return out
}

func TestRetriesLeaveBudgetForAnswersThatHaveBegun(t *testing.T) {
	g := NewWithT(t)
	b := proxy.NewBudget(0.2, 100, 10*time.Second, func() int { return 1 })
	now := time.Now()
	retries, resumes := 0, 0
	for b.Take("s", proxy.Retry, now) {
		retries++
	}
	for b.Take("s", proxy.Resume, now) {
		resumes++
	}
	g.Expect(resumes).To(BeNumerically(">=", 30))
	g.Expect(retries + resumes).To(BeNumerically("<=", 100))
}

// Guards against an exhausted budget that is not reported together with what it was used for.
func TestAnExhaustedBudgetIsReportedOnceASecond(t *testing.T) {
	g := NewWithT(t)
	b := proxy.NewBudget(0.2, 10, 10*time.Second, func() int { return 1 })
	now := time.Now()
	b.Request("s", now)
	g.Expect(b.Take("s", proxy.Retry, now)).To(BeTrue())
	g.Expect(b.Take("s", proxy.Hedge, now)).To(BeTrue())
	for b.Take("s", proxy.Resume, now) {
	}
	use, reported := b.ReportExhausted("s", now)
	g.Expect(reported).To(BeTrue())
	g.Expect(use).To(Equal(proxy.BudgetUse{Requests: 1, Retries: 1, Hedges: 1, Resumes: 6, Allowed: 0.85 * 10.2}))
	_, reported = b.ReportExhausted("s", now.Add(900*time.Millisecond))
	g.Expect(reported).To(BeFalse())
	_, reported = b.ReportExhausted("s", now.Add(time.Second))
	g.Expect(reported).To(BeTrue())
}

func TestAnEntryThatKnowsNoOthersUsesNoMoreThanItsShare(t *testing.T) {
	g := NewWithT(t)
	b := proxy.NewBudget(0.2, 100, 10*time.Second, func() int { return 0 })
	now := time.Now()
	for range 100 {
		b.Request("s", now)
	}
	repeats := 0
	for b.Take("s", proxy.Resume, now) {
		repeats++
	}
	g.Expect(repeats).To(BeNumerically("<=", 20))
	g.Expect(b.Take("s", proxy.Resume, now.Add(11*time.Second))).To(BeFalse(), "the window has passed")
}

func TestAStreamIsForwardedAndItsConnectionReused(t *testing.T) {
	runHarness(t, func(w *harness) {
		for range 2 {
			a := w.send("POST", "/stream/", "x")
			w.g.Expect(a.Code).To(Equal(200))
			w.g.Expect(a.Body.String()).To(Equal(stream(1, 2, 3)))
		}
		w.g.Expect(w.endpoints["e0"].request().Header.Get("Priority")).To(Equal("7"))
	}, always(events(50*time.Millisecond, end, 1, 2, 3)))
}

func TestAStreamResumesAtAnotherEndpointInTheSameResponse(t *testing.T) {
	for name, rest := range map[string]handler{
		"cut":                  raw(""),
		"cut inside an event":  raw("10\r\nid: 3\nda"),
		"silent":               hang,
		"ended inside a event": raw("5\r\nid: 3\r\n0\r\n\r\n"),
	} {
		t.Run(name, func(t *testing.T) {
			runHarness(t, func(w *harness) {
				a := w.send("POST", "/stream/", "x")
				w.g.Expect(a.aborted).To(BeFalse())
				w.g.Expect(a.Body.String()).To(Equal(stream(1, 2, 3, 4)))
				w.g.Expect(w.endpoints["e1"].request().Header.Get("Last-Event")).To(Equal("2"))
				w.g.Expect(w.endpoints["e1"].request().Header.Get("Priority")).To(Equal("5"), "higher than that of new streams")
				w.g.Expect(a.elapsed).To(BeNumerically("<=", time.Second))
			}, always(events(50*time.Millisecond, rest, 1, 2)), always(events(50*time.Millisecond, end, 3, 4)))
		})
	}
}

func TestAStreamThatCannotResumeIsAborted(t *testing.T) {
	runHarness(t, func(w *harness) {
		a := w.send("POST", "/once/", "x")
		w.g.Expect(a.aborted).To(BeTrue())
		w.g.Expect(a.Body.String()).To(Equal(stream(1)))
		w.g.Expect(w.endpoints["e1"].count()).To(BeZero())
	}, always(events(50*time.Millisecond, raw(""), 1)), always(events(0, end, 2)))
	runHarness(t, func(w *harness) {
		a := w.send("POST", "/stream/", "x")
		w.g.Expect(a.aborted).To(BeTrue(), "an error response must not be embedded in a stream")
		w.g.Expect(a.Body.String()).To(Equal(stream(1)))
	}, []handler{events(50*time.Millisecond, raw(""), 1), respond(500, "no")}, always(respond(500, "no")))
}

func TestASilentStreamIsNotAbandonedWhileItsEndpointSendsOnOthers(t *testing.T) {
	runHarness(t, func(w *harness) {
		done := make(chan response)
		go func() { done <- w.send("POST", "/stream/", "x") }()
		time.Sleep(10 * time.Millisecond)
		slow := w.send("POST", "/stream/", "x")
		w.g.Expect(slow.Body.String()).To(Equal(stream(7)))
		w.g.Expect(slow.elapsed).To(Equal(1100 * time.Millisecond))
		w.g.Expect((<-done).Body.String()).To(Equal(stream(1, 2, 3, 4, 5, 6)))
	}, []handler{events(300*time.Millisecond, end, 1, 2, 3, 4, 5, 6), events(1100*time.Millisecond, end, 7)})
}

func TestAStreamWhoseAnswerIsLostGoesOnElsewhereThoughItsEndpointTalks(t *testing.T) {
	for name, lost := range map[string]handler{"from the start": hang, "after an event": events(100*time.Millisecond, hang, 1)} {
		t.Run(name, func(t *testing.T) {
			runHarness(t, func(w *harness) {
				done := make(chan response)
				go func() { done <- w.send("POST", "/stream/", "x") }()
				time.Sleep(10 * time.Millisecond)
				a := w.send("POST", "/stream/", "x")
				w.g.Expect(a.aborted).To(BeFalse())
				w.g.Expect(a.Body.String()).To(HaveSuffix(stream(9)))
				w.g.Expect(a.elapsed).To(BeNumerically("<", 1500*time.Millisecond))
				w.g.Expect((<-done).Body.String()).To(Equal(stream(1, 2, 3, 4, 5, 6)))
			}, []handler{events(300*time.Millisecond, end, 1, 2, 3, 4, 5, 6), lost}, always(events(0, end, 9)))
		})
	}
}

func TestAStreamThatHasBegunGoesOnAtAFullEndpointRatherThanBeCut(t *testing.T) {
	runHarness(t, func(w *harness) {
		w.balancer.SetPreferred(map[string]bool{"e1": true})
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		for range 3 {
			go w.sendWithContext(ctx, "POST", "/stream/", "x", "Key", "secret")
			time.Sleep(time.Millisecond)
		}
		w.balancer.SetPreferred(map[string]bool{"e0": true})
		a := w.send("POST", "/stream/", "x")
		w.g.Expect(a.aborted).To(BeFalse())
		w.g.Expect(a.Body.String()).To(Equal(stream(1, 2, 3)))
	}, always(events(50*time.Millisecond, raw(""), 1)), []handler{hang, hang, hang, events(50*time.Millisecond, end, 2, 3)})
}

func TestAStreamKeepsWaitingWhenNoOtherEndpointHasRoom(t *testing.T) {
	runHarness(t, func(w *harness) {
		done := make(chan response)
		go func() { done <- w.send("POST", "/stream/", "x") }()
		time.Sleep(10 * time.Millisecond)
		a := w.send("POST", "/stream/", "x")
		w.g.Expect(a.Body.String()).To(Equal(stream(7)))
		w.g.Expect(a.elapsed).To(Equal(1500 * time.Millisecond))
		<-done
	}, []handler{events(300*time.Millisecond, end, 1, 2, 3, 4, 5, 6, 7, 8, 9), events(1500*time.Millisecond, end, 7)})
}

func TestAStreamThatWaitsAtOldWeightsIsWithdrawnInTime(t *testing.T) {
	runHarness(t, func(w *harness) {
		time.AfterFunc(200*time.Millisecond, func() {
			w.minVersion.Store(2)
			w.balancer.ApplyAnnouncement(balance.Announcement{Addr: "e1", PausedUntil: time.Now(), Weights: roster.Weights{Model: "m", Version: 2}})
		})
		a := w.send("POST", "/stream/", "x")
		w.g.Expect(a.Body.String()).To(Equal(stream(1)))
		w.g.Expect(a.elapsed).To(BeNumerically("<", 500*time.Millisecond))
	}, always(hang), always(events(0, end, 1)))
}

func TestTheRestOfAStreamThatWaitsAtOldWeightsIsWithdrawnInTime(t *testing.T) {
	runHarness(t, func(w *harness) {
		time.AfterFunc(300*time.Millisecond, func() { w.minVersion.Store(2) })
		a := w.send("POST", "/stream/", "x")
		w.g.Expect(a.aborted).To(BeTrue())
		w.g.Expect(a.Body.String()).To(Equal(stream(1)))
		w.g.Expect(a.elapsed).To(BeNumerically("<", 500*time.Millisecond))
		w.g.Expect(w.endpoints["e1"].count()).To(Equal(1))
	}, always(events(50*time.Millisecond, raw(""), 1)), always(hang))
}

func TestTheRestOfAStreamThatHasBegunOnOldWeightsGoesOn(t *testing.T) {
	runHarness(t, func(w *harness) {
		time.AfterFunc(300*time.Millisecond, func() { w.minVersion.Store(2) })
		a := w.send("POST", "/stream/", "x")
		w.g.Expect(a.Body.String()).To(Equal(stream(1, 2, 3, 4)))
	}, always(events(50*time.Millisecond, raw(""), 1)), always(events(150*time.Millisecond, end, 2, 3, 4)))
}

func TestACallerThatDisconnectsEndsTheRequestAtTheEndpoint(t *testing.T) {
	ended := make(chan time.Time, 1)
	runHarness(t, func(w *harness) {
		ended = make(chan time.Time, 1)
		ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
		defer cancel()
		began := time.Now()
		a := w.sendWithContext(ctx, "POST", "/stream/", "x", "Key", "secret")
		w.g.Expect(a.elapsed).To(Equal(300 * time.Millisecond))
		w.g.Expect((<-ended).Sub(began)).To(Equal(300 * time.Millisecond))
		w.g.Expect(w.balancer.InFlight()).To(BeEmpty())
	}, always(func(c net.Conn, r *http.Request) bool {
		hang(c, r)
		ended <- time.Now()
		return false
	}))
}

func TestRequestsToFullEndpointsAreRefusedAtOnceWithARetryTime(t *testing.T) {
	runHarness(t, func(w *harness) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		for range 3 {
			go w.sendWithContext(ctx, "POST", "/stream/", "x", "Key", "secret")
		}
		time.Sleep(time.Millisecond)
		for draw, want := range map[int64]string{0: "0.400", 500: "1.200", 999: "1.998"} {
			w.randomMilli.Store(draw)
			a := w.send("POST", "/stream/", "x")
			w.g.Expect(a.Code).To(Equal(503))
			w.g.Expect(a.elapsed).To(BeZero())
			w.g.Expect(a.Header().Get("Retry-After")).To(Equal(want))
		}
		w.g.Expect(w.endpoints["e0"].count()).To(Equal(3))
	}, always(hang))
}

func TestTheRetryTimeFitsTheCallersDeadline(t *testing.T) {
	for deadline, want := range map[string]string{"6000": "2.000", "3000": "1.000", "600": "0.300"} {
		t.Run(deadline, func(t *testing.T) {
			runHarness(t, func(w *harness) {
				w.randomMilli.Store(1000)
				a := w.send("POST", "/stream/", "x", "Model", "another", "Deadline", deadline)
				w.g.Expect(a.Code).To(Equal(503))
				w.g.Expect(a.elapsed).To(BeZero())
				w.g.Expect(a.Header().Get("Retry-After")).To(Equal(want))
			}, always(hang))
		})
	}
}

// Guards against callers of long answers who return when these can't end any more.
func TestTheRetryTimeLeavesALongAnswerItsTime(t *testing.T) {
	// In a full batch 220 tokens take 1,727 ms: 40 ms of prefill and 22 passes of 50 ms, during which others prefill for 8 in 15 of the time. 10,000 can't end, whenever their caller returns.
	third := 667 * time.Millisecond
	for hint, want := range map[string]time.Duration{"30": third, "220": (2000 - 1727) * time.Millisecond, "10000": third} {
		t.Run(hint, func(t *testing.T) {
			runHarness(t, func(w *harness) {
				w.useEngine()
				w.randomMilli.Store(1000)
				a := w.send("POST", "/stream/", "x", "Model", "another", "Tokens", "1000,20000", "Hint", hint, "Deadline", "2000")
				w.g.Expect(a.Code).To(Equal(503))
				after, err := time.ParseDuration(a.Header().Get("Retry-After") + "s")
				w.g.Expect(err).NotTo(HaveOccurred())
				w.g.Expect(after).To(BeNumerically("~", want, time.Millisecond))
			}, always(hang))
		})
	}
}

func TestAStoppingGatewayClosesItsConnections(t *testing.T) {
	runHarness(t, func(w *harness) {
		w.proxy.BeginShutdown(time.Now().Add(time.Minute))
		a := w.send("POST", "/unsafe/", "x")
		w.g.Expect(a.Code).To(Equal(200))
		w.g.Expect(a.Header().Get("Connection")).To(Equal("close"))
	}, always(respond(200, "done")))
}

func TestAStreamWithAShorterLatencyTargetHasPriorityWithinItsRank(t *testing.T) {
	runHarness(t, func(w *harness) {
		w.send("POST", "/brief/", "x")
		w.g.Expect(w.endpoints["e0"].request().Header.Get("Priority")).To(Equal("6"))
	}, always(events(50*time.Millisecond, end, 1, 2, 3)))
}

func TestAStreamThatWouldBeginTooLateIsToldToComeBack(t *testing.T) {
	runHarness(t, func(w *harness) {
		config := configuration()
		config.Revision, config.Version = 2, 2
		// A request finishes every 600 ms, so none may queue behind the two that are running.
		config.Services["s"].Engine = &routes.Engine{Slots: 2, StepTime: 60 * time.Millisecond, Stride: 1, MeanAnswerTokens: 20}
		w.proxy.SetConfig(config)
		for range 2 {
			go w.send("POST", "/stream/", "x")
		}
		time.Sleep(time.Millisecond)
		a := w.send("POST", "/stream/", "x")
		w.g.Expect(a.Code).To(Equal(http.StatusServiceUnavailable))
		w.g.Expect(a.Header().Get("Retry-After")).NotTo(BeEmpty())
		time.Sleep(10 * time.Second)
	}, always(events(50*time.Millisecond, end, 1, 2, 3)))
}
