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
	unframed := p.unframed
	p.mu.Unlock()
	answer := PlainAnswer(r.URL.Path, body)
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

// Runs returns the log of runs.
func (p *Plain) Runs() []Run {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]Run(nil), p.runs...)
}
