package proxy_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/silverdeck/silverdeck/gateway/balance"
	"github.com/silverdeck/silverdeck/roster"
)

// announceLoaded sends the announcement of a sidecar whose endpoint now runs version 2.
func (w *harness) announceLoaded(id string) {
	w.balancer.ApplyAnnouncement(balance.Announcement{Addr: id, Weights: roster.Weights{Model: "m", Version: 2}})
}

// announcePause announces that an endpoint is about to load weights.
func (w *harness) announcePause(id string, d time.Duration) {
	w.balancer.ApplyAnnouncement(balance.Announcement{Addr: id, PausedUntil: time.Now().Add(d)})
}

// Guards against resuming a stream that was cut by a load at an endpoint that is the next to
// load the same version, which cuts the stream again.
func TestTheRestOfAStreamGoesWhereWeightsAreNew(t *testing.T) {
	runHarness(t, func(w *harness) {
		w.newest.Store(2)
		w.announceLoaded("e2")
		a := w.send("POST", "/stream/", "x")
		w.g.Expect(a.Body.String()).To(Equal(stream(1, 2)))
		w.g.Expect(w.endpoints["e1"].count()).To(BeZero())
		w.g.Expect(w.endpoints["e2"].resumeCount()).To(Equal(1))
	}, always(events(0, raw(""), 1)), always(events(0, end, 2)), always(events(0, end, 2)))
}

// Guards against resuming a stream at an endpoint that has announced that it is about to load
// weights.
func TestTheRestOfAStreamWaitsForALoad(t *testing.T) {
	for name, c := range map[string]struct{ pause, loaded, want time.Duration }{
		"until it is over":             {5 * time.Second, 250 * time.Millisecond, 300 * time.Millisecond},
		"not beyond what callers bear": {5 * time.Second, 4 * time.Second, time.Second},
		"not where there is none":      {0, 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			runHarness(t, func(w *harness) {
				w.announcePause("e1", c.pause)
				time.AfterFunc(c.loaded, func() { w.announceLoaded("e1") })
				began := time.Now()
				a := w.send("POST", "/stream/", "x")
				w.g.Expect(a.Body.String()).To(Equal(stream(1, 2)))
				w.g.Expect(w.endpoints["e1"].arrivals()[0].Sub(began)).To(Equal(c.want))
			}, always(events(0, raw(""), 1)), always(events(0, end, 2)))
		})
	}
}

// Guards against losing a stream because both endpoints that the route allows load weights: both
// cut the stream, and it may not resume on their old weights.
func TestTheRestOfAStreamReturnsToAnEndpointThatHasLoaded(t *testing.T) {
	for name, loads := range map[string]string{"the first one": "e0", "the one that cut it last": "e1"} {
		t.Run(name, func(t *testing.T) {
			runHarness(t, func(w *harness) {
				time.AfterFunc(15*time.Millisecond, func() {
					w.minVersion.Store(2)
					w.announcePause("e0", time.Second)
					w.announcePause("e1", time.Second)
				})
				time.AfterFunc(250*time.Millisecond, func() { w.announceLoaded(loads) })
				a := w.send("POST", "/stream/", "x")
				w.g.Expect(a.aborted).To(BeFalse())
				w.g.Expect(a.Body.String()).To(Equal(stream(1, 2, 3)))
				w.g.Expect(a.elapsed).To(BeNumerically("<", 500*time.Millisecond))
			}, []handler{events(10*time.Millisecond, raw(""), 1), events(0, end, 3)},
				[]handler{events(10*time.Millisecond, raw(""), 2), events(0, end, 3)})
		})
	}
}
