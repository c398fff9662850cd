package standin

import (
	"fmt"
	"io"
	"net/http"
	"sync"

	"github.com/zeebo/blake3"
)

// Plain is the stand-in of a plain service. It answers with what follows from
// the request, and logs each run.
type Plain struct {
	mu   sync.Mutex
	runs []Run
	// unframed is set while answers have neither a length nor chunks and are cut in the middle.
	unframed bool
	// raw returns the bytes that are sent in the place of an answer, or is nil.
	raw func(answer string) string
}

// NewPlain returns a Plain.
func NewPlain() *Plain {
	return &Plain{}
}

// PlainAnswer returns the answer to a request of path and body.
func PlainAnswer(path string, body []byte) string {
	h := blake3.Sum256(append([]byte(path+"\x00"), body...))
	return fmt.Sprintf("{\"done\":\"%x\"}\n", h[:8])
}

// ServeHTTP implements http.Handler.
func (p *Plain) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	p.mu.Lock()
	p.runs = append(p.runs, Run{ID: r.Header.Get("X-Request-Id"), Key: r.URL.Path, Done: true})
	unframed, raw := p.unframed, p.raw
	p.mu.Unlock()
	answer := PlainAnswer(r.URL.Path, body)
	if raw != nil {
		sendRaw(w, raw(answer))
		return
	}
	w.Header().Set("Content-Type", "application/json")
	if unframed {
		w.Header().Set("Transfer-Encoding", "identity") // makes net/http end the answer with the connection
		answer = answer[:len(answer)/2]
	}
	_, _ = io.WriteString(w, answer)
}

// CutUnframed makes the service send answers with neither a length nor chunks, and cut them.
func (p *Plain) CutUnframed() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.unframed = true
}

// SendRaw makes the service run requests and send what raw returns in the place of each answer, head
// included, and close the connection.
func (p *Plain) SendRaw(raw func(answer string) string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.raw = raw
}

// sendRaw sends text on the connection of a request and closes it.
func sendRaw(w http.ResponseWriter, text string) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(err) // only if the server's connections can't be hijacked
	}
	_, _ = io.WriteString(c, text)
	_ = c.Close()
}

// Runs returns the log of runs.
func (p *Plain) Runs() []Run {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]Run(nil), p.runs...)
}
