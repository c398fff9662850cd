package lookup_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	. "github.com/onsi/gomega"

	"github.com/silverdeck/silverdeck/endless"
	"github.com/silverdeck/silverdeck/lookup"
	"github.com/silverdeck/silverdeck/platform"
	"github.com/silverdeck/silverdeck/rawserver"
)

// startDirectory starts a process that passes look-ups on to gateway, and returns its address.
func startDirectory(t *testing.T, gateway string) string {
	g := NewWithT(t)
	cfg := &platform.Settings{Directory: fmt.Sprintf("127.%d.%d.9:8009", 100+os.Getpid()%100, os.Getpid()/100%250), Observe: gateway}
	d := lookup.New(cfg, log.New(io.Discard))
	g.Expect(d.Start(context.Background())).To(Succeed())
	t.Cleanup(func() { _ = d.Stop(context.Background()) })
	return cfg.Directory
}

func lookUp(g *WithT, addr string) (status int, body string) {
	resp, err := http.Get("http://" + addr + platform.ResolvePath + "?name=h&zone=a")
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	g.Expect(err).NotTo(HaveOccurred())
	return resp.StatusCode, string(data)
}

func TestALookUpIsAnsweredByTheGatewayOnTheSameVM(t *testing.T) {
	g := NewWithT(t)
	gateway := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, r.URL.RequestURI())
	}))
	defer gateway.Close()
	status, body := lookUp(g, startDirectory(t, gateway.Listener.Addr().String()))
	g.Expect(status).To(Equal(http.StatusOK))
	g.Expect(body).To(Equal("/resolve?name=h&zone=a"))
}

// A caller gives each process a second, so a gateway that is away or silent must not take it.
func TestALookUpFailsSoonWithoutAGateway(t *testing.T) {
	NewWithT(t).Expect(lookup.AnswerTimeout).To(BeNumerically("<", time.Second))
	released := make(chan struct{})
	silent := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-released }))
	defer silent.Close()
	defer close(released)
	away := httptest.NewServer(http.NotFoundHandler())
	away.Close()
	for name, server := range map[string]*httptest.Server{"silent": silent, "away": away} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			status, _ := lookUp(g, startDirectory(t, server.Listener.Addr().String()))
			g.Expect(status).To(Equal(http.StatusServiceUnavailable))
		})
	}
}

func TestADirectoryNeedsAnAddress(t *testing.T) {
	g := NewWithT(t)
	d := lookup.New(&platform.Settings{Observe: "127.0.0.1:1"}, log.New(io.Discard))
	g.Expect(d.Start(context.Background())).To(MatchError(ContainSubstring("no address")))
}

func TestAnAnswerWithoutEndIsNotReadWithoutEndNorPassedOn(t *testing.T) {
	for name, first := range map[string]string{"head": "HTTP/1.1 200 OK\r\n", "body": "HTTP/1.1 200 OK\r\n\r\n"} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			s := endless.NewServer(first, "X: y\r\n")
			defer s.Close()
			status, _ := lookUp(g, startDirectory(t, s.Addr))
			g.Expect(status).To(Equal(http.StatusServiceUnavailable))
			g.Expect(s.Sent()).To(BeNumerically("<", 1<<20+endless.MaxUnread()))
		})
	}
}

// TestABrokenAnswerIsNotPassedOn guards against callers whose connection ends without an answer, or who get another body.
func TestABrokenAnswerIsNotPassedOn(t *testing.T) {
	for name, text := range map[string]string{
		"status 000":        "HTTP/1.1 000 X\r\nContent-Length: 2\r\n\r\n{}",
		"status 099":        "HTTP/1.1 099 X\r\nContent-Length: 2\r\n\r\n{}",
		"status 101":        "HTTP/1.1 101 X\r\nContent-Length: 2\r\n\r\n{}",
		"status 600":        "HTTP/1.1 600 X\r\nContent-Length: 2\r\n\r\n{}",
		"name with a blank": "HTTP/1.1 200 X\r\nContent-Length : 1\r\n\r\n{}",
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			s := rawserver.New(text)
			defer s.Close()
			code, _ := lookUp(g, startDirectory(t, s.Addr))
			g.Expect(code).To(Equal(http.StatusServiceUnavailable))
		})
	}
}
