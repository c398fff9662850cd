package objectstore_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/silverdeck/silverdeck/endless"
	"github.com/silverdeck/silverdeck/rawserver"
	"github.com/silverdeck/silverdeck/standalone/objectstore"
	"github.com/silverdeck/silverdeck/standalone/secure"
	"github.com/silverdeck/silverdeck/standalone/settings"
)

// newClient returns a client of the store at addr.
func newClient(t *testing.T, addr string) *objectstore.Client {
	d, err := secure.NewDialer(secure.NewNetwork(), settings.TLS{})
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	return objectstore.NewClient([]string{"http://" + addr}, objectstore.WithHTTP(d.HTTPClient()))
}

// TestAnAnswerToAWriteThatIsBrokenOffIsNoRefusal guards against writes that were done and count as refused.
func TestAnAnswerToAWriteThatIsBrokenOffIsNoRefusal(t *testing.T) {
	for _, begun := range []string{"503 Serv", "412 Prec", "409 Conf"} {
		t.Run(begun, func(t *testing.T) {
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
				_, _ = io.WriteString(c, "HTTP/1.1 "+begun+"HTTP/1.1 200 OK\r\nETag: \"5\"\r\nContent-Length: 0\r\n\r\n")
				_ = c.Close()
			}()
			_, err = newClient(t, l.Addr().String()).Put(t.Context(), "k", []byte("v"), 4)
			var unavailable *objectstore.UnavailableError
			g.Expect(errors.As(err, &unavailable)).To(BeTrue(), "%v", err)
			g.Expect(unavailable.Taken).To(BeTrue(), "%v", err)
		})
	}
}

func TestAHeadOfTheStoreIsNotReadWithoutEnd(t *testing.T) {
	g := NewWithT(t)
	s := endless.NewServer("HTTP/1.1 200 OK\r\n", "X: y\r\n")
	defer s.Close()
	_, err := newClient(t, s.Addr).Get(t.Context(), "k")
	g.Expect(err).To(HaveOccurred())
	g.Expect(s.Sent()).To(BeNumerically("<", 1<<20+endless.MaxUnread()))
}

func TestAValueThatIsTooLongIsNotCutToAWholeOne(t *testing.T) {
	g := NewWithT(t)
	s := endless.NewServer("HTTP/1.1 200 OK\r\nETag: \"5\"\r\n\r\n", "x")
	defer s.Close()
	_, err := newClient(t, s.Addr).Get(t.Context(), "k")
	var unavailable *objectstore.UnavailableError
	g.Expect(errors.As(err, &unavailable)).To(BeTrue(), "%v", err)
	g.Expect(s.Sent()).To(BeNumerically("<", 18<<20+endless.MaxUnread()))
}

// TestABrokenAnswerToAWriteIsNoRefusal guards against writes that were done and count as refused.
func TestABrokenAnswerToAWriteIsNoRefusal(t *testing.T) {
	for name, text := range map[string]string{
		"status 000":              "HTTP/1.1 000 X\r\nETag: \"5\"\r\nContent-Length: 0\r\n\r\n",
		"status 099":              "HTTP/1.1 099 X\r\nETag: \"5\"\r\nContent-Length: 0\r\n\r\n",
		"status 101":              "HTTP/1.1 101 X\r\nETag: \"5\"\r\nContent-Length: 0\r\n\r\n",
		"status 600":              "HTTP/1.1 600 X\r\nETag: \"5\"\r\nContent-Length: 0\r\n\r\n",
		"refusal, invalid name":   "HTTP/1.1 412 X\r\nX A: b\r\nContent-Length: 0\r\n\r\n",
		"other 4xx, invalid name": "HTTP/1.1 400 X\r\nX A: b\r\nContent-Length: 0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			s := rawserver.New(text)
			defer s.Close()
			for name, c := range map[string]*objectstore.Client{"secure": newClient(t, s.Addr), "default": objectstore.NewClient([]string{"http://" + s.Addr})} {
				_, err := c.Put(t.Context(), "k", []byte("v"), 4)
				var unavailable *objectstore.UnavailableError
				g.Expect(errors.As(err, &unavailable)).To(BeTrue(), "%s: %v", name, err)
				g.Expect(unavailable.Taken).To(BeTrue(), "%s: %v", name, err)
			}
		})
	}
}

// TestAnOddVMDecidesOverNoOthers guards against entries that stop following the list of VMs because of one of them.
func TestAnOddVMDecidesOverNoOthers(t *testing.T) {
	nested := strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000)
	for name, odd := range map[string]string{
		"nested deeply":           nested,
		"with a member so nested": `{"name":"x","labels":` + nested + `}`,
		"with another type":       `{"name":7}`,
		"no object":               `7`,
		"without a name":          `{"zone":"a"}`,
		"null":                    `null`,
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			list := `{"version":5,"vms":[{"name":"a"},` + odd + `,{"name":"b","leaving":true}]}`
			s := rawserver.New(fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(list), list))
			defer s.Close()
			c := newClient(t, s.Addr)
			l, err := c.WatchVMs(t.Context(), 4)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(l).To(Equal(objectstore.VMList{Version: 5, VMs: []objectstore.VM{{Name: "a"}, {Name: "b", Leaving: true}}}))
			g.Expect(c.Unreadable()).To(BeEquivalentTo(1))
		})
	}
}

// TestAListOfVMsThatIsNoneIsAnError guards against VMs that count as gone because of a list without its end.
func TestAListOfVMsThatIsNoneIsAnError(t *testing.T) {
	nested := strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000)
	for _, list := range []string{``, `7`, `{"version":5,"vms":[{"name":"a"}`, `{"version":5,"vms":[` + nested, `{"version":"5","vms":[]}`, `{"version":5,"vms":7}`} {
		s := rawserver.New("HTTP/1.1 200 OK\r\n\r\n" + list)
		_, err := newClient(t, s.Addr).WatchVMs(t.Context(), 4)
		s.Close()
		NewWithT(t).Expect(err).To(HaveOccurred(), "%.40s", list)
	}
}
