package proxy_test

import (
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"

	"github.com/silverdeck/silverdeck/gateway/balance"
	"github.com/silverdeck/silverdeck/gateway/proxy"
	"github.com/silverdeck/silverdeck/gateway/work"
	"github.com/silverdeck/silverdeck/routes"
)

// useEngine makes the engine's figures known. It makes 10 tokens of each answer in 50 ms, and
// prefills 1,000 tokens in 40 ms.
func (w *harness) useEngine() {
	config := configuration()
	config.Revision, config.Version = 2, 2
	engine := &routes.Engine{
		Slots: 2, StepTime: 5 * time.Millisecond, Stride: 10,
		PrefillTokensPerSecond: 25000, MeanPromptTokens: 1000, MeanAnswerTokens: 30,
	}
	config.Services["s"].Engine = engine
	w.balancer.SetServices(map[string]work.Service{"s": {Engine: engine, GapTarget: 300 * time.Millisecond}})
	w.proxy.SetConfig(config)
}

// announcePace announces the pace of an endpoint.
func (w *harness) announcePace(id string, pace float64) {
	w.balancer.ApplyAnnouncement(balance.Announcement{Addr: id, Pace: pace, ReceivedAt: time.Now()})
}

// Guards against endpoints that run streams of which nothing is left when their deadline comes. A
// caller states the longest answer that it takes, which says little of the one that it gets.
func TestAStreamThatNoEndpointCanFinishIsRefusedAtOnce(t *testing.T) {
	// A quarter of 400 tokens takes 40 ms of prefill and 10 passes of 50 ms.
	for name, c := range map[string]struct {
		header []string
		sent   bool
	}{
		"with a guess":                      {[]string{"Tokens", "1000,800", "Hint", "400", "Deadline", "539"}, false},
		"with just enough time":             {[]string{"Tokens", "1000,800", "Hint", "400", "Deadline", "541"}, true},
		"with a bound alone":                {[]string{"Tokens", "1000,800", "Deadline", "539"}, true},
		"with nothing stated":               {[]string{"Deadline", "539"}, true},
		"with a guess above the bound":      {[]string{"Tokens", "1000,100", "Hint", "400", "Deadline", "539"}, true},
		"with a guess that is no number":    {[]string{"Tokens", "1000,800", "Hint", "long", "Deadline", "539"}, true},
		"with a prompt that takes too long": {[]string{"Tokens", "20000,800", "Deadline", "539"}, false},
		"of a caller that resumes":          {[]string{"Tokens", "1000,800", "Hint", "400", "Deadline", "539", "Last-Event", "3"}, true},
	} {
		t.Run(name, func(t *testing.T) {
			runHarness(t, func(w *harness) {
				w.useEngine()
				a := w.send("POST", "/stream/", "x", c.header...)
				if c.sent {
					w.g.Expect(a.Code).To(Equal(http.StatusOK))
					return
				}
				w.g.Expect(a.Code).To(Equal(http.StatusServiceUnavailable))
				w.g.Expect(a.elapsed).To(BeZero())
				w.g.Expect(a.Header().Get("Retry-After")).To(Equal("0.539"), "a return before the deadline would be in vain")
				w.g.Expect(w.endpoints["e0"].count()).To(BeZero())
				w.g.Expect(w.metrics.TooLate.Count()).To(BeEquivalentTo(1))
				w.g.Expect(w.logs.withMessage("not answered")).To(ConsistOf(
					And(HaveKeyWithValue("code", "too_late"), HaveKeyWithValue("verdict", "not-run"))))
			}, always(events(10*time.Millisecond, end, 1, 2)))
		})
	}
}

// Guards against running a long answer on a slow endpoint until its deadline.
func TestALongStreamGoesToAnEndpointThatCanFinishIt(t *testing.T) {
	for hint, want := range map[string]string{"600": "e1", "30": "e0"} {
		t.Run(hint, func(t *testing.T) {
			runHarness(t, func(w *harness) {
				w.useEngine()
				w.announcePace("e0", 2.5)
				w.announcePace("e1", 1)
				if want == "e0" {
					w.setDown("e1", true)
				}
				a := w.send("POST", "/stream/", "x", "Tokens", "1000,800", "Hint", hint, "Deadline", "5000")
				w.g.Expect(a.Code).To(Equal(http.StatusOK))
				w.g.Expect(w.endpoints[want].count()).To(Equal(1))
			}, always(events(10*time.Millisecond, end, 1, 2)), always(events(10*time.Millisecond, end, 1, 2)))
		})
	}
}

