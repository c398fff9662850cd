package responsehead_test

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/silverdeck/silverdeck/endless"
	"github.com/silverdeck/silverdeck/rawserver"
	"github.com/silverdeck/silverdeck/responsehead"
)

// maxSent bounds what a server gets rid of to a client that stops reading after responsehead.MaxBytes.
const maxSent = 1 << 20

func TestAHeadWithoutEndIsNotReadWithoutEnd(t *testing.T) {
	for name, text := range map[string][2]string{
		"status line": {"HTTP/1.1 200 ", "x"},
		"header":      {"HTTP/1.1 200 OK\r\nX: ", "x"},
		"headers":     {"HTTP/1.1 200 OK\r\n", "X: y\r\n"},
		"line ends":   {"", "\r\n"},
		"no head":     {"", "x"},
		"continue":    {"", "HTTP/1.1 100 Continue\r\n\r\n"},
		"early hints": {"", "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			s := endless.NewServer(text[0], text[1])
			defer s.Close()
			client := &http.Client{Transport: responsehead.NewTransport(&http.Transport{})}
			_, err := client.Get("http://" + s.Addr)
			g.Expect(err).To(HaveOccurred())
			g.Expect(s.Sent()).To(BeNumerically("<", maxSent+endless.MaxUnread()))
		})
	}
}

// get returns the answer of a server that answers with text.
func get(t *testing.T, text string) (*http.Response, error) {
	s := rawserver.New(text)
	t.Cleanup(s.Close)
	client := &http.Client{Transport: responsehead.NewTransport(&http.Transport{}), Timeout: 10 * time.Second}
	return client.Get("http://" + s.Addr)
}

func TestAHeadOfTwoResponsesIsNoResponse(t *testing.T) {
	due := "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
	for name, text := range map[string]string{
		"status line": "HTTP/1.1 409 Conf" + due,
		"header":      "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1" + due,
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			_, err := get(t, text)
			var e *responsehead.Error
			g.Expect(errors.As(err, &e)).To(BeTrue(), "%v", err)
			g.Expect(e.Fault).To(Equal(responsehead.Spliced))
		})
	}
}

func TestAnOrdinaryResponseIsReturned(t *testing.T) {
	g := NewWithT(t)
	text := "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 409 Conflict\r\nVia: HTTP/1.1 proxy\r\nContent-Length: 4\r\n\r\nbusy"
	resp, err := get(t, text)
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = resp.Body.Close() }()
	g.Expect(io.ReadAll(resp.Body)).To(BeEquivalentTo("busy"))
	g.Expect(resp.StatusCode).To(Equal(http.StatusConflict))
}

func TestAStatusThatNoResponseHasIsNoResponse(t *testing.T) {
	for _, status := range []string{"000", "001", "099", "+20", "-00", "101", "600", "999"} {
		t.Run(status, func(t *testing.T) {
			g := NewWithT(t)
			_, err := get(t, "HTTP/1.1 "+status+" OK\r\nContent-Length: 0\r\n\r\n")
			var e *responsehead.Error
			g.Expect(errors.As(err, &e)).To(BeTrue(), "%v", err)
			g.Expect(e.Fault).To(Equal(responsehead.InvalidStatus))
		})
	}
}

func TestEachStatusOfHTTPIsReturned(t *testing.T) {
	for _, status := range []string{"200", "299", "304", "421", "499", "599"} {
		t.Run(status, func(t *testing.T) {
			g := NewWithT(t)
			resp, err := get(t, "HTTP/1.1 "+status+" X\r\nContent-Length: 0\r\n\r\n")
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(resp.Body.Close()).To(Succeed())
			g.Expect(resp.Status).To(Equal(status + " X"))
		})
	}
}

func TestANameThatIsNoTokenIsInNoResponse(t *testing.T) {
	for name, line := range map[string]string{
		"a blank inside":           "X A: b",
		"a blank before the colon": "X-A : b",
		"a length":                 "Content-Length : 3",
		"an encoding":              "Transfer-Encoding : chunked",
	} {
		for where, text := range map[string]string{
			"final":   "HTTP/1.1 200 OK\r\n" + line + "\r\nContent-Length: 4\r\n\r\nbusy",
			"interim": "HTTP/1.1 103 X\r\n" + line + "\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbusy",
		} {
			t.Run(name+", "+where, func(t *testing.T) {
				g := NewWithT(t)
				_, err := get(t, text)
				var e *responsehead.Error
				g.Expect(errors.As(err, &e)).To(BeTrue(), "%v", err)
				g.Expect(e.Fault).To(Equal(responsehead.InvalidName))
			})
		}
	}
}

// TestAByteThatNoNameHasIsInNoResponse guards against bytes that the parser of net/http refuses today.
func TestAByteThatNoNameHasIsInNoResponse(t *testing.T) {
	for _, name := range []string{"X\tA", "X\x01A", "X\x00A", "X\x7fA", "X\rA", "X\xe4A", "", "X(A)"} {
		t.Run(strconv.Quote(name), func(t *testing.T) {
			_, err := get(t, "HTTP/1.1 200 OK\r\n"+name+": b\r\nContent-Length: 0\r\n\r\n")
			NewWithT(t).Expect(err).To(HaveOccurred())
		})
	}
}

func TestInformationalResponsesAreSkipped(t *testing.T) {
	g := NewWithT(t)
	resp, err := get(t, strings.Repeat("HTTP/1.1 103 X\r\nLink: </a>\r\n\r\n", 100)+"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(resp.Body.Close()).To(Succeed())
	g.Expect(resp.StatusCode).To(Equal(http.StatusOK))
}

func TestATrailerWithAnInvalidNameEndsNoBody(t *testing.T) {
	for name, ok := range map[string]bool{"Sum": true, "X A": false, "X-A ": false} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			resp, err := get(t, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbusy\r\n0\r\n"+name+": b\r\n\r\n")
			g.Expect(err).NotTo(HaveOccurred())
			defer func() { _ = resp.Body.Close() }()
			body, err := io.ReadAll(resp.Body)
			g.Expect(string(body)).To(Equal("busy"))
			g.Expect(errors.As(err, new(*responsehead.Error))).To(Equal(!ok), "%v", err)
		})
	}
}
