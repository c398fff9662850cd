// Package secure opens listeners and connections, plain or by TLS, as the
// settings say.
// It owns nothing.
package secure

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/silverdeck/silverdeck/responsehead"
	"github.com/silverdeck/silverdeck/standalone/settings"
)

// Limits on connections.
const (
	// dialLimit bounds the opening of a connection.
	dialLimit = 2 * time.Second
	// headerLimit bounds the head of a request.
	headerLimit = 10 * time.Second
	// idleLimit is for how long a connection may rest.
	idleLimit = 90 * time.Second
	// maxHeaderBytes is the largest head of a request, in bytes.
	maxHeaderBytes = 64 << 10
	// idlePerHost is how many idle connections are kept to one host.
	idlePerHost = 4
	// keepAlivePeriod is how often TCP asks whether the other side is there.
	keepAlivePeriod = 15 * time.Second
)

// Network is what a process listens and connects by.
type Network interface {
	// Listen opens a listener; see net.Listen.
	Listen(network, addr string) (net.Listener, error)
	// DialContext opens a connection; see net.Dialer.
	DialContext(ctx context.Context, network, addr string) (net.Conn, error)
}

type system struct {
	net.Dialer
}

// NewNetwork returns the Network of the operating system.
func NewNetwork() Network {
	return &system{Dialer: net.Dialer{Timeout: dialLimit, KeepAlive: keepAlivePeriod}}
}

// Listen implements Network.
func (s *system) Listen(network, addr string) (net.Listener, error) {
	return net.Listen(network, addr)
}

// Listen opens a listener at addr of n. With mutual set, the other side must
// show a certificate that t.CA verifies.
func Listen(n Network, addr string, t settings.TLS, mutual bool) (net.Listener, error) {
	l, err := n.Listen("tcp", addr)
	if err != nil || !t.Enabled() {
		return l, err
	}
	cfg, err := config(t)
	if err != nil {
		_ = l.Close()
		return nil, err
	}
	if mutual {
		cfg.ClientAuth = tls.RequireAndVerifyClientCert
		cfg.ClientCAs = cfg.RootCAs
	}
	return tls.NewListener(l, cfg), nil
}

// Dialer opens connections to other processes.
type Dialer struct {
	network Network
	tls     *tls.Config
}

// NewDialer returns a Dialer over n that shows and checks certificates as t says.
func NewDialer(n Network, t settings.TLS) (*Dialer, error) {
	d := &Dialer{network: n}
	if !t.Enabled() {
		return d, nil
	}
	cfg, err := config(t)
	d.tls = cfg
	return d, err
}

// Scheme returns https or http.
func (d *Dialer) Scheme() string {
	if d.tls != nil {
		return "https"
	}
	return "http"
}

// DialContext opens a connection to addr.
func (d *Dialer) DialContext(ctx context.Context, network, addr string) (net.Conn, error) {
	c, err := d.network.DialContext(ctx, network, addr)
	if err != nil || d.tls == nil {
		return c, err
	}
	return d.handshake(ctx, c, addr)
}

func (d *Dialer) handshake(ctx context.Context, c net.Conn, addr string) (net.Conn, error) {
	host, _, err := net.SplitHostPort(addr)
	if err != nil {
		return nil, errors.Join(err, c.Close())
	}
	cfg := d.tls.Clone()
	cfg.ServerName = host
	t := tls.Client(c, cfg)
	if err := t.HandshakeContext(ctx); err != nil {
		return nil, errors.Join(err, c.Close())
	}
	return t, nil
}

// HTTPClient returns a client that connects by d. It follows no redirects, decodes nothing on its own, and
// returns no response whose head is too long or not that of one response.
func (d *Dialer) HTTPClient() *http.Client {
	return &http.Client{
		Transport: responsehead.NewTransport(&http.Transport{
			DialContext:         d.network.DialContext,
			DialTLSContext:      d.DialContext,
			MaxIdleConnsPerHost: idlePerHost,
			IdleConnTimeout:     idleLimit,
			DisableCompression:  true,
		}),
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// NewServer returns an HTTP server with limits against slow and oversized heads.
func NewServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler:           h,
		ReadHeaderTimeout: headerLimit,
		IdleTimeout:       idleLimit,
		MaxHeaderBytes:    maxHeaderBytes,
	}
}

func config(t settings.TLS) (*tls.Config, error) {
	cert, err := tls.LoadX509KeyPair(t.Cert, t.Key)
	if err != nil {
		return nil, err
	}
	cfg := &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{cert}}
	if t.CA == "" {
		return cfg, nil
	}
	pem, err := os.ReadFile(t.CA)
	if err != nil {
		return nil, err
	}
	cfg.RootCAs = x509.NewCertPool()
	if !cfg.RootCAs.AppendCertsFromPEM(pem) {
		return nil, fmt.Errorf("secure: no certificate in %s", t.CA)
	}
	return cfg, nil
}
