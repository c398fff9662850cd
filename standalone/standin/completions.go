package standin

import (
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/zeebo/blake3"

	"github.com/silverdeck/silverdeck/standalone/engine"
	"github.com/silverdeck/silverdeck/wait"
)

// question is what an engine reads of a request.
type question struct {
	Model     string          `json:"model"`
	Stream    bool            `json:"stream"`
	MaxTokens int             `json:"max_tokens"`
	Prompt    json.RawMessage `json:"prompt"`
	Messages  json.RawMessage `json:"messages"`
}

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
