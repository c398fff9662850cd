package header

import (
	"net/http"

	"github.com/silverdeck/silverdeck/hopbyhop"
)

// isRegenerated reports whether a header is generated anew for each connection, because it
// follows from the body or addresses only the next hop.
func isRegenerated(name string) bool {
	return name == "Content-Length" || name == "Expect"
}

// CopyEndToEnd copies end-to-end headers and omits those that apply to a single connection.
func CopyEndToEnd(to, from http.Header) {
	for name, values := range from {
		if !hopbyhop.Is(name) && !isRegenerated(name) {
			to[name] = values
		}
	}
}
