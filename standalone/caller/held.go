package caller

import (
	"io"
	"sync/atomic"

	"github.com/silverdeck/silverdeck/verdict"
)

// heldAnswers bounds the bytes of answers that are held at the same time, until their callers have them. It is safe for
// concurrent use.
type heldAnswers struct {
	// limit is the most bytes that are held, and used how many are.
	limit int64
	used  atomic.Int64
}

// body returns a body that reads from src. What was read counts as held until it is closed.
func (a *heldAnswers) body(src io.ReadCloser) io.ReadCloser {
	return &heldBody{ReadCloser: src, answers: a}
}

// heldBody is the body of an answer that is held. It fails once heldAnswers is full.
type heldBody struct {
	io.ReadCloser
	answers *heldAnswers
	held    int64
}

// Read implements io.Reader.
func (b *heldBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.held += int64(n)
	if b.answers.used.Add(int64(n)) > b.answers.limit {
		return 0, verdict.NewError(verdict.Executed{}, verdict.CodeEngine, "no memory for the rest of the answer")
	}
	return n, err
}

// Close implements io.Closer.
func (b *heldBody) Close() error {
	b.answers.used.Add(-b.held)
	b.held = 0
	return b.ReadCloser.Close()
}
