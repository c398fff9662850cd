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

// shutdown begins a shutdown and returns once it has closed the listener.
func shutdown(g *WithT, ctx context.Context, s *serve.Reloadable, addr string) <-chan error {
	done := make(chan error, 1)
	go func() { done <- s.Shutdown(ctx) }()
	g.Eventually(func() error {
		conn, err := net.Dial("tcp4", addr)
		if err == nil {
			_ = conn.Close()
		}
		return err
	}, patience, time.Millisecond).Should(HaveOccurred())
	return done
}

// What users saw: a planned stop closed kept connections whose next request it had read
// and passed on; their callers got no answer.
//
// Order of events: a connection counts as idle until the whole head of its next request was
// read. Closing the idle ones falls between, the request is read to its end and handled,
// and the answer finds its connection closed.
//
// Cause: whether a connection is idle was decided apart from reading it. The proof is the
// first test here, which failed each time: half a head was read when the stop came.
func TestAShutdownWaitsForARequestThatIsBeingRead(t *testing.T) {
	for name, first := range map[string]bool{"on a kept connection": true, "on a new one": false} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			s, addr := listen(g, serve.Limits{})
			c := dial(g, addr)
			defer func() { _ = c.conn.Close() }()
			if first {
				g.Expect(c.ask(g, 1)).To(Equal(http.StatusOK))
			}
			_, err := io.WriteString(c.conn, "GET / HTTP/1.1\r\nHo")
			g.Expect(err).NotTo(HaveOccurred())
			g.Eventually(s.Reading, patience, time.Millisecond).Should(Equal(1))
			done := shutdown(g, context.Background(), s, addr)
			_, err = io.WriteString(c.conn, "st: h\r\n\r\n")
			g.Expect(err).NotTo(HaveOccurred())
			resp, err := http.ReadResponse(c.r, nil)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(resp.StatusCode).To(Equal(http.StatusOK))
			_, err = c.r.ReadByte()
			g.Expect(err).To(MatchError(io.EOF), "the connection ends with its answer")
			g.Expect(<-done).To(Succeed())
		})
	}
}

func TestAShutdownClosesConnectionsAtRest(t *testing.T) {
	g := NewWithT(t)
	s, addr := listen(g, serve.Limits{})
	kept, unused := dial(g, addr), dial(g, addr)
	g.Expect(kept.ask(g, 1)).To(Equal(http.StatusOK))
	g.Expect(s.Shutdown(context.Background())).To(Succeed())
	for _, c := range []*caller{kept, unused} {
		_, err := c.r.ReadByte()
		g.Expect(err).To(HaveOccurred())
	}
}

func TestAShutdownEndsWithItsTime(t *testing.T) {
	g := NewWithT(t)
	release := make(chan struct{})
	l, err := net.Listen("tcp4", addr)
	g.Expect(err).NotTo(HaveOccurred())
	free := l.Addr().String()
	g.Expect(l.Close()).To(Succeed())
	s, err := serve.Listen(free, http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-release }), serve.Limits{}, log.New(io.Discard))
	g.Expect(err).NotTo(HaveOccurred())
	c := dial(g, free)
	_, err = io.WriteString(c.conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	g.Expect(err).NotTo(HaveOccurred())
	g.Eventually(s.Reading, patience, time.Millisecond).Should(Equal(1))
	ctx, cancel := context.WithCancel(context.Background())
	done := shutdown(g, ctx, s, free)
	cancel()
	g.Expect(errors.Is(<-done, context.Canceled)).To(BeTrue())
	close(release)
	_, err = http.ReadResponse(bufio.NewReader(c.conn), nil)
	g.Expect(err).NotTo(HaveOccurred(), "who is not waited for is not closed either")
}

func TestLimitsThatComeDuringAShutdownChangeNothing(t *testing.T) {
	g := NewWithT(t)
	s, _ := listen(g, serve.Limits{HeaderBytes: 8 * kib})
	g.Expect(s.Shutdown(context.Background())).To(Succeed())
	s.SetLimits(serve.Limits{HeaderBytes: 9 * kib})
	g.Expect(s.Shutdown(context.Background())).To(Succeed())
}
