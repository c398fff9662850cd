package proxy_test

import (
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
)

const (
	// full is how many requests an endpoint of two slots is given at the most.
	full = 3
	// whole is how long callers wait at their first try.
	whole = 6 * time.Second
	// occupied is how long streams of the route "stream" take, see occupiable: less than a
	// service counts as full after a refusal, and more than half of that.
	occupied = 400 * time.Millisecond
	// freed is when their slots are free again for sure.
	freed = occupied + 10*time.Millisecond
)

// occupiable answers the route "stream" after a while and others at once.
func occupiable(c net.Conn, r *http.Request) bool {
	if strings.HasPrefix(r.RequestURI, "/stream/") {
		return events(occupied, end, 1)(c, r)
	}
	return events(0, end, 1)(c, r)
}

// occupy begins n streams that go on for a while.
func (w *world) occupy(n int) {
	for range n {
		go w.ask(http.MethodPost, "/stream/x", "", "Deadline", "6000")
	}
	synctest.Wait()
}

// status returns the answer's status to a caller who has so much of its time left.
func (w *world) status(left time.Duration, header ...string) int {
	header = append([]string{"Deadline", strconv.FormatInt(left.Milliseconds(), 10)}, header...)
	return w.ask(http.MethodPost, "/brief/x", "", header...).Code
}

func TestLateCallersTakeOnlySpareLoadWhileOthersAreRefused(t *testing.T) {
	const ok, refused = http.StatusOK, http.StatusServiceUnavailable
	play(t, func(w *world) {
		w.g.Expect(w.status(whole)).To(Equal(ok))
		w.occupy(full - 1)
		w.g.Expect(w.status(whole-time.Second)).To(Equal(ok), "nobody was refused yet")
		w.occupy(1)
		w.g.Expect(w.status(whole-time.Second)).To(Equal(refused), "it is full for all")
		time.Sleep(2 * freed)

		w.occupy(full - 1)
		w.g.Expect(w.status(whole-time.Second)).To(Equal(ok), "the refusal of a late caller does not count")
		w.occupy(1)
		w.g.Expect(w.status(whole)).To(Equal(refused))
		time.Sleep(freed)

		w.occupy(full - 1)
		w.g.Expect(w.status(whole)).To(Equal(ok), "in time")
		w.g.Expect(w.status(whole-200*time.Millisecond)).To(Equal(ok), "back within its target of 0.3 s")
		w.g.Expect(w.status(whole-300*time.Millisecond)).To(Equal(refused), "late")
		w.g.Expect(w.status(whole-time.Second, "Last-Event", "7")).To(Equal(ok), "the rest of an answer")
		w.g.Expect(w.ask(http.MethodPost, "/brief/x", "").Code).To(Equal(ok), "tells no time")
		time.Sleep(freed)

		w.occupy(1)
		w.g.Expect(w.status(whole-time.Second)).To(Equal(ok), "spare load")
		time.Sleep(2 * freed)
		w.occupy(full - 1)
		w.g.Expect(w.status(whole-time.Second)).To(Equal(ok), "nobody was refused of late")
		time.Sleep(freed)
	}, always(occupiable))
}
