package proxy_test

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"

	"github.com/silverdeck/silverdeck/gateway/proxy"
)

// stalledCaller is the connection of a caller that reads nothing: a write ends with its deadline.
type stalledCaller struct {
	*httptest.ResponseRecorder
	deadline time.Time
}

// SetWriteDeadline is called by http.ResponseController.
func (s *stalledCaller) SetWriteDeadline(t time.Time) error {
	s.deadline = t
	return nil
}

// Write implements http.ResponseWriter.
func (s *stalledCaller) Write([]byte) (int, error) {
	if s.deadline.IsZero() {
		time.Sleep(time.Hour)
	}
	time.Sleep(time.Until(s.deadline))
	return 0, os.ErrDeadlineExceeded
}

// stall sends a request from a caller that does not read, and returns how long it took.
func (w *harness) stall(path string) time.Duration {
	r := httptest.NewRequestWithContext(context.Background(), "POST", "http://h"+path, nil)
	r.RequestURI = path
	r.Header.Set("Id", "r1")
	r.Header.Set("Key", "secret")
	began := time.Now()
	defer func() { _ = recover() }() // an aborted response
	w.proxy.ServeHTTP(&stalledCaller{ResponseRecorder: httptest.NewRecorder()}, r)
	return time.Since(began)
}

// useMemory bounds the bodies that the gateway holds.
func (w *harness) useMemory(bytes int64) *proxy.Memory {
	w.memory = proxy.NewMemory(bytes, metrics.NewRegistry())
	w.proxy = w.newTestProxy()
	c := configuration()
	c.Limits.BodyBytes = 4 << 20
	w.proxy.SetConfig(c)
	return w.memory
}

// Guards against responses that are cut at the size up to which they are buffered, and look whole.
func TestALongResponseArrivesWhole(t *testing.T) {
	long := strings.Repeat("0123456789abcdef", 9<<16)
	runHarness(t, func(w *harness) {
		a := w.send("POST", "/safe/x", "")
		w.g.Expect(a.Code).To(Equal(200))
		w.g.Expect(a.Body.Len()).To(Equal(len(long)))
		w.g.Expect(a.Body.String() == long).To(BeTrue())
		w.g.Expect(a.Header().Get("Content-Length")).To(Equal(fmt.Sprint(len(long))))
		w.g.Expect(w.metrics.PassedThrough.Count()).To(BeEquivalentTo(1))
	}, []handler{respond(200, long)})
}

// Guards against a long response that breaks off and looks whole.
func TestALongResponseThatBreaksOffIsAborted(t *testing.T) {
	runHarness(t, func(w *harness) {
		a := w.send("POST", "/safe/x", "")
		w.g.Expect(a.aborted).To(BeTrue())
	}, []handler{raw("HTTP/1.1 200 OK\r\nId: r1\r\nStamp: st\r\nContent-Length: 12000000\r\n\r\n" + strings.Repeat("x", 9_000_000))})
}

// Guards against a response made of two: the part of a long response that was forwarded before it
// broke off, and the response of another endpoint.
func TestALongResponseThatBreaksOffIsNotContinuedByAnother(t *testing.T) {
	begins := "HTTP/1.1 200 OK\r\nId: r1\r\nStamp: st\r\nContent-Length: 12000000\r\n\r\n" + strings.Repeat("x", 9_000_000)
	for _, path := range []string{"/safe/x", "/stream/x"} {
		t.Run(path, func(t *testing.T) {
			first := raw(begins)
			if path == "/stream/x" { // a status other than 200 is forwarded like a plain response
				first = raw(strings.Replace(begins, "200 OK", "404 X", 1))
			}
			runHarness(t, func(w *harness) {
				a := w.send("POST", path, "")
				w.g.Expect(a.aborted).To(BeTrue())
				w.g.Expect(a.Body.Len()).To(BeNumerically("<=", 9_000_000))
				w.g.Expect(w.endpoints["e1"].count()).To(BeZero())
			}, []handler{first}, []handler{respond(200, strings.Repeat("y", 12_000_000))})
		})
	}
}

// Guards against callers that do not read: one used to hold its endpoint's place and its response
// for as long as it kept its connection open.
func TestACallerThatDoesNotReadHoldsNoEndpoint(t *testing.T) {
	runHarness(t, func(w *harness) {
		memory := w.useMemory(8 << 20)
		time.AfterFunc(100*time.Millisecond, func() {
			w.g.Expect(w.balancer.InFlight()).To(BeEmpty(), "the endpoint has answered")
			w.g.Expect(memory.Used()).To(BeNumerically(">=", 1<<20-64<<10))
		})
		w.g.Expect(w.stall("/safe/x")).To(BeNumerically("<=", 3*time.Second))
		w.g.Expect(memory.Used()).To(BeZero())
		w.g.Expect(w.metrics.CallersStalled.Count()).To(BeEquivalentTo(1))
	}, []handler{respond(200, strings.Repeat("x", 1<<20))})
}

// Guards against memory that grows with the number of slow callers, and against slow callers that
// delay others.
func TestSlowCallersTakeBoundedMemory(t *testing.T) {
	const limit = 1 << 20
	runHarness(t, func(w *harness) {
		memory := w.useMemory(limit)
		most := int64(0)
		ctx, cancel := context.WithCancel(context.Background())
		var callers sync.WaitGroup
		callers.Go(func() {
			for ctx.Err() == nil {
				most = max(most, memory.Used())
				time.Sleep(10 * time.Millisecond)
			}
		})
		var slow sync.WaitGroup
		for range 200 {
			slow.Go(func() { w.stall("/safe/long") })
		}
		time.Sleep(500 * time.Millisecond)
		a := w.send("POST", "/safe/short", "")
		w.g.Expect(a.Code).To(Equal(200))
		w.g.Expect(a.elapsed).To(BeZero())
		slow.Wait()
		cancel()
		callers.Wait()
		w.g.Expect(most).To(And(BeNumerically("<=", limit), BeNumerically(">", 0)))
		w.g.Expect(memory.Used()).To(BeZero())
	}, []handler{byPath(map[string]handler{"/safe/long": respond(200, strings.Repeat("x", 300_000)), "/safe/short": respond(200, "ok")})})
}

// byPath returns a handler that calls the handler of the request's path.
func byPath(handlers map[string]handler) handler {
	return func(c net.Conn, r *http.Request) bool { return handlers[r.URL.Path](c, r) }
}

// Guards against long request bodies that take all of the memory: what there is no room for is
// refused at once.
func TestABodyWithoutMemoryIsRefusedAtOnce(t *testing.T) {
	runHarness(t, func(w *harness) {
		w.useMemory(1 << 20)
		a := w.send("POST", "/safe/x", strings.Repeat("x", 3<<20))
		w.g.Expect(a.Code).To(Equal(503))
		w.g.Expect(a.elapsed).To(BeZero())
		w.g.Expect(a.Header().Get("Retry-After")).NotTo(BeEmpty())
		w.g.Expect(w.endpoints["e0"].count()).To(BeZero())
		body := strings.Repeat("y", 500_000)
		w.g.Expect(w.send("POST", "/safe/x", body).Code).To(Equal(200))
		w.g.Expect(bytes.Equal([]byte(w.endpoints["e0"].body()), []byte(body))).To(BeTrue())
	}, []handler{respond(200, "ok")})
}
