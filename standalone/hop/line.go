package hop

import (
	"bufio"
	"errors"
	"io"
)

// MaxLine limits a line of a stream of server-sent events, in bytes.
const MaxLine = 1 << 20

// ErrLongLine reports a line of more than MaxLine bytes.
var ErrLongLine = errors.New("hop: line of a stream too long")

// LineReader reads lines of at most MaxLine bytes.
type LineReader struct {
	r *bufio.Reader
}

// NewLineReader returns a LineReader of src.
func NewLineReader(src io.Reader) *LineReader {
	return &LineReader{r: bufio.NewReader(src)}
}

// ReadLine returns the next line with its end. With an error it returns what came of the line.
func (l *LineReader) ReadLine() ([]byte, error) {
	var line []byte
	for {
		part, err := l.r.ReadSlice('\n')
		line = append(line, part...)
		switch {
		case len(line) > MaxLine:
			return line, ErrLongLine
		case !errors.Is(err, bufio.ErrBufferFull):
			return line, err
		}
	}
}
