package proxy_test

import (
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// suspendingConn is a connection of a process that is suspended when the connection ends.
type suspendingConn struct {
	net.Conn
	suspension time.Duration
}

func (c *suspendingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err != nil {
		time.Sleep(c.suspension)
	}
	return n, err
}

// deadlineRecorder records the write deadline and the time at which the response was written.
type deadlineRecorder struct {
	*httptest.ResponseRecorder
	until, written time.Time
}

// SetWriteDeadline is called by http.ResponseController.
func (d *deadlineRecorder) SetWriteDeadline(t time.Time) error {
	d.until = t
	return nil
}

func (d *deadlineRecorder) WriteHeader(status int) {
	d.written = time.Now()
	d.ResponseRecorder.WriteHeader(status)
}

// Guards against a caller whose connection is closed without a response: a gateway that was
// suspended past the deadline of a stream could no longer write the error response.
func TestAFinalAnswerIsWrittenAfterTheDeadline(t *testing.T) {
	head := raw("HTTP/1.1 200 OK\r\nId: r1\r\nStamp: st\r\nTransfer-Encoding: chunked\r\n\r\n")
	runHarness(t, func(w *harness) {
		w.suspension = time.Second
		r := httptest.NewRequest(http.MethodPost, "http://h/once/", nil)
		r.RequestURI = "/once/"
		for name, value := range map[string]string{"Id": "r1", "Model": "m", "Key": "secret", "Deadline": "300"} {
			r.Header.Set(name, value)
		}
		d := &deadlineRecorder{ResponseRecorder: httptest.NewRecorder()}
		w.proxy.ServeHTTP(d, r)
		w.g.Expect(d.Code).To(BeNumerically(">=", http.StatusInternalServerError))
		w.g.Expect(d.until).To(BeTemporally(">", d.written))
	}, always(func(c net.Conn, r *http.Request) bool {
		head(c, r)
		return hang(c, r)
	}))
}

// Guards against a caller whose connection is closed without a response because the gateway was
// suspended between deciding on a refusal and writing it.
func TestAFinalAnswerIsWrittenAfterAStandstill(t *testing.T) {
	runHarness(t, func(w *harness) {
		w.setDown("e0", true)
		r := httptest.NewRequest(http.MethodPost, "http://h/once/", nil)
		r.RequestURI = "/once/"
		for name, value := range map[string]string{"Id": "r1", "Model": "m", "Key": "secret"} {
			r.Header.Set(name, value)
		}
		d := &suspendingRecorder{deadlineRecorder{ResponseRecorder: httptest.NewRecorder()}}
		w.proxy.ServeHTTP(d, r)
		w.g.Expect(d.Code).To(Equal(http.StatusServiceUnavailable))
		w.g.Expect(d.until).To(BeTemporally(">", d.written))
	}, always(hang))
}

// suspendingRecorder is a deadlineRecorder of a process that is suspended after it has set a
// deadline.
type suspendingRecorder struct {
	deadlineRecorder
}

func (d *suspendingRecorder) SetWriteDeadline(t time.Time) error {
	defer time.Sleep(longestSuspension)
	return d.deadlineRecorder.SetWriteDeadline(t)
}

// longestSuspension is slightly longer than processes on busy VMs are suspended in the soak
// tests.
const longestSuspension = 3 * time.Second
