package proxy_test

import (
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/silverdeck/silverdeck/verdict"
)

// What users saw: streams were cut by planned stops, some of them seconds after they had
// been taken.
//
// Order of events: a gateway that is told to stop takes requests for 3 s, for callers that
// keep its address. Streams may last 6 s; after 7.6 s the process ends, whatever is left.
//
// Cause: requests were taken that the process could not wait for, and those without an
// answer at the end got none. The evidence: 26 streams of one soak were cut 7.7 s after the
// signal, sent 1.9 to 2.9 s after it.
func TestALeavingGatewayTakesOnlyWhatEndsBeforeItDoes(t *testing.T) {
	for name, c := range map[string]struct {
		path, deadline string
		want           int
	}{
		"a stream that may last longer":       {"/stream/", "6000", 503},
		"a stream of a caller with less time": {"/stream/", "2000", 200},
		"one with a little more":              {"/stream/", "2001", 503},
		"a plain request":                     {"/unsafe/", "1500", 200},
	} {
		t.Run(name, func(t *testing.T) {
			play(t, func(w *world) {
				w.proxy.Leave(time.Now().Add(2 * time.Second))
				a := w.ask("POST", c.path, "x", "Deadline", c.deadline)
				w.g.Expect(a.Code).To(Equal(c.want))
				w.g.Expect(a.Header().Get("Connection")).To(Equal("close"))
				if c.want == http.StatusServiceUnavailable {
					w.g.Expect(a.took).To(BeZero(), "at once")
					w.g.Expect(a.Header().Get("Retry-After")).To(Equal("0.300"), "another gateway has room")
					w.g.Expect(a.Header().Get(verdict.Header)).To(Equal("not-run"))
					w.g.Expect(w.endpoints["e0"].count()).To(BeZero())
				}
			}, always(events(50*time.Millisecond, end, 1)))
		})
	}
}

func TestWhatHasNoAnswerWhenTheGatewayEndsGetsOne(t *testing.T) {
	const ends = 500 * time.Millisecond
	for _, path := range []string{"/stream/", "/safe/", "/unsafe/"} {
		t.Run(path, func(t *testing.T) {
			play(t, func(w *world) {
				time.AfterFunc(ends, w.proxy.End)
				a := w.ask("POST", path, "x", "Deadline", "1000")
				w.g.Expect(a.cut).To(BeFalse())
				w.g.Expect(a.Code).To(Equal(http.StatusGatewayTimeout))
				w.g.Expect(a.took).To(Equal(ends))
				w.g.Expect(a.Header().Get(verdict.Header)).To(Equal("may-have-run"))
				w.g.Expect(w.balancer.InFlight()).To(BeEmpty())
				w.proxy.Leave(time.Now())
				a = w.ask("POST", path, "x", "Deadline", "1000")
				w.g.Expect(a.Code).To(Equal(http.StatusServiceUnavailable), "nothing begins after that")
				w.g.Expect(a.Header().Get(verdict.Header)).To(Equal("not-run"))
			}, always(hang))
		})
	}
	play(t, func(w *world) {
		time.AfterFunc(ends, w.proxy.End)
		a := w.ask("POST", "/stream/", "x")
		w.g.Expect(a.cut).To(BeTrue(), "it must not look whole")
		w.g.Expect(a.took).To(Equal(ends))
	}, always(events(50*time.Millisecond, hang, 1)))
}
