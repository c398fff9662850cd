package proxy_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/silverdeck/silverdeck/gateway/balance"
	"github.com/silverdeck/silverdeck/roster"
)

// announceLoaded tells what the process beside an endpoint tells once that runs version 2.
func (w *world) announceLoaded(id string) {
	w.balancer.ApplyAnnouncement(balance.Announcement{Addr: id, Weights: roster.Weights{Model: "m", Version: 2}})
}

// announcePause tells that an endpoint is about to load weights.
func (w *world) announcePause(id string, d time.Duration) {
	w.balancer.ApplyAnnouncement(balance.Announcement{Addr: id, PausedUntil: time.Now().Add(d)})
}

// Guards against the rest of a stream, cut by a load, that goes to an endpoint which loads
// the same version next and cuts it once more.
func TestTheRestOfAStreamGoesWhereWeightsAreNew(t *testing.T) {
	play(t, func(w *world) {
		w.newest.Store(2)
		w.announceLoaded("e2")
		a := w.ask("POST", "/stream/", "x")
		w.g.Expect(a.Body.String()).To(Equal(stream(1, 2)))
		w.g.Expect(w.endpoints["e1"].count()).To(BeZero())
		w.g.Expect(w.endpoints["e2"].rests()).To(Equal(1))
	}, always(events(0, raw(""), 1)), always(events(0, end, 2)), always(events(0, end, 2)))
}

// Guards against the rest of a stream that goes to an endpoint which has said that it is
// about to load weights.
func TestTheRestOfAStreamWaitsForALoad(t *testing.T) {
	for name, c := range map[string]struct{ pause, loaded, want time.Duration }{
		"until it is over":             {5 * time.Second, 250 * time.Millisecond, 300 * time.Millisecond},
		"not beyond what callers bear": {5 * time.Second, 4 * time.Second, time.Second},
		"not where there is none":      {0, 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			play(t, func(w *world) {
				w.announcePause("e1", c.pause)
				time.AfterFunc(c.loaded, func() { w.announceLoaded("e1") })
				began := time.Now()
				a := w.ask("POST", "/stream/", "x")
				w.g.Expect(a.Body.String()).To(Equal(stream(1, 2)))
				w.g.Expect(w.endpoints["e1"].arrivals()[0].Sub(began)).To(Equal(c.want))
			}, always(events(0, raw(""), 1)), always(events(0, end, 2)))
		})
	}
}

// Guards against a stream that is lost because both endpoints that it may be sent to load
// weights: both cut it, and their old weights may not be used any more.
func TestTheRestOfAStreamReturnsToAnEndpointThatHasLoaded(t *testing.T) {
	for name, loads := range map[string]string{"the first one": "e0", "the one that cut it last": "e1"} {
		t.Run(name, func(t *testing.T) {
			play(t, func(w *world) {
				time.AfterFunc(15*time.Millisecond, func() {
					w.minVersion.Store(2)
					w.announcePause("e0", time.Second)
					w.announcePause("e1", time.Second)
				})
				time.AfterFunc(250*time.Millisecond, func() { w.announceLoaded(loads) })
				a := w.ask("POST", "/stream/", "x")
				w.g.Expect(a.cut).To(BeFalse())
				w.g.Expect(a.Body.String()).To(Equal(stream(1, 2, 3)))
				w.g.Expect(a.took).To(BeNumerically("<", 500*time.Millisecond))
			}, []step{events(10*time.Millisecond, raw(""), 1), events(0, end, 3)},
				[]step{events(10*time.Millisecond, raw(""), 2), events(0, end, 3)})
		})
	}
}
