// Package hopbyhop identifies hop-by-hop HTTP headers, which apply to a single connection and
// must not be forwarded.
package hopbyhop

import "net/http"

// names holds the hop-by-hop headers in canonical form (RFC 9110, section 7.6.1).
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

// Is reports whether the header with the given canonical name is a hop-by-hop header.
func Is(name string) bool {
	return names[name]
}

// Remove deletes all hop-by-hop headers from h.
func Remove(h http.Header) {
	for name := range names {
		delete(h, name)
	}
}
