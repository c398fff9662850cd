// Package responsehead tells whether the head of an HTTP response can be that of one response. The parser of net/http
// accepts heads that HTTP does not allow.
package responsehead

import (
	"bytes"
	"net/http"
	"regexp"
	"slices"
	"strconv"

	"golang.org/x/net/http/httpguts"
)

// Fault is what can't be in the head of one response. A server may break off a response and send
// another one behind it, and a parser then finds parts of both in one head.
type Fault string

// The faults of a head, as in error messages.
const (
	// NoFault means that the head is consistent.
	NoFault Fault = ""
	// Spliced means that a status line begins inside another line.
	Spliced Fault = "a status line inside another line"
	// Repeated means that a header with a single value occurs more than once.
	Repeated Fault = "a single value occurs twice"
	// InvalidStatus means that no response to a request of this package's users can have the status.
	InvalidStatus Fault = "a status that no response has"
	// InvalidName means that the name of a header is not a token. Other parsers may read the header with another
	// name, or another framing of the body.
	InvalidName Fault = "a header whose name is not a token"
	// OldEncoding means that a response of HTTP/1.0 states an encoding, which that version does not have. Some
	// parsers ignore it, so that its frames become the body.
	OldEncoding Fault = "an encoding in a response of HTTP/1.0"
)

// The least and the greatest status of a response (RFC 9110, section 15).
const (
	minStatus = http.StatusContinue
	maxStatus = 599
)

// CheckStatus returns InvalidStatus for a status that HTTP does not define, and for a switch of protocols, which
// nobody asks for.
func CheckStatus(status int) Fault {
	if status < minStatus || status > maxStatus || status == http.StatusSwitchingProtocols {
		return InvalidStatus
	}
	return NoFault
}

// CheckNames returns InvalidName if the name of a header or trailer is not a token (RFC 9110, section 5.1). The parser
// of net/http accepts blanks in names. A trailer that was announced and not sent has no values.
func CheckNames(h http.Header) Fault {
	for name, values := range h {
		if len(values) > 0 && !httpguts.ValidHeaderFieldName(name) {
			return InvalidName
		}
	}
	return NoFault
}

// CheckSyntax returns the fault of a head with the given status and headers that HTTP does not allow, whatever it
// means.
func CheckSyntax(status int, h http.Header) Fault {
	if fault := CheckStatus(status); fault != NoFault {
		return fault
	}
	return CheckNames(h)
}

// encodingLine matches the beginning of a header line that states an encoding.
var encodingLine = regexp.MustCompile(`(?im)^Transfer-Encoding:`)

// CheckEncoding returns OldEncoding if the head raw of a response of a version before HTTP/1.1 states an encoding
// (RFC 9112, section 6.1). The parser of net/http removes that header.
func CheckEncoding(resp *http.Response, raw []byte) Fault {
	if !resp.ProtoAtLeast(1, 1) && encodingLine.Match(raw) {
		return OldEncoding
	}
	return NoFault
}

// statusLine matches the beginning of a response.
var statusLine = regexp.MustCompile(`HTTP/\d\.\d \d{3}`)

// BeginsResponse returns whether a response begins within s.
func BeginsResponse(s string) bool {
	return statusLine.MatchString(s)
}

// ContinuesWithResponse returns whether another response begins within the head raw. A parser may drop the
// header in which it does.
func ContinuesWithResponse(raw []byte) bool {
	at := statusLine.FindIndex(raw)
	return at != nil && statusLine.Match(raw[at[1]:])
}

// BeginsBefore returns whether a response begins in body, which surplus follows.
func BeginsBefore(body, surplus []byte) bool {
	const length = len("HTTP/1.1 200")
	joint := append(slices.Clone(body[max(len(body)-length, 0):]), surplus[:min(length, len(surplus))]...)
	at := statusLine.FindIndex(joint)
	return statusLine.Match(body) || at != nil && at[0] < min(length, len(body))
}

// IndexInField returns where a response begins in the name of a field of events, which ends with a colon, or -1. One
// that an event quotes stands in a value.
func IndexInField(events []byte) int {
	for _, at := range statusLine.FindAllIndex(events, -1) {
		line := bytes.LastIndexByte(events[:at[0]], '\n') + 1
		if !bytes.Contains(events[line:at[0]], []byte(":")) {
			return at[0]
		}
	}
	return -1
}

// HasStatus returns whether b begins with a response with the given status.
func HasStatus(b []byte, status int) bool {
	at := statusLine.FindIndex(b)
	return at != nil && at[0] == 0 && bytes.HasSuffix(b[:at[1]], strconv.AppendInt(nil, int64(status), 10))
}

// Check returns the fault of a head with the given status text and headers that no single response can
// have. single are the names of headers that occur at most once.
func Check(status string, h http.Header, single ...string) Fault {
	if BeginsResponse(status) {
		return Spliced
	}
	for _, values := range h {
		if slices.ContainsFunc(values, BeginsResponse) {
			return Spliced
		}
	}
	for _, name := range single {
		if len(h.Values(name)) > 1 {
			return Repeated
		}
	}
	return NoFault
}
