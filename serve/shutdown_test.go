package serve_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	. "github.com/onsi/gomega"

	"github.com/silverdeck/silverdeck/serve"
)

// shutdown starts a shutdown and returns once the listener is closed. The channel receives the
// result.
func shutdown(g *WithT, ctx context.Context, s *serve.Reloadable, addr string) <-chan error {
	done := make(chan error, 1)
	go func() { done <- s.Shutdown(ctx) }()
	g.Eventually(func() error {
		conn, err := net.Dial("tcp4", addr)
		if err == nil {
			_ = conn.Close()
		}
		return err
	}, testTimeout, time.Millisecond).Should(HaveOccurred())
	return done
}

// Guards against a graceful stop that closes a keep-alive connection whose next request it
// has started to read, so that the request is handled but its response is lost. http.Server
// reports a connection as idle until the whole header of the next request has been read, and
// whether to close a connection was decided separately from reading it. With half a header
// read when the stop begins, as here, this failed every time.
func TestAShutdownWaitsForARequestThatIsBeingRead(t *testing.T) {
	for name, reused := range map[string]bool{"on a keep-alive connection": true, "on a new connection": false} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			s, addr := listen(g, serve.Limits{})
			c := dial(g, addr)
			defer func() { _ = c.conn.Close() }()
			if reused {
				g.Expect(c.get(g, 1)).To(Equal(http.StatusOK))
			}
			_, err := io.WriteString(c.conn, "GET / HTTP/1.1\r\nHo")
			g.Expect(err).NotTo(HaveOccurred())
			g.Eventually(s.BusyConnections, testTimeout, time.Millisecond).Should(Equal(1))
			done := shutdown(g, context.Background(), s, addr)
			_, err = io.WriteString(c.conn, "st: h\r\n\r\n")
			g.Expect(err).NotTo(HaveOccurred())
			resp, err := http.ReadResponse(c.r, nil)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(resp.StatusCode).To(Equal(http.StatusOK))
			_, err = c.r.ReadByte()
			g.Expect(err).To(MatchError(io.EOF), "the connection is closed after the response")
			g.Expect(<-done).To(Succeed())
		})
	}
}

func TestShutdownClosesIdleConnections(t *testing.T) {
	g := NewWithT(t)
	s, addr := listen(g, serve.Limits{})
	idle, unused := dial(g, addr), dial(g, addr)
	g.Expect(idle.get(g, 1)).To(Equal(http.StatusOK))
	g.Expect(s.Shutdown(context.Background())).To(Succeed())
	for _, c := range []*client{idle, unused} {
		_, err := c.r.ReadByte()
		g.Expect(err).To(HaveOccurred())
	}
}

func TestShutdownReturnsWhenItsContextIsDone(t *testing.T) {
	g := NewWithT(t)
	release := make(chan struct{})
	s, err := serve.Listen(addr, http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-release }), serve.Limits{}, log.New(io.Discard))
	g.Expect(err).NotTo(HaveOccurred())
	c := dial(g, s.Addr().String())
	_, err = io.WriteString(c.conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	g.Expect(err).NotTo(HaveOccurred())
	g.Eventually(s.BusyConnections, testTimeout, time.Millisecond).Should(Equal(1))
	ctx, cancel := context.WithCancel(context.Background())
	done := shutdown(g, ctx, s, s.Addr().String())
	cancel()
	g.Expect(errors.Is(<-done, context.Canceled)).To(BeTrue())
	close(release)
	_, err = http.ReadResponse(bufio.NewReader(c.conn), nil)
	g.Expect(err).NotTo(HaveOccurred(), "a connection that Shutdown no longer waits for stays open")
}

func TestSetLimitsAfterShutdownHasNoEffect(t *testing.T) {
	g := NewWithT(t)
	s, _ := listen(g, serve.Limits{HeaderBytes: 8 * kib})
	g.Expect(s.Shutdown(context.Background())).To(Succeed())
	s.SetLimits(serve.Limits{HeaderBytes: 9 * kib})
	g.Expect(s.Shutdown(context.Background())).To(Succeed())
}
