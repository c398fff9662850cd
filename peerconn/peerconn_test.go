package peerconn_test

import (
	"bytes"
	"context"
	"encoding/gob"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/rpc"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/silverdeck/silverdeck/endless"
	"github.com/silverdeck/silverdeck/peerconn"
)

// maxSentHead bounds what a peer gets rid of to a client that refuses its answer, in bytes.
const maxSentHead = 1 << 20

// Echo is a service that replies with what it is sent.
type Echo struct{}

// Say implements a method of net/rpc.
func (Echo) Say(text string, reply *string) error {
	*reply = text
	return nil
}

// call calls a method at addr.
func call(t *testing.T, addr, text string) (string, error) {
	pool := peerconn.NewPool(&net.Dialer{})
	defer pool.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	var reply string
	err := pool.Call(ctx, addr, "Echo.Say", text, &reply)
	return reply, err
}

func TestTheAnswerToConnectIsNotReadWithoutEnd(t *testing.T) {
	for name, text := range map[string][2]string{
		"status line": {"HTTP/1.0 200 ", "x"},
		"header":      {"HTTP/1.0 200 Connected to Go RPC\r\nX: ", "x"},
		"headers":     {"HTTP/1.0 200 Connected to Go RPC\r\n", "X: y\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			s := endless.NewServer(text[0], text[1])
			defer s.Close()
			began := time.Now()
			_, err := call(t, s.Addr, "x")
			g.Expect(err).To(HaveOccurred())
			g.Expect(err).NotTo(MatchError(context.DeadlineExceeded), "after %v", time.Since(began))
			g.Expect(s.Sent()).To(BeNumerically("<", maxSentHead+endless.MaxUnread()))
		})
	}
}

// TestABrokenAnswerToConnectOpensNoTunnel guards against bytes of another server that are read as messages.
func TestABrokenAnswerToConnectOpensNoTunnel(t *testing.T) {
	for name, head := range map[string]string{
		"status 000":        "HTTP/1.0 000 Connected to Go RPC\r\n\r\n",
		"status 201":        "HTTP/1.0 201 Connected to Go RPC\r\n\r\n",
		"name with a blank": "HTTP/1.0 200 Connected to Go RPC\r\nX A: b\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			var out bytes.Buffer
			enc := gob.NewEncoder(&out)
			g.Expect(enc.Encode(rpc.Response{ServiceMethod: "Echo.Say", Seq: 0})).To(Succeed())
			g.Expect(enc.Encode("x")).To(Succeed())
			s := endless.NewTunnel(head, out.String(), "\x00")
			defer s.Close()
			_, err := call(t, s.Addr, "x")
			g.Expect(err).To(MatchError(Or(ContainSubstring("unexpected status"), ContainSubstring("not a token"))))
		})
	}
}

func TestAHeadOfAPeerIsNotReadWithoutEnd(t *testing.T) {
	g := NewWithT(t)
	s := endless.NewServer("HTTP/1.1 200 OK\r\n", "X: y\r\n")
	defer s.Close()
	_, err := peerconn.NewHTTPClient(&net.Dialer{}).Get("http://" + s.Addr)
	g.Expect(err).To(HaveOccurred())
	g.Expect(s.Sent()).To(BeNumerically("<", maxSentHead+endless.MaxUnread()))
}

const (
	// greeting is the answer to CONNECT.
	greeting = "HTTP/1.0 200 Connected to Go RPC\n\n"
	// longMessage is the beginning of a message of net/rpc of 256 MiB.
	longMessage = "\xfc\x10\x00\x00\x00"
	// maxSentMessage bounds what a peer gets rid of in one message, in bytes.
	maxSentMessage = 40 << 20
)

func TestAReplyIsNotReadWithoutEnd(t *testing.T) {
	g := NewWithT(t)
	s := endless.NewTunnel(greeting, longMessage, "x")
	defer s.Close()
	_, err := call(t, s.Addr, "x")
	g.Expect(err).To(HaveOccurred())
	g.Expect(s.Sent()).To(BeNumerically("<", maxSentMessage+endless.MaxUnread()))
}

func TestACallIsNotReadWithoutEnd(t *testing.T) {
	g := NewWithT(t)
	mux, err := peerconn.NewMux(map[string]any{"Echo": Echo{}})
	g.Expect(err).NotTo(HaveOccurred())
	server := httptest.NewServer(mux)
	defer server.Close()
	c, err := net.Dial("tcp", server.Listener.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = c.Close() }()
	_, err = io.WriteString(c, "CONNECT "+peerconn.RPCPath+" HTTP/1.0\n\n")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(io.ReadFull(c, make([]byte, len(greeting)))).To(Equal(len(greeting)))
	sent, block := int64(0), strings.Repeat("x", 16<<10)
	g.Expect(c.(*net.TCPConn).SetWriteBuffer(len(block))).To(Succeed())
	for text := longMessage; err == nil && sent < 4*maxSentMessage; text = block {
		var n int
		n, err = io.WriteString(c, text)
		sent += int64(n)
	}
	g.Expect(sent).To(BeNumerically("<", maxSentMessage+endless.MaxUnread()))
}

// TestRepliesThatNobodyAskedForEndTheConnection guards against a peer that keeps this process reading.
func TestRepliesThatNobodyAskedForEndTheConnection(t *testing.T) {
	g := NewWithT(t)
	var out bytes.Buffer
	enc := gob.NewEncoder(&out)
	g.Expect(enc.Encode(rpc.Response{ServiceMethod: "Echo.Say", Seq: 0})).To(Succeed())
	g.Expect(enc.Encode("x")).To(Succeed())
	first := out.String()
	out.Reset()
	g.Expect(enc.Encode(rpc.Response{ServiceMethod: "Echo.Say", Seq: 7})).To(Succeed())
	g.Expect(enc.Encode("x")).To(Succeed())
	s := endless.NewTunnel(greeting, first, out.String())
	defer s.Close()
	d := &closeNotifier{closed: make(chan struct{})}
	pool := peerconn.NewPool(d)
	defer pool.Close()
	var reply string
	g.Expect(pool.Call(t.Context(), s.Addr, "Echo.Say", "x", &reply)).To(Succeed())
	g.Expect(reply).To(Equal("x"))
	g.Eventually(d.closed).WithTimeout(10 * time.Second).Should(BeClosed())
}

// closeNotifier is a dialer that tells when its only connection is closed.
type closeNotifier struct {
	closed chan struct{}
}

// DialContext implements peerconn.Dialer.
func (d *closeNotifier) DialContext(ctx context.Context, network, addr string) (net.Conn, error) {
	conn, err := (&net.Dialer{}).DialContext(ctx, network, addr)
	return &notifyingConn{Conn: conn, closed: d.closed}, err
}

type notifyingConn struct {
	net.Conn
	closed chan struct{}
	once   sync.Once
}

// Close implements net.Conn.
func (c *notifyingConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

func TestPeersExchangeLongMessages(t *testing.T) {
	g := NewWithT(t)
	mux, err := peerconn.NewMux(map[string]any{"Echo": Echo{}})
	g.Expect(err).NotTo(HaveOccurred())
	server := httptest.NewServer(http.Handler(mux))
	defer server.Close()
	for _, n := range []int{0, 1, 4 << 20} {
		text := strings.Repeat("x", n)
		g.Expect(call(t, server.Listener.Addr().String(), text)).To(Equal(text))
	}
}
