package upstream_test

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/silverdeck/silverdeck/gateway/upstream"
)

const (
	// receiveBuffer is the size of the receive buffer of the endpoint, in bytes.
	receiveBuffer = 4 << 10
	// bodySize exceeds the socket buffers, so part of the request stays unsent until the
	// endpoint reads.
	bodySize = 256 << 10
	// timeout bounds waits that normally take some milliseconds.
	timeout = 3 * time.Minute
)

// listen opens a listener whose connections have a small receive buffer.
func listen(t *testing.T) net.Listener {
	lc := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		var err error
		if e := c.Control(func(fd uintptr) {
			err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer)
		}); e != nil {
			return e
		}
		return err
	}}
	l, err := lc.Listen(context.Background(), "tcp4", "127.0.0.1:0")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = l.Close() })
	return l
}

// An endpoint whose link is stalled must not receive a request after it was withdrawn: it would
// run the request later, with whatever weights it holds then.
func TestARequestThatWasWithdrawnIsNotDeliveredLater(t *testing.T) {
	g := NewWithT(t)
	l := listen(t)
	accepted := make(chan net.Conn, 1)
	go func() {
		if c, err := l.Accept(); err == nil {
			accepted <- c
		}
	}()
	q := &upstream.Request{Method: http.MethodPost, URI: "/", Host: "h", Body: bytes.Repeat([]byte("x"), bodySize)}
	x, failure := upstream.NewClient().Do(context.Background(), l.Addr().String(), q, upstream.Options{Watchdog: upstream.NewWatchdog(func() bool { return true })})
	g.Expect(x).To(BeNil())
	g.Expect(failure).NotTo(BeNil())
	var c net.Conn
	g.Eventually(accepted, timeout).Should(Receive(&c))
	defer func() { _ = c.Close() }()
	g.Expect(c.SetReadDeadline(time.Now().Add(timeout))).To(Succeed())
	got, err := io.ReadAll(c)
	g.Expect(err).To(MatchError(syscall.ECONNRESET))
	g.Expect(len(got)).To(BeNumerically("<", bodySize))
}
