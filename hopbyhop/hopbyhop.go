// Package hopbyhop names the HTTP headers that concern a single connection and
// must not be passed on.
package hopbyhop

import "net/http"

// names are the headers of one connection (RFC 9110, section 7.6.1).
var names = map[string]bool{
	"Connection":          true,
	"Keep-Alive":          true,
	"Proxy-Authenticate":  true,
	"Proxy-Authorization": true,
	"Proxy-Connection":    true,
	"Te":                  true,
	"Trailer":             true,
	"Transfer-Encoding":   true,
	"Upgrade":             true,
}

// Is returns whether the header of that canonical name concerns one connection.
func Is(name string) bool {
	return names[name]
}

// Remove removes all such headers from h.
func Remove(h http.Header) {
	for name := range names {
		delete(h, name)
	}
}
