package upstream_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/silverdeck/silverdeck/gateway/upstream"
)

// TestAResetSeenWhileWaitingIsNotTakenForTheEndOfTheBody guards against an answer that looks complete after a reset.
func TestAResetSeenWhileWaitingIsNotTakenForTheEndOfTheBody(t *testing.T) {
	g := NewWithT(t)
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = listener.Close() }()
	read := make(chan struct{})
	go func() {
		c, err := listener.Accept()
		if err != nil {
			return
		}
		_, _ = c.Read(make([]byte, 1<<10))
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\npart")
		<-read
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}()
	x, failure := upstream.NewClient().Do(context.Background(), listener.Addr().String(),
		&upstream.Request{Method: http.MethodPost, URI: "/", Host: "h"}, upstream.Options{})
	g.Expect(failure).To(BeNil())
	defer x.Close()
	part := make([]byte, 64)
	n, err := x.Read(part)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(part[:n])).To(Equal("part"))
	close(read)
	g.Expect(x.Await(upstream.NewWatchdog(func() bool { return false }))).To(Succeed())
	_, err = x.Read(part)
	g.Expect(err).To(MatchError(syscall.ECONNRESET))
}
