package serve_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
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

// childVariable is the environment variable that makes the test binary a server. It prints the
// address at which it serves.
const childVariable = "SILVERDECK_TEST_SERVE"

func TestMain(m *testing.M) {
	if os.Getenv(childVariable) == "" {
		os.Exit(m.Run())
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM)
	s, err := serve.Listen(addr, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}), serve.Limits{}, log.New(io.Discard))
	if err != nil {
		fmt.Println(err)
		os.Exit(1)
	}
	fmt.Println(s.Addr())
	<-signals
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	if s.Shutdown(ctx) != nil {
		os.Exit(1)
	}
}

// serveChild starts a child process that serves, and returns it and its address.
func serveChild(t *testing.T, g *WithT) (*exec.Cmd, string) {
	c := exec.Command(os.Args[0])
	c.Env = append(os.Environ(), childVariable+"=1")
	out, err := c.StdoutPipe()
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(c.Start()).To(Succeed())
	t.Cleanup(func() { _ = c.Process.Kill() }) // fails if the child has exited
	line, err := bufio.NewReader(out).ReadString('\n')
	g.Expect(err).NotTo(HaveOccurred())
	return c, strings.TrimSpace(line)
}

// stopped returns a function that reports whether a process is stopped by a signal.
func stopped(pid int) func() bool {
	return func() bool {
		stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
		return err == nil && strings.Contains(string(stat), ") T ")
	}
}

const request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"

// Guards against a shutdown that resets connections with unread requests. A process that is
// suspended past the time of its stop, and resumes, used to close its connections before
// reading what had arrived on them; the kernel likewise resets the connections that are queued
// at a listener when it is closed. In a soak run, callers of a suspended gateway had their
// connection reset a second after sending a request of which the gateway logged nothing.
func TestShutdownServesRequestsReceivedWhileSuspended(t *testing.T) {
	for range 5 {
		g := NewWithT(t)
		child, addr := serveChild(t, g)
		kept := dial(g, addr)
		g.Expect(kept.get(g, 1)).To(Equal(http.StatusOK))
		g.Expect(child.Process.Signal(syscall.SIGSTOP)).To(Succeed())
		g.Eventually(stopped(child.Process.Pid), testTimeout, time.Millisecond).Should(BeTrue())
		g.Expect(child.Process.Signal(syscall.SIGTERM)).To(Succeed())
		fresh := dial(g, addr)
		for _, c := range []*client{kept, fresh} {
			_, err := io.WriteString(c.conn, request)
			g.Expect(err).NotTo(HaveOccurred())
		}
		g.Expect(child.Process.Signal(syscall.SIGCONT)).To(Succeed())
		for _, c := range []*client{kept, fresh} {
			resp, err := http.ReadResponse(c.r, nil)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(resp.StatusCode).To(Equal(http.StatusOK))
		}
		g.Expect(child.Wait()).To(Succeed())
	}
}
