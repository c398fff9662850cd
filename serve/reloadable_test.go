package serve_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	. "github.com/onsi/gomega"

	"github.com/silverdeck/silverdeck/serve"
)

// patience bounds a wait for what takes milliseconds on an idle machine.
const patience = 20 * time.Second

// addr is an address whose port the system chooses.
const addr = "127.0.0.1:0"

// listen returns a server that answers 200, and its address.
func listen(g *WithT, limits serve.Limits) (*serve.Reloadable, string) {
	l, err := net.Listen("tcp4", addr)
	g.Expect(err).NotTo(HaveOccurred())
	free := l.Addr().String()
	g.Expect(l.Close()).To(Succeed())
	s, err := serve.Listen(free, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}), limits, log.New(io.Discard))
	g.Expect(err).NotTo(HaveOccurred())
	return s, free
}

// caller is one open connection.
type caller struct {
	conn net.Conn
	r    *bufio.Reader
}

func dial(g *WithT, addr string) *caller {
	conn, err := net.Dial("tcp4", addr)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(conn.SetDeadline(time.Now().Add(patience))).To(Succeed())
	return &caller{conn: conn, r: bufio.NewReader(conn)}
}

// ask sends a request with a head of about size bytes and returns the answer's status.
func (c *caller) ask(g *WithT, size int) int {
	_, err := io.WriteString(c.conn, "GET / HTTP/1.1\r\nHost: h\r\nX: "+strings.Repeat("x", size)+"\r\n\r\n")
	g.Expect(err).NotTo(HaveOccurred())
	resp, err := http.ReadResponse(c.r, nil)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(resp.Body.Close()).To(Succeed())
	return resp.StatusCode
}

const kib = 1 << 10

func TestNewConnectionsHaveTheNewestLimits(t *testing.T) {
	g := NewWithT(t)
	s, addr := listen(g, serve.Limits{HeaderBytes: 8 * kib})
	defer func() { g.Expect(s.Shutdown(context.Background())).To(Succeed()) }()
	kept := dial(g, addr)
	defer func() { _ = kept.conn.Close() }()
	g.Expect(kept.ask(g, kib)).To(Equal(http.StatusOK))
	s.SetLimits(serve.Limits{HeaderBytes: 64 * kib})
	wider := dial(g, addr)
	defer func() { _ = wider.conn.Close() }()
	g.Expect(wider.ask(g, 40*kib)).To(Equal(http.StatusOK))
	g.Expect(kept.ask(g, kib)).To(Equal(http.StatusOK), "a connection outlives its limits")
	g.Expect(kept.ask(g, 40*kib)).To(Equal(http.StatusRequestHeaderFieldsTooLarge))
	s.SetLimits(serve.Limits{HeaderBytes: 8 * kib})
	narrow := dial(g, addr)
	defer func() { _ = narrow.conn.Close() }()
	g.Expect(narrow.ask(g, 40*kib)).To(Equal(http.StatusRequestHeaderFieldsTooLarge), "earlier limits hold again")
}

func TestConnectionsAreClosedAfterTheTimeOfTheirLimits(t *testing.T) {
	for name, limits := range map[string]serve.Limits{
		"at rest":                 {IdleTimeout: 20 * time.Millisecond},
		"amid the head of a call": {HeaderTimeout: 20 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			s, addr := listen(g, limits)
			defer func() { _ = s.Shutdown(context.Background()) }()
			c := dial(g, addr)
			defer func() { _ = c.conn.Close() }()
			if limits.IdleTimeout > 0 {
				g.Expect(c.ask(g, 1)).To(Equal(http.StatusOK))
			} else {
				_, err := io.WriteString(c.conn, "GET / HT")
				g.Expect(err).NotTo(HaveOccurred())
			}
			_, err := io.Copy(io.Discard, c.r)
			g.Expect(err).NotTo(HaveOccurred(), "the server closed the connection")
		})
	}
}

func TestAShutdownEndsConnectionsOfAllLimits(t *testing.T) {
	g := NewWithT(t)
	s, addr := listen(g, serve.Limits{HeaderBytes: 8 * kib})
	old := dial(g, addr)
	g.Expect(old.ask(g, 1)).To(Equal(http.StatusOK))
	s.SetLimits(serve.Limits{HeaderBytes: 9 * kib})
	young := dial(g, addr)
	g.Expect(young.ask(g, 1)).To(Equal(http.StatusOK))
	g.Expect(s.Shutdown(context.Background())).To(Succeed())
	for _, c := range []*caller{old, young} {
		_, err := c.r.ReadByte()
		g.Expect(err).To(MatchError(io.EOF))
	}
	_, err := net.Dial("tcp4", addr)
	g.Expect(err).To(HaveOccurred())
}
