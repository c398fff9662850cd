package origin_test

import (
	"net/http"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/silverdeck/silverdeck/endless"
	"github.com/silverdeck/silverdeck/origin"
	"github.com/silverdeck/silverdeck/responsehead"
)

// Bounds on what an origin gets rid of, in bytes.
const (
	maxSentRange    = 1 << 20
	maxSentManifest = 10 << 20
)

func sourceAt(addr string) origin.Source {
	return origin.NewClient("http://"+addr, &http.Client{Transport: responsehead.NewTransport(&http.Transport{})})
}

func TestAManifestWithoutEndIsNone(t *testing.T) {
	g := NewWithT(t)
	s := endless.NewServer("HTTP/1.1 200 OK\r\n\r\n{}", " ")
	defer s.Close()
	_, err := sourceAt(s.Addr).Manifest(t.Context(), "m")
	g.Expect(err).To(HaveOccurred())
	g.Expect(s.Sent()).To(BeNumerically("<", maxSentManifest+endless.MaxUnread()))
}

func TestARangeWithoutEndIsNotReadWithoutEnd(t *testing.T) {
	g := NewWithT(t)
	s := endless.NewServer("HTTP/1.1 206 Partial Content\r\n\r\n", "x")
	defer s.Close()
	b, _, err := sourceAt(s.Addr).ReadRange(t.Context(), "m", "", 0, 4)
	g.Expect(err).NotTo(HaveOccurred(), "the digest of a chunk tells whether it is sound")
	g.Expect(b).To(BeEquivalentTo("xxxx"))
	g.Expect(s.Sent()).To(BeNumerically("<", maxSentRange+endless.MaxUnread()))
}
