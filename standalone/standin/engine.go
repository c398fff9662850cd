package standin

import (
	"context"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/zeebo/blake3"

	"github.com/silverdeck/silverdeck/standalone/engine"
	"github.com/silverdeck/silverdeck/wait"
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

// Orders returns the orders that were taken.
func (e *Engine) Orders() []engine.Order {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]engine.Order(nil), e.orders...)
}

func (e *Engine) order(w http.ResponseWriter, r *http.Request) {
	var o engine.Order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !e.enterEpoch(o.Epoch) {
		w.WriteHeader(http.StatusConflict)
		_ = json.NewEncoder(w).Encode(e.current())
		return
	}
	if o.Kind != engine.OrderUnload {
		if err := e.fetch(r.Context(), o); err != nil {
			http.Error(w, err.Error(), http.StatusUnprocessableEntity)
			return
		}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.orders = append(e.orders, o)
	key := modelKey(o.Model, o.Adapter)
	if o.Kind == engine.OrderUnload {
		delete(e.loaded, key)
	} else {
		e.loaded[key] = engine.Loaded{Model: o.Model, Adapter: o.Adapter, Weights: o.Weights, Digest: o.Digest}
	}
	w.WriteHeader(http.StatusOK)
}

// enterEpoch returns whether an order of that epoch is taken.
func (e *Engine) enterEpoch(epoch int64) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.cfg.Fenced && epoch < e.epoch {
		return false
	}
	e.epoch = max(e.epoch, epoch)
	return true
}

// fetch reads the weights and checks that they are what the order says.
func (e *Engine) fetch(ctx context.Context, o engine.Order) error {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, o.Source, nil)
	if err != nil {
		return err
	}
	resp, err := e.cfg.HTTP.Do(r)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	h := blake3.New()
	n, err := io.Copy(h, resp.Body)
	if err != nil {
		return err
	}
	if got := hex.EncodeToString(h.Sum(nil)); resp.StatusCode != http.StatusOK || n != o.Size || got != o.Digest {
		return fmt.Errorf("weights of %d bytes have digest %s, want %s", n, got, o.Digest)
	}
	time.Sleep(e.cfg.LoadTime)
	return nil
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

// question is what an engine reads of a request.
type question struct {
	Model     string          `json:"model"`
	Stream    bool            `json:"stream"`
	MaxTokens int             `json:"max_tokens"`
	Prompt    json.RawMessage `json:"prompt"`
	Messages  json.RawMessage `json:"messages"`
}

// defaultTokens is the length of an answer where the request says nothing.
const defaultTokens = 16

// Words returns the answer to a prompt: n words that follow from the digest of
// the weights and from the prompt.
func Words(digest, prompt string, n int) []string {
	out := make([]string, n)
	for i := range out {
		h := blake3.Sum256([]byte(fmt.Sprintf("%s\x00%s\x00%d", digest, prompt, i)))
		out[i] = hex.EncodeToString(h[:4])
	}
	return out
}

func modelKey(model, adapter string) string {
	if adapter != "" {
		return adapter
	}
	return model
}

func (e *Engine) complete(w http.ResponseWriter, r *http.Request) {
	var q question
	if err := json.NewDecoder(r.Body).Decode(&q); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	prompt := string(q.Messages) + string(q.Prompt)
	if q.MaxTokens <= 0 {
		q.MaxTokens = defaultTokens
	}
	l, run, status := e.begin(q.Model, r.Header.Get("X-Request-Id"), prompt)
	if status != 0 {
		http.Error(w, http.StatusText(status), status)
		return
	}
	defer e.end(run)
	words := Words(l.Digest, prompt, q.MaxTokens)
	if q.Stream {
		e.stream(w, r, l, words)
		return
	}
	if !wait.For(r.Context(), time.Duration(len(words))*e.cfg.TokenTime) {
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(completion(l, "chat.completion", "message", strings.Join(words, " ")))
}

// begin logs a run and returns the weights that answer.
func (e *Engine) begin(model, id, prompt string) (engine.Loaded, int, int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	l, ok := e.loaded[model]
	if !ok {
		return l, 0, http.StatusNotFound
	}
	if e.running >= e.cfg.Slots {
		return l, 0, http.StatusTooManyRequests
	}
	e.running++
	h := blake3.Sum256([]byte(prompt))
	e.runs = append(e.runs, Run{ID: id, Key: hex.EncodeToString(h[:8])})
	return l, len(e.runs) - 1, 0
}

func (e *Engine) end(run int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running--
	e.runs[run].Done = true
}

func (e *Engine) stream(w http.ResponseWriter, r *http.Request, l engine.Loaded, words []string) {
	w.Header().Set("Content-Type", "text/event-stream")
	c := http.NewResponseController(w)
	for i, word := range words {
		if !wait.For(r.Context(), e.cfg.TokenTime) {
			return
		}
		if i > 0 {
			word = " " + word
		}
		b, _ := json.Marshal(completion(l, "chat.completion.chunk", "delta", word))
		_, _ = fmt.Fprintf(w, "data: %s\n\n", b)
		_ = c.Flush()
	}
	_, _ = fmt.Fprint(w, "data: [DONE]\n\n")
}

// Completion is an answer of the OpenAI API, or one piece of it.
type Completion struct {
	Object            string   `json:"object"`
	Model             string   `json:"model"`
	SystemFingerprint string   `json:"system_fingerprint"`
	Choices           []Choice `json:"choices"`
}

// Choice is the one choice of a Completion.
type Choice struct {
	Index   int      `json:"index"`
	Message *Message `json:"message,omitempty"`
	Delta   *Message `json:"delta,omitempty"`
}

// Message is text of a Choice.
type Message struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

func completion(l engine.Loaded, object, kind, text string) Completion {
	m := &Message{Role: "assistant", Content: text}
	c := Choice{Message: m}
	if kind == "delta" {
		c = Choice{Delta: m}
	}
	return Completion{Object: object, Model: l.Model, SystemFingerprint: l.Digest, Choices: []Choice{c}}
}
