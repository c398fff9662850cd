package upstream_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/silverdeck/silverdeck/gateway/upstream"
)

// stillConn is a connection of a process that stands still for a while once a deadline of
// reading has passed.
type stillConn struct {
	net.Conn
	still time.Duration
}

func (c *stillConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		time.Sleep(c.still)
		c.still = 0
	}
	return n, err
}

// stillDialer connects to an endpoint that answers after a while.
type stillDialer struct {
	still, answer time.Duration
}

func (d *stillDialer) DialContext(context.Context, string, string) (net.Conn, error) {
	near, far := net.Pipe()
	go func() {
		defer func() { _ = far.Close() }()
		if _, err := http.ReadRequest(bufio.NewReader(far)); err != nil {
			return
		}
		time.Sleep(d.answer)
		_, _ = io.WriteString(far, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
	}()
	return &stillConn{Conn: near, still: d.still}, nil
}

// A gateway that stood still for a second found that nothing had come from any of its
// endpoints for that long and gave them all up, though their bytes lay in its sockets: the
// deadline of a read is told before what came meanwhile.
func TestWhatCameWhileTheProcessStoodStillIsReadFirst(t *testing.T) {
	for name, c := range map[string]struct {
		still, answer time.Duration
		asked         int
	}{
		"it stood still, and the answer came":    {still: time.Second, answer: 500 * time.Millisecond, asked: 0},
		"it did not, and the answer is late":     {answer: 250 * time.Millisecond, asked: 2},
		"it stood still, and nothing came":       {still: time.Second, answer: 1150 * time.Millisecond, asked: 1},
		"the answer comes before it is asked at": {answer: 50 * time.Millisecond, asked: 0},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				asked := 0
				w := upstream.NewWatch(func() bool { asked++; return false })
				client := upstream.NewClient(upstream.WithDialer(&stillDialer{still: c.still, answer: c.answer}))
				x, failure := client.Do(t.Context(), "e", &upstream.Request{Method: "GET", URI: "/", Host: "h"}, upstream.Options{Watch: w})
				g.Expect(failure).To(BeNil())
				g.Expect(x.Status).To(Equal(http.StatusOK))
				g.Expect(asked).To(Equal(c.asked))
				x.Close()
				client.Keep(nil, time.Now())
			})
		})
	}
}

func TestAWatchThatIsWokenAsksAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		began := time.Now()
		w := upstream.NewWatch(func() bool { return time.Since(began) >= 30*time.Millisecond })
		time.AfterFunc(30*time.Millisecond, w.Wake)
		client := upstream.NewClient(upstream.WithDialer(&stillDialer{answer: time.Second}))
		_, failure := client.Do(t.Context(), "e", &upstream.Request{Method: "GET", URI: "/", Host: "h"}, upstream.Options{Watch: w})
		g.Expect(failure).NotTo(BeNil())
		g.Expect(time.Since(began)).To(Equal(30 * time.Millisecond))
		time.Sleep(2 * time.Second)
	})
}
