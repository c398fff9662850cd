package upstream

import (
	"errors"
	"fmt"
	"os"
)

// maxHeadBytes is the size limit of the heads of an exchange together, in bytes: those of
// informational responses, of responses that are skipped and of the one that is due. An endpoint may
// return the headers of a request, of which a gateway accepts 64 KiB.
const maxHeadBytes = 96 << 10

// errLongHead means that the heads of an exchange exceed maxHeadBytes.
var errLongHead = fmt.Errorf("head of more than %d bytes", maxHeadBytes)

// errSpliced means that an informational response has the head of another one inside it.
var errSpliced = errors.New("another response inside an informational one")

// MalformedError means that an endpoint sent bytes that are no response. The connection did not fail:
// nothing suggests that the endpoint exited.
type MalformedError struct {
	Err error
}

// Error implements error.
func (e *MalformedError) Error() string {
	return "malformed response: " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *MalformedError) Unwrap() error {
	return e.Err
}

// parseError returns err, with which reading a response failed, as a MalformedError if the connection
// did not fail.
func (c *conn) parseError(err error) error {
	if c.readErr != nil || errors.Is(err, os.ErrDeadlineExceeded) {
		return err
	}
	return &MalformedError{Err: err}
}
