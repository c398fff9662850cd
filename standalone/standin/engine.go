package standin

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/silverdeck/silverdeck/standalone/engine"
)

// EngineConfig says what an engine is like.
type EngineConfig struct {
	// Fenced engines refuse orders of a lower epoch than they have seen.
	Fenced bool
	// Slots is how many requests run at once; more are refused with 429.
	Slots int
	// TokenTime is how long a token takes.
	TokenTime time.Duration
	// LoadTime is how long a load takes beside the reading.
	LoadTime time.Duration
	// HTTP reads the weights; nil is http.DefaultClient.
	HTTP *http.Client
}

// Run is one line of an engine's log of runs.
type Run struct {
	// ID is the request id; Key names what was asked.
	ID, Key string
	Done    bool
}

// Engine is the stand-in of a model engine. Its answers follow from the
// request and the bytes of the weights that it has loaded, so that a mixed
// version or a crossed answer shows in the answer.
type Engine struct {
	cfg EngineConfig
	mux *http.ServeMux

	mu      sync.Mutex
	epoch   int64
	loaded  map[string]engine.Loaded
	runs    []Run
	running int
	orders  []engine.Order
}

// NewEngine returns an Engine that has loaded nothing.
func NewEngine(cfg EngineConfig) *Engine {
	if cfg.HTTP == nil {
		cfg.HTTP = http.DefaultClient
	}
	e := &Engine{cfg: cfg, mux: http.NewServeMux(), loaded: map[string]engine.Loaded{}}
	e.mux.HandleFunc("POST /v1/orders", e.order)
	e.mux.HandleFunc("GET /v1/state", e.state)
	e.mux.HandleFunc("GET /v1/load", e.load)
	e.mux.HandleFunc("GET /v1/runs", e.getRuns)
	e.mux.HandleFunc("POST /v1/chat/completions", e.complete)
	e.mux.HandleFunc("POST /v1/completions", e.complete)
	return e
}

// ServeHTTP implements http.Handler.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.mux.ServeHTTP(w, r)
}

// Runs returns the log of runs.
func (e *Engine) Runs() []Run {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]Run(nil), e.runs...)
}

func (e *Engine) current() engine.State {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := engine.State{Loaded: []engine.Loaded{}}
	if e.cfg.Fenced {
		s.Epoch = e.epoch
	}
	for _, l := range e.loaded {
		s.Loaded = append(s.Loaded, l)
	}
	return s
}

func (e *Engine) state(w http.ResponseWriter, _ *http.Request) {
	_ = json.NewEncoder(w).Encode(e.current())
}

func (e *Engine) load(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	_, _ = fmt.Fprintf(w, "{\"running\":%d,\"slots\":%d}\n", e.running, e.cfg.Slots)
}

func (e *Engine) getRuns(w http.ResponseWriter, _ *http.Request) {
	_ = json.NewEncoder(w).Encode(e.Runs())
}

// defaultTokens is the length of an answer where the request says nothing.
const defaultTokens = 16
