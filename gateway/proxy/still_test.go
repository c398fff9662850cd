package proxy_test

import (
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// stillConn is a connection of a process that stands still when the connection ends.
type stillConn struct {
	net.Conn
	still time.Duration
}

func (c *stillConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err != nil {
		time.Sleep(c.still)
	}
	return n, err
}

// deadlines notes until when an answer could be written, and when it was.
type deadlines struct {
	*httptest.ResponseRecorder
	until, written time.Time
}

// SetWriteDeadline is looked for by http.ResponseController.
func (d *deadlines) SetWriteDeadline(t time.Time) error {
	d.until = t
	return nil
}

func (d *deadlines) WriteHeader(status int) {
	d.written = time.Now()
	d.ResponseRecorder.WriteHeader(status)
}

// A gateway that stood still past the time of a stream could not write that it had ended: the
// caller's connection was closed without an answer.
func TestAFinalAnswerIsWrittenHoweverLateTheProcessIs(t *testing.T) {
	head := raw("HTTP/1.1 200 OK\r\nId: r1\r\nStamp: st\r\nTransfer-Encoding: chunked\r\n\r\n")
	play(t, func(w *world) {
		w.still = time.Second
		r := httptest.NewRequest(http.MethodPost, "http://h/once/", nil)
		r.RequestURI = "/once/"
		for name, value := range map[string]string{"Id": "r1", "Model": "m", "Key": "secret", "Deadline": "300"} {
			r.Header.Set(name, value)
		}
		d := &deadlines{ResponseRecorder: httptest.NewRecorder()}
		w.proxy.ServeHTTP(d, r)
		w.g.Expect(d.Code).To(BeNumerically(">=", http.StatusInternalServerError))
		w.g.Expect(d.until).To(BeTemporally(">", d.written))
	}, always(func(c net.Conn, r *http.Request) bool {
		head(c, r)
		return hang(c, r)
	}))
}

// Guards against a caller whose connection is closed without an answer, because the gateway
// stood still after it had decided on a refusal.
func TestAFinalAnswerIsWrittenAfterAStandstill(t *testing.T) {
	play(t, func(w *world) {
		w.setDown("e0", true)
		r := httptest.NewRequest(http.MethodPost, "http://h/once/", nil)
		r.RequestURI = "/once/"
		for name, value := range map[string]string{"Id": "r1", "Model": "m", "Key": "secret"} {
			r.Header.Set(name, value)
		}
		d := &stillDeadlines{deadlines{ResponseRecorder: httptest.NewRecorder()}}
		w.proxy.ServeHTTP(d, r)
		w.g.Expect(d.Code).To(Equal(http.StatusServiceUnavailable))
		w.g.Expect(d.until).To(BeTemporally(">", d.written))
	}, always(hang))
}

// stillDeadlines are deadlines of a process that stands still once it has set one.
type stillDeadlines struct {
	deadlines
}

func (d *stillDeadlines) SetWriteDeadline(t time.Time) error {
	defer time.Sleep(longestStandstill)
	return d.deadlines.SetWriteDeadline(t)
}

// longestStandstill is how long processes of busy VMs stand still in the soak, and some more.
const longestStandstill = 3 * time.Second
