package proxy_test

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/silverdeck/silverdeck/gateway/poison"
	"github.com/silverdeck/silverdeck/roster"
)

// unmarked returns a handler that sends a response with neither a length nor chunks, and then calls rest.
func unmarked(rest handler, contentType, body string) handler {
	return func(c net.Conn, r *http.Request) bool {
		unframed(http.StatusOK, contentType, body)(c, r)
		return rest(c, r)
	}
}

// unmarkedEvents streams the events 1 to 3, or the requested rest of them, without a mark of the end.
func unmarkedEvents(c net.Conn, r *http.Request) bool {
	from := 1
	if last, err := strconv.Atoi(r.Header.Get("Last-Event")); err == nil {
		from = last + 1
	}
	_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nStamp: st\r\n\r\n", r.Header.Get("Id"))
	for id := from; id <= 3; id++ {
		time.Sleep(20 * time.Millisecond)
		if _, err := fmt.Fprint(c, stream(id)); err != nil {
			return false
		}
	}
	return false
}

// TestAnAnswerWithoutAMarkThatACrashCutIsNotPassedOnAsWhole guards against a cut answer that looks complete to its caller.
func TestAnAnswerWithoutAMarkThatACrashCutIsNotPassedOnAsWhole(t *testing.T) {
	for _, tc := range []struct {
		name, path, contentType, body string
		// status is the status that the caller gets, and want the body of a complete response; the response
		// is aborted if want is empty.
		status int
		want   string
	}{
		{"a stream", "/once/", eventsType, stream(1, 2), 200, ""},
		{"a stream that may be resumed", "/stream/", eventsType, stream(1, 2), 200, stream(1, 2, 3)},
		{"a plain answer", "/unsafe/", textType, "hel", 502, ""},
		{"a plain answer that may be repeated", "/safe/", textType, "hel", 200, stream(1, 2, 3)},
	} {
		t.Run(tc.name, func(t *testing.T) {
			runHarness(t, func(w *harness) {
				w.endpoints["e0"].script = always(unmarked(w.crash("e0"), tc.contentType, tc.body))
				got := w.send("POST", tc.path, "")
				w.g.Expect(got.Code).To(Equal(tc.status))
				switch {
				case tc.want != "":
					w.g.Expect(got.aborted).To(BeFalse())
					w.g.Expect(got.Body.String()).To(Equal(tc.want))
				case tc.status == http.StatusOK:
					w.g.Expect(got.aborted).To(BeTrue())
				}
				w.g.Expect(w.logs.withMessage("endpoint ended")).To(HaveLen(1))
			}, always(hang), always(unmarkedEvents))
		})
	}
}

// TestTheConnectionThatShowsALiveEndpointIsUsedAgain guards against a further connection for each answer without a mark.
func TestTheConnectionThatShowsALiveEndpointIsUsedAgain(t *testing.T) {
	runHarness(t, func(w *harness) {
		const asked = 5
		for range asked {
			got := w.send("POST", "/stream/", "")
			w.g.Expect(got.aborted).To(BeFalse())
			w.g.Expect(got.Body.String()).To(Equal(stream(1, 2, 3)))
		}
		w.g.Expect(w.dials.Load()).To(BeNumerically("<=", asked+1))
	}, always(unmarkedEvents))
}

// TestAnAnswerWithoutAMarkFromASilentEndpointClearsNothing guards against an exoneration without evidence.
func TestAnAnswerWithoutAMarkFromASilentEndpointClearsNothing(t *testing.T) {
	for _, silent := range []bool{false, true} {
		runHarness(t, func(w *harness) {
			suspects := &poison.Suspects{Request: &poison.Request{Method: "POST", URI: "/other"}, Parts: []poison.Key{partID("shared").Key("s")}}
			w.poison.RecordCrash(suspects, roster.Incarnation{ID: "gone"}, time.Now())
			time.Sleep(time.Millisecond)
			w.endpoints["e0"].script = always(func(c net.Conn, r *http.Request) bool {
				w.unreachable.Store(silent)
				return unframed(200, eventsType, stream(1, 2))(c, r)
			})
			got := w.send("POST", "/once/", "", "Parts", "shared,own")
			w.g.Expect(got.aborted).To(BeFalse())
			want := poison.Clear
			if silent {
				want = poison.Suspected
			}
			w.g.Expect(w.poison.State(suspects.Parts[0])).To(Equal(want))
		}, always(hang))
	}
}
