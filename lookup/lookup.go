// Package lookup is the process that answers callers who look up gateways, on a few VMs of each
// availability zone. Callers try the nearest such processes first and only a few of them, so if
// each gateway answered, callers whose zone is lost would ask no other zone.
package lookup

import (
	"context"
	"errors"
	"net/http"
	"net/http/httputil"
	"net/url"
	"time"

	"github.com/charmbracelet/log"

	"github.com/silverdeck/silverdeck/platform"
	"github.com/silverdeck/silverdeck/serve"
)

const (
	// answerTimeout bounds the time that the gateway on the same VM may take. Callers try the
	// next process after a second.
	answerTimeout = 300 * time.Millisecond
	// headerTimeout bounds the time to read a request header.
	headerTimeout = 10 * time.Second
	// idleTimeout bounds the time for which a connection may be idle.
	idleTimeout = 60 * time.Second
)

var errNoAddress = errors.New("lookup: the settings name no address for a directory")

// Directory passes look-ups on to the gateway on the same VM.
type Directory struct {
	addr   string
	server *http.Server
	log    *log.Logger
}

// New returns a Directory that is not started.
func New(cfg *platform.Settings, l *log.Logger) *Directory {
	mux := http.NewServeMux()
	mux.Handle(platform.ResolvePath, newForwarder(cfg.Observe))
	return &Directory{
		addr:   cfg.Directory,
		server: &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout},
		log:    l,
	}
}

// newForwarder returns a handler that passes requests on to gateway, and answers 503 if it does
// not respond in time.
func newForwarder(gateway string) http.Handler {
	proxy := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: gateway})
	proxy.ErrorHandler = func(w http.ResponseWriter, _ *http.Request, err error) {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ctx, cancel := context.WithTimeout(r.Context(), answerTimeout)
		defer cancel()
		proxy.ServeHTTP(w, r.WithContext(ctx))
	})
}

// Start starts answering.
func (d *Directory) Start(context.Context) error {
	if d.addr == "" {
		return errNoAddress
	}
	d.log.Info("started", "directory", d.addr)
	return serve.HTTP(d.server, d.addr, d.log)
}

// Stop stops the process once the look-ups in progress have been answered.
func (d *Directory) Stop(ctx context.Context) error {
	return d.server.Shutdown(ctx)
}
