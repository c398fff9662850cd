package responsehead

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
)

// MaxBytes limits the head of a response, and together those of the informational responses before it, in bytes.
const MaxBytes = 64 << 10

// Error reports that a head is not that of one response as HTTP allows it, so that neither its status nor its
// headers prove anything.
type Error struct {
	Fault Fault
}

// Error implements error.
func (e *Error) Error() string {
	return "responsehead: " + string(e.Fault)
}

// Transport is an http.RoundTripper that returns only responses whose head can be that of one response, and is
// such as HTTP allows. The same is asked of the informational responses before it and of the trailer: a body with a
// malformed one ends with an *Error.
type Transport struct {
	*http.Transport
}

// NewTransport returns a Transport that sends requests with t. It limits the heads that t reads to MaxBytes.
func NewTransport(t *http.Transport) *Transport {
	t.MaxResponseHeaderBytes = MaxBytes
	return &Transport{Transport: t}
}

// DefaultTransport returns a Transport with the settings of http.DefaultTransport.
func DefaultTransport() *Transport {
	return NewTransport(http.DefaultTransport.(*http.Transport).Clone())
}

// RoundTrip implements http.RoundTripper. It returns an *Error for a head that no single response has.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	trace := &httptrace.ClientTrace{Got1xxResponse: newInformational().check}
	resp, err := t.Transport.RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), trace)))
	if err != nil {
		return nil, err
	}
	if fault := checkFinal(resp); fault != NoFault {
		_ = resp.Body.Close() // what it may have held is of no use
		return nil, &Error{Fault: fault}
	}
	if resp.Body != http.NoBody {
		resp.Body = &body{ReadCloser: resp.Body, response: resp}
	}
	return resp, nil
}

// checkFinal returns the fault of the head of a final response.
func checkFinal(resp *http.Response) Fault {
	if fault := CheckSyntax(resp.StatusCode, resp.Header); fault != NoFault {
		return fault
	}
	return Check(resp.Status, resp.Header)
}

// body is the body of a response.
type body struct {
	io.ReadCloser
	response *http.Response
}

// Read implements io.Reader. The end of the body is an error if the trailer is malformed.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		if fault := CheckNames(b.response.Trailer); fault != NoFault {
			return n, &Error{Fault: fault}
		}
	}
	return n, err
}
