package serve_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	. "github.com/onsi/gomega"

	"github.com/silverdeck/silverdeck/serve"
)

// childVariable makes the test binary a server at the address that it holds.
const childVariable = "SILVERDECK_TEST_SERVE"

func TestMain(m *testing.M) {
	addr := os.Getenv(childVariable)
	if addr == "" {
		os.Exit(m.Run())
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM)
	s, err := serve.Listen(addr, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}), serve.Limits{}, log.New(io.Discard))
	if err != nil {
		fmt.Println(err)
		os.Exit(1)
	}
	fmt.Println("serving")
	<-signals
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	if s.Shutdown(ctx) != nil {
		os.Exit(1)
	}
}

// serveChild starts a process that serves at a free address, and returns both.
func serveChild(t *testing.T, g *WithT) (*exec.Cmd, string) {
	l, err := net.Listen("tcp4", addr)
	g.Expect(err).NotTo(HaveOccurred())
	free := l.Addr().String()
	g.Expect(l.Close()).To(Succeed())
	c := exec.Command(os.Args[0])
	c.Env = append(os.Environ(), childVariable+"="+free)
	out, err := c.StdoutPipe()
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(c.Start()).To(Succeed())
	t.Cleanup(func() { _ = c.Process.Kill() }) // it may have ended
	line, err := bufio.NewReader(out).ReadString('\n')
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(line).To(Equal("serving\n"))
	return c, free
}

// stopped returns whether a process stands still.
func stopped(pid int) func() bool {
	return func() bool {
		stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
		return err == nil && strings.Contains(string(stat), ") T ")
	}
}

const request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"

// What callers of a soak saw: a request sent on an open connection to a gateway that stood
// still, and the connection reset a second later, with no line of the request at the
// gateway. The stop's time had passed while it stood still, so that it closed its
// connections before it read what had come on them; the kernel does the same to what waits
// at a listener that is closed.
func TestAShutdownReadsWhatCameWhileTheProcessStoodStill(t *testing.T) {
	for range 5 {
		g := NewWithT(t)
		child, addr := serveChild(t, g)
		kept := dial(g, addr)
		g.Expect(kept.ask(g, 1)).To(Equal(http.StatusOK))
		g.Expect(child.Process.Signal(syscall.SIGSTOP)).To(Succeed())
		g.Eventually(stopped(child.Process.Pid), patience, time.Millisecond).Should(BeTrue())
		g.Expect(child.Process.Signal(syscall.SIGTERM)).To(Succeed())
		fresh := dial(g, addr)
		for _, c := range []*caller{kept, fresh} {
			_, err := io.WriteString(c.conn, request)
			g.Expect(err).NotTo(HaveOccurred())
		}
		g.Expect(child.Process.Signal(syscall.SIGCONT)).To(Succeed())
		for _, c := range []*caller{kept, fresh} {
			resp, err := http.ReadResponse(c.r, nil)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(resp.StatusCode).To(Equal(http.StatusOK))
		}
		g.Expect(child.Wait()).To(Succeed())
	}
}
