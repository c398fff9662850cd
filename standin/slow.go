package standin

import (
	"bytes"
	"crypto/sha256"
	"errors"
	"fmt"
	"io"
	"strings"
	"time"
)

// LongAnswer is how bodies of requests begin that ask for an answer of RunnerConfig.LongAnswer bytes.
const LongAnswer = "long answer "

// LargeBody is the size in bytes from which on a body is summarized and RunnerConfig.LargePause holds.
const LargeBody = 64 << 10

// readPart is how much a runner reads at a time while it reads slowly.
const readPart = 8 << 10

// ReadSlowly makes the runner pause for d before each part of a request that it reads; 0 ends that.
func (r *Runner) ReadSlowly(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.readPause = d
}

// readBody reads the body of a request.
func (r *Runner) readBody(body io.Reader) ([]byte, error) {
	var out bytes.Buffer
	for {
		r.mu.Lock()
		pause := r.readPause
		r.mu.Unlock()
		if out.Len() >= LargeBody {
			pause = max(pause, r.cfg.LargePause)
		}
		time.Sleep(pause)
		if _, err := io.CopyN(&out, body, readPart); errors.Is(err, io.EOF) {
			return out.Bytes(), nil
		} else if err != nil {
			return nil, err
		}
	}
}

// Summarize returns body, or the length and the hash of one that is too large to be kept.
func Summarize(body string) string {
	if len(body) < LargeBody {
		return body
	}
	return fmt.Sprintf("%d bytes %x", len(body), sha256.Sum256([]byte(body)))
}

// writeAnswer writes the answer of a plain endpoint and reports whether it wrote the whole.
func (r *Runner) writeAnswer(w io.Writer, end ending, id, body string) bool {
	if !strings.HasPrefix(body, LongAnswer) {
		return cutAnswer(w, end, ResponseBody(id, body))
	}
	part := bytes.Repeat([]byte{'a'}, readPart)
	for left := r.cfg.LongAnswer; left > 0; left -= readPart {
		if _, err := w.Write(part); err != nil {
			return true
		}
	}
	return true
}