// Guards against giving up what a caller already has: the rest of a stream is sent on even if it may
// not end in time.
func TestAStreamThatHasBegunIsResumedHoweverLittleTimeIsLeft(t *testing.T) {
	runHarness(t, func(w *harness) {
		w.useEngine()
		a := w.send("POST", "/stream/", "x", "Tokens", "1000,800", "Hint", "400", "Deadline", "1000")
		w.g.Expect(a.Body.String()).To(Equal(stream(1, 2)))
		w.g.Expect(w.endpoints["e1"].count()).To(Equal(1))
	}, always(events(900*time.Millisecond, raw(""), 1)), always(events(10*time.Millisecond, end, 2)))
}

// Guards against a retry that only costs an endpoint its time.
func TestARetryThatCannotEndInTimeIsNotSent(t *testing.T) {
	refuseLate := func(c net.Conn, r *http.Request) bool {
		time.Sleep(600 * time.Millisecond)
		return respond(http.StatusServiceUnavailable, "", "Not-Run: 1")(c, r)
	}
	runHarness(t, func(w *harness) {
		w.useEngine()
		a := w.send("POST", "/once/", "x", "Tokens", "1000,800", "Hint", "400", "Deadline", "1000")
		w.g.Expect(a.Code).To(Equal(http.StatusServiceUnavailable))
		w.g.Expect(a.elapsed).To(Equal(600 * time.Millisecond))
		w.g.Expect(w.endpoints["e1"].count()).To(BeZero())
	}, always(refuseLate), always(events(10*time.Millisecond, end, 1)))
}

func TestStreamsAreComparedWithWhatWasExpected(t *testing.T) {
	runHarness(t, func(w *harness) {
		w.useEngine()
		// 40 ms of prefill and a pass are expected before the first event, then two passes.
		w.send("POST", "/stream/", "x", "Tokens", "1000,800", "Hint", "30")
		w.g.Expect(w.metrics.AllRatios.FirstEvent.Mean()).To(Equal(200.0))
		w.g.Expect(w.metrics.AllRatios.End.Mean()).To(BeNumerically("~", 100*540/190, 1))
		w.g.Expect(w.metrics.AllRatios.End.Count()).To(BeEquivalentTo(1))
		w.g.Expect(w.metrics.RouteRatios.Of("stream").FirstEvent.Mean()).To(Equal(200.0))
		w.g.Expect(w.metrics.RouteRatios.Of("stream").End.Count()).To(BeEquivalentTo(1))
		w.g.Expect(w.metrics.RouteRatios.Of("brief").End.Count()).To(BeZero())
	}, always(events(180*time.Millisecond, end, 1, 2, 3)))
}

// Guards against a configuration with many routes that takes the memory of the gateway.
func TestTheRoutesThatAreToldApartAreBounded(t *testing.T) {
	g := NewWithT(t)
	registry := metrics.NewRegistry()
	ratios := proxy.NewMetrics(registry).RouteRatios
	count := func() (n int) {
		registry.Each(func(string, any) { n++ })
		return n
	}
	before := count()
	first := ratios.Of("route-0")
	for i := range 1000 {
		ratios.Of(fmt.Sprintf("route-%d", i)).End.Update(1)
	}
	g.Expect(count() - before).To(Equal(2 * 24))
	g.Expect(ratios.Of("route-0")).To(BeIdenticalTo(first), "those that came first stay")
	g.Expect(first.End.Count()).To(BeEquivalentTo(1))
	g.Expect(ratios.Of("other").End.Count()).To(BeEquivalentTo(1000 - 24))
	g.Expect(ratios.Of(`route 0"`)).To(BeIdenticalTo(ratios.Of("other")))
	g.Expect(registry.Get("gateway.route.route_0.end_expected_percent")).NotTo(BeNil())
}
