package responsehead

import (
	"errors"
	"net/http"
	"net/textproto"
)

// lineOverhead is what a line of a head has besides a name and a value, in bytes. A head has one line and its end in
// addition to its headers.
const lineOverhead = len(": \r\n")

// errInformational means that the informational responses before a response have more than MaxBytes together.
var errInformational = errors.New("responsehead: too many informational responses")

// informational checks the informational responses before one response.
type informational struct {
	// left is how many bytes more they may have.
	left int
}

func newInformational() *informational {
	return &informational{left: MaxBytes}
}

// check implements httptrace.ClientTrace.Got1xxResponse. net/http does not limit the number of responses where this
// is set.
func (i *informational) check(status int, h textproto.MIMEHeader) error {
	i.left -= 2 * lineOverhead
	for name, values := range h {
		for _, v := range values {
			i.left -= len(name) + len(v) + lineOverhead
		}
	}
	if i.left < 0 {
		return errInformational
	}
	if fault := CheckSyntax(status, http.Header(h)); fault != NoFault {
		return &Error{Fault: fault}
	}
	return nil
}
