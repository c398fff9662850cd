// Package lookup is the process that answers callers who look up gateways, on a few VMs of each
// availability zone. Callers try the nearest such processes first and only a few of them, so if
// each gateway answered, callers whose zone is lost would ask no other zone.
package lookup

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/charmbracelet/log"

	"github.com/silverdeck/silverdeck/platform"
	"github.com/silverdeck/silverdeck/responsehead"
	"github.com/silverdeck/silverdeck/serve"
)

const (
	// AnswerTimeout bounds the time that the gateway on the same VM may take. Callers try the
	// next process after a second.
	AnswerTimeout = 300 * time.Millisecond
	// maxAnswer bounds the size of the gateway's answer, in bytes.
	maxAnswer = 64 << 10
	// headerTimeout bounds the time to read a request header.
	headerTimeout = 10 * time.Second
	// idleTimeout bounds the time for which a connection may be idle.
	idleTimeout = 60 * time.Second
)

var (
	errNoAddress  = errors.New("lookup: the settings name no address for a directory")
	errLongAnswer = errors.New("lookup: the gateway's answer is too long")
)

// Directory passes look-ups on to the gateway on the same VM.
type Directory struct {
	// addr is the address at which it answers, gateway that of the gateway on this VM.
	addr, gateway string
	server        *http.Server
	client        *http.Client
	log           *log.Logger
}

// New returns a Directory that is not started.
func New(cfg *platform.Settings, l *log.Logger) *Directory {
	d := &Directory{addr: cfg.Directory, gateway: cfg.Observe, client: &http.Client{Transport: responsehead.NewTransport(&http.Transport{})}, log: l}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+platform.ResolvePath, d.passOn)
	d.server = &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
	return d
}

// passOn answers with what the gateway on this VM answers, or 503 if it does not respond in time.
func (d *Directory) passOn(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), AnswerTimeout)
	defer cancel()
	answer, err := d.ask(ctx, r.URL.RequestURI())
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", answer.contentType)
	w.WriteHeader(answer.status)
	_, _ = w.Write(answer.body) // fails only if the caller has gone
}

// answer is a whole answer of the gateway.
type answer struct {
	status      int
	contentType string
	body        []byte
}

// ask asks the gateway on this VM for the given path and query.
func (d *Directory) ask(ctx context.Context, uri string) (*answer, error) {
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+d.gateway+uri, http.NoBody)
	if err != nil {
		return nil, err
	}
	resp, err := d.client.Do(q)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }() // nothing is lost if this fails
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer+1))
	if err != nil {
		return nil, err
	}
	if len(body) > maxAnswer {
		return nil, errLongAnswer
	}
	return &answer{status: resp.StatusCode, contentType: resp.Header.Get("Content-Type"), body: body}, nil
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
