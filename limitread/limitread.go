// Package limitread reads data that may have no end.
package limitread

import (
	"fmt"
	"io"
)

// TooLongError reports that data has more than Limit bytes. Its end is not known.
type TooLongError struct {
	Limit int64
}

// Error implements error.
func (e *TooLongError) Error() string {
	return fmt.Sprintf("more than %d bytes", e.Limit)
}

// ReadAll reads r to its end. It returns a *TooLongError and no data if that has more than limit bytes, of which it
// reads one more.
func ReadAll(r io.Reader, limit int64) ([]byte, error) {
	b, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err != nil {
		return nil, err
	}
	if int64(len(b)) > limit {
		return nil, &TooLongError{Limit: limit}
	}
	return b, nil
}
