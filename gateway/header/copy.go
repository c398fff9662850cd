package header

import (
	"net/http"

	"github.com/silverdeck/silverdeck/hopbyhop"
)

// setAnew returns whether a header is written anew for each connection, because it
// follows from the body or asks only the next hop for something.
func setAnew(name string) bool {
	return name == "Content-Length" || name == "Expect"
}

// CopyEndToEnd copies what concerns caller and endpoint, and leaves out what
// concerns one connection only.
func CopyEndToEnd(to, from http.Header) {
	for name, values := range from {
		if !hopbyhop.Is(name) && !setAnew(name) {
			to[name] = values
		}
	}
}
