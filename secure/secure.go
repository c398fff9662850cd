// Package secure opens listeners and connections, plain or by TLS, as the
// settings say.
package secure

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/silverdeck/silverdeck/settings"
)

// Limits on connections.
const (
	dialLimit       = 2 * time.Second
	headerLimit     = 10 * time.Second
	idleLimit       = 90 * time.Second
	maxHeaderBytes  = 64 << 10
	idlePerHost     = 4
	keepAlivePeriod = 15 * time.Second
)

// Listen opens a listener at addr. With mutual set, the other side must show
// a certificate that t.CA verifies.
func Listen(addr string, t settings.TLS, mutual bool) (net.Listener, error) {
	l, err := net.Listen("tcp", addr)
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
	plain net.Dialer
	tls   *tls.Config
}

// NewDialer returns a Dialer that shows and checks certificates as t says.
func NewDialer(t settings.TLS) (*Dialer, error) {
	d := &Dialer{plain: net.Dialer{Timeout: dialLimit, KeepAlive: keepAlivePeriod}}
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
	if d.tls == nil {
		return d.plain.DialContext(ctx, network, addr)
	}
	t := tls.Dialer{NetDialer: &d.plain, Config: d.tls}
	return t.DialContext(ctx, network, addr)
}

// HTTPClient returns a client that connects by d. It follows no redirects and
// decodes nothing on its own.
func (d *Dialer) HTTPClient() *http.Client {
	return &http.Client{
		Transport: &http.Transport{
			DialContext:         d.plain.DialContext,
			DialTLSContext:      d.DialContext,
			MaxIdleConnsPerHost: idlePerHost,
			IdleConnTimeout:     idleLimit,
			DisableCompression:  true,
		},
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
