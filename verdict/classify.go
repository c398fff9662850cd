package verdict

import (
	"context"
	"errors"
	"net"
	"syscall"
)

// Progress is the stage that a hop had reached when it failed.
type Progress int

const (
	// Dialing means that no connection was established yet.
	Dialing Progress = iota
	// Connected means that a connection was established, but no byte of the request was written.
	Connected
	// Written means that at least one byte of the request was written, but no answer had begun.
	Written
	// Answering means that the answer had begun.
	Answering
)

var progressNames = map[Progress]string{
	Dialing:   "dialing",
	Connected: "connected",
	Written:   "written",
	Answering: "answering",
}

// String returns the name used in error messages.
func (p Progress) String() string {
	return progressNames[p]
}

// Classify returns the error for a hop that failed with err at progress p.
//
// Before the first byte of the request is written, the request cannot have run, whatever the
// error. Afterwards it may have run, whatever the error: a connection reset does not tell how
// much the peer had read.
func Classify(p Progress, err error) *Error {
	e := &Error{Evidence: Unknown{}, Code: CodeCut, Err: err}
	if p == Dialing || p == Connected {
		e.Evidence = Unsent{}
		e.Code = CodeUnreachable
	}
	e.Detail = "hop failed while " + p.String()
	switch {
	case errors.Is(err, context.Canceled):
		e.Code = CodeCanceled
	case isTimeout(err):
		e.Code = CodeDeadline
	case errors.Is(err, syscall.ECONNREFUSED):
		e.Code = CodeUnreachable
	}
	return e
}

func isTimeout(err error) bool {
	if errors.Is(err, context.DeadlineExceeded) {
		return true
	}
	var n net.Error
	return errors.As(err, &n) && n.Timeout()
}
