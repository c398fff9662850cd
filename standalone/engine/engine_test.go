package engine_test

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/silverdeck/silverdeck/endless"
	"github.com/silverdeck/silverdeck/standalone/engine"
	"github.com/silverdeck/silverdeck/standalone/secure"
	"github.com/silverdeck/silverdeck/standalone/settings"
)

// TestAnAnswerToAnOrderThatIsBrokenOffIsNotStale guards against orders that were taken and count as stale.
func TestAnAnswerToAnOrderThatIsBrokenOffIsNotStale(t *testing.T) {
	g := NewWithT(t)
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = l.Close() }()
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		_, _ = http.ReadRequest(bufio.NewReader(c))
		_, _ = io.WriteString(c, "HTTP/1.1 409 ConfHTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\n{\"epoch\":99}")
		_ = c.Close()
	}()
	d, err := secure.NewDialer(secure.NewNetwork(), settings.TLS{})
	g.Expect(err).NotTo(HaveOccurred())
	err = engine.NewClient("http://"+l.Addr().String(), d.HTTPClient()).Order(t.Context(), engine.Order{Epoch: 5})
	g.Expect(err).To(HaveOccurred())
	var stale *engine.StaleError
	g.Expect(errors.As(err, &stale)).To(BeFalse(), "%v", err)
}

// TestAnAnswerWithoutEndIsNone guards against orders that count as taken, or as stale, and against bytes that are all kept.
func TestAnAnswerWithoutEndIsNone(t *testing.T) {
	for _, status := range []string{"200 OK", "409 Conflict"} {
		t.Run(status, func(t *testing.T) {
			g := NewWithT(t)
			s := endless.NewServer("HTTP/1.1 "+status+"\r\n\r\n{\"epoch\":99}", " ")
			defer s.Close()
			d, err := secure.NewDialer(secure.NewNetwork(), settings.TLS{})
			g.Expect(err).NotTo(HaveOccurred())
			c := engine.NewClient("http://"+s.Addr, d.HTTPClient())
			_, err = c.State(t.Context())
			g.Expect(err).To(HaveOccurred())
			err = c.Order(t.Context(), engine.Order{Epoch: 5})
			g.Expect(err).To(HaveOccurred())
			g.Expect(errors.As(err, new(*engine.StaleError))).To(BeFalse(), "%v", err)
			g.Expect(s.Sent()).To(BeNumerically("<", 2*(2<<20+endless.MaxUnread())))
		})
	}
}
