package header

import (
	"net/http"
	"strconv"
)

// SetLength states the length of a body, in bytes.
func SetLength(h http.Header, n int64) {
	h.Set("Content-Length", strconv.FormatInt(n, 10))
}
