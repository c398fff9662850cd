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

// testTimeout bounds waits for operations that take milliseconds on an idle machine. A machine short
// of memory stands still for a minute.
const testTimeout = 3 * time.Minute

// addr is a loopback address with a port chosen by the operating system.
const addr = "127.0.0.1:0"

// listen starts a server that responds with status 200, and returns it with its address.
func listen(g *WithT, limits serve.Limits) (*serve.Reloadable, string) {
	s, err := serve.Listen(addr, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}), limits, log.New(io.Discard))
	g.Expect(err).NotTo(HaveOccurred())
	return s, s.Addr().String()
}

// client is a client with one open connection.
type client struct {
	conn net.Conn
	r    *bufio.Reader
}

func dial(g *WithT, addr string) *client {
	conn, err := net.Dial("tcp4", addr)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(conn.SetDeadline(time.Now().Add(testTimeout))).To(Succeed())
	return &client{conn: conn, r: bufio.NewReader(conn)}
}

// get sends a request with a header of about size bytes and returns the status of the response.
func (c *client) get(g *WithT, size int) int {
	_, err := io.WriteString(c.conn, "GET / HTTP/1.1\r\nHost: h\r\nX: "+strings.Repeat("x", size)+"\r\n\r\n")
	g.Expect(err).NotTo(HaveOccurred())
	resp, err := http.ReadResponse(c.r, nil)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(resp.Body.Close()).To(Succeed())
	return resp.StatusCode
}

const kib = 1 << 10

func TestNewConnectionsUseTheLatestLimits(t *testing.T) {
	g := NewWithT(t)
	s, addr := listen(g, serve.Limits{HeaderBytes: 8 * kib})
	defer func() { g.Expect(s.Shutdown(context.Background())).To(Succeed()) }()
	kept := dial(g, addr)
	defer func() { _ = kept.conn.Close() }()
	g.Expect(kept.get(g, kib)).To(Equal(http.StatusOK))
	s.SetLimits(serve.Limits{HeaderBytes: 64 * kib})
	wider := dial(g, addr)
	defer func() { _ = wider.conn.Close() }()
	g.Expect(wider.get(g, 40*kib)).To(Equal(http.StatusOK))
	g.Expect(kept.get(g, kib)).To(Equal(http.StatusOK), "an open connection survives a change of limits")
	g.Expect(kept.get(g, 40*kib)).To(Equal(http.StatusRequestHeaderFieldsTooLarge))
	s.SetLimits(serve.Limits{HeaderBytes: 8 * kib})
	narrow := dial(g, addr)
	defer func() { _ = narrow.conn.Close() }()
	g.Expect(narrow.get(g, 40*kib)).To(Equal(http.StatusRequestHeaderFieldsTooLarge), "limits can be set back to earlier ones")
}

func TestConnectionsAreClosedAfterTheirTimeouts(t *testing.T) {
	for name, limits := range map[string]serve.Limits{
		"while idle":               {IdleTimeout: 20 * time.Millisecond},
		"while reading the header": {HeaderTimeout: 20 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			s, addr := listen(g, limits)
			defer func() { _ = s.Shutdown(context.Background()) }()
			c := dial(g, addr)
			defer func() { _ = c.conn.Close() }()
			if limits.IdleTimeout > 0 {
				g.Expect(c.get(g, 1)).To(Equal(http.StatusOK))
			} else {
				_, err := io.WriteString(c.conn, "GET / HT")
				g.Expect(err).NotTo(HaveOccurred())
			}
			_, err := io.Copy(io.Discard, c.r)
			g.Expect(err).NotTo(HaveOccurred(), "the server closed the connection")
		})
	}
}

func TestShutdownClosesConnectionsOfAllLimits(t *testing.T) {
	g := NewWithT(t)
	s, addr := listen(g, serve.Limits{HeaderBytes: 8 * kib})
	first := dial(g, addr)
	g.Expect(first.get(g, 1)).To(Equal(http.StatusOK))
	s.SetLimits(serve.Limits{HeaderBytes: 9 * kib})
	second := dial(g, addr)
	g.Expect(second.get(g, 1)).To(Equal(http.StatusOK))
	g.Expect(s.Shutdown(context.Background())).To(Succeed())
	for _, c := range []*client{first, second} {
		_, err := c.r.ReadByte()
		g.Expect(err).To(MatchError(io.EOF))
	}
	_, err := net.Dial("tcp4", addr)
	g.Expect(err).To(HaveOccurred())
}
