package secure_test

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"io"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/silverdeck/silverdeck/standalone/secure"
	"github.com/silverdeck/silverdeck/standalone/settings"
)

// authority makes certificates for 127.0.0.1.
type authority struct {
	g    Gomega
	dir  string
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

func newAuthority(t *testing.T) *authority {
	a := &authority{g: NewWithT(t), dir: t.TempDir()}
	a.cert, a.key = a.make("ca", nil, nil)
	return a
}

func (a *authority) make(name string, parent *x509.Certificate, signer *ecdsa.PrivateKey) (*x509.Certificate, *ecdsa.PrivateKey) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	a.g.Expect(err).NotTo(HaveOccurred())
	c := &x509.Certificate{
		SerialNumber: big.NewInt(time.Now().UnixNano()), Subject: pkix.Name{CommonName: name},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IsCA: parent == nil, BasicConstraintsValid: true,
		KeyUsage:    x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
		IPAddresses: []net.IP{net.ParseIP("127.0.0.1")},
	}
	if parent == nil {
		parent, signer = c, key
	}
	der, err := x509.CreateCertificate(rand.Reader, c, parent, key.Public(), signer)
	a.g.Expect(err).NotTo(HaveOccurred())
	b, err := x509.MarshalECPrivateKey(key)
	a.g.Expect(err).NotTo(HaveOccurred())
	a.write(name+".crt", "CERTIFICATE", der)
	a.write(name+".key", "EC PRIVATE KEY", b)
	return c, key
}

func (a *authority) write(name, kind string, der []byte) {
	b := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
	a.g.Expect(os.WriteFile(filepath.Join(a.dir, name), b, 0o600)).To(Succeed())
}

func (a *authority) issue(name string) settings.TLS {
	a.make(name, a.cert, a.key)
	return settings.TLS{
		Cert: filepath.Join(a.dir, name+".crt"), Key: filepath.Join(a.dir, name+".key"), CA: filepath.Join(a.dir, "ca.crt"),
	}
}

func get(d *secure.Dialer, addr string) (string, error) {
	resp, err := d.HTTPClient().Get(d.Scheme() + "://" + addr)
	if err != nil {
		return "", err
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	return string(b), err
}

func TestOwnProcessesShowCertificatesToEachOther(t *testing.T) {
	g := NewWithT(t)
	ours, theirs := newAuthority(t), newAuthority(t)
	n := secure.NewNetwork()
	l, err := secure.Listen(n, "127.0.0.1:0", ours.issue("entry"), true)
	g.Expect(err).NotTo(HaveOccurred())
	s := secure.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("hello")) }))
	defer func() { _ = s.Close() }()
	go func() { _ = s.Serve(l) }()
	addr := l.Addr().String()

	good, err := secure.NewDialer(n, ours.issue("agent"))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(get(good, addr)).To(Equal("hello"))

	stranger := theirs.issue("stranger")
	stranger.CA = ours.issue("any").CA
	bad, err := secure.NewDialer(n, stranger)
	g.Expect(err).NotTo(HaveOccurred())
	_, err = get(bad, addr)
	g.Expect(err).To(HaveOccurred(), "a certificate of another authority")

	deceived, err := secure.NewDialer(n, theirs.issue("deceived"))
	g.Expect(err).NotTo(HaveOccurred())
	_, err = get(deceived, addr)
	g.Expect(err).To(HaveOccurred(), "a server of another authority")

	plain, err := secure.NewDialer(n, settings.TLS{})
	g.Expect(err).NotTo(HaveOccurred())
	c, err := plain.DialContext(context.Background(), "tcp", addr)
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = c.Close() }()
	_, _ = c.Write([]byte("GET / HTTP/1.0\r\n\r\n"))
	b, _ := io.ReadAll(c)
	g.Expect(string(b)).NotTo(ContainSubstring("hello"))
}
