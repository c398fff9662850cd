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
	// maxRequests is the largest number of requests that an endpoint with two slots is given.
	maxRequests = 3
	// callerTimeout is the timeout that callers send with their first try.
	callerTimeout = 6 * time.Second
	// occupyTime is the duration of streams on the route "stream", see occupyHandler. It is
	// shorter than the time for which a service counts as full after a refusal, and longer than
	// half of it.
	occupyTime = 400 * time.Millisecond
	// occupyWait is the time after which the slots of these streams are free again.
	occupyWait = occupyTime + 10*time.Millisecond
)

// occupyHandler serves the route "stream" after occupyTime and other routes at once.
func occupyHandler(c net.Conn, r *http.Request) bool {
	if strings.HasPrefix(r.RequestURI, "/stream/") {
		return events(occupyTime, end, 1)(c, r)
	}
	return events(0, end, 1)(c, r)
}

// occupy starts n streams that last for occupyTime.
func (w *harness) occupy(n int) {
	for range n {
		go w.send(http.MethodPost, "/stream/x", "", "Deadline", "6000")
	}
	synctest.Wait()
}

// statusFor returns the response status for a caller with the given remaining time.
func (w *harness) statusFor(left time.Duration, header ...string) int {
	header = append([]string{"Deadline", strconv.FormatInt(left.Milliseconds(), 10)}, header...)
	return w.send(http.MethodPost, "/brief/x", "", header...).Code
}

func TestLateCallersTakeOnlySpareLoadWhileOthersAreRefused(t *testing.T) {
	const ok, refused = http.StatusOK, http.StatusServiceUnavailable
	runHarness(t, func(w *harness) {
		w.g.Expect(w.statusFor(callerTimeout)).To(Equal(ok))
		w.occupy(maxRequests - 1)
		w.g.Expect(w.statusFor(callerTimeout-time.Second)).To(Equal(ok), "no caller was refused yet")
		w.occupy(1)
		w.g.Expect(w.statusFor(callerTimeout-time.Second)).To(Equal(refused), "the endpoint is full for all callers")
		time.Sleep(2 * occupyWait)

		w.occupy(maxRequests - 1)
		w.g.Expect(w.statusFor(callerTimeout-time.Second)).To(Equal(ok), "the refusal of a late caller does not count")
		w.occupy(1)
		w.g.Expect(w.statusFor(callerTimeout)).To(Equal(refused))
		time.Sleep(occupyWait)

		w.occupy(maxRequests - 1)
		w.g.Expect(w.statusFor(callerTimeout)).To(Equal(ok), "in time")
		w.g.Expect(w.statusFor(callerTimeout-200*time.Millisecond)).To(Equal(ok), "a retry within the latency target of 0.3 s")
		w.g.Expect(w.statusFor(callerTimeout-300*time.Millisecond)).To(Equal(refused), "late")
		w.g.Expect(w.statusFor(callerTimeout-time.Second, "Last-Event", "7")).To(Equal(ok), "a resumed response")
		w.g.Expect(w.send(http.MethodPost, "/brief/x", "").Code).To(Equal(ok), "the caller sends no deadline")
		time.Sleep(occupyWait)

		w.occupy(1)
		w.g.Expect(w.statusFor(callerTimeout-time.Second)).To(Equal(ok), "spare load")
		time.Sleep(2 * occupyWait)
		w.occupy(maxRequests - 1)
		w.g.Expect(w.statusFor(callerTimeout-time.Second)).To(Equal(ok), "no caller was refused recently")
		time.Sleep(occupyWait)
	}, always(occupyHandler))
}
