package hop

import (
	"net/http"
	"strconv"
)

// MarksEnd reports whether a length or chunks tell where the body of resp ends. Otherwise it ends with its
// connection, and a body that was cut looks like a whole one.
func MarksEnd(resp *http.Response) bool {
	return resp.ContentLength >= 0 || resp.Body == http.NoBody || len(resp.TransferEncoding) > 0
}

// LeaveUnmarked makes net/http end an answer with its connection, without a mark of its end.
func LeaveUnmarked(h http.Header) {
	h.Set("Transfer-Encoding", "identity")
}

// SetLength states the length of a whole answer, in bytes, unless its end is left unmarked.
func SetLength(h http.Header, n int) {
	if h.Get("Transfer-Encoding") == "" {
		h.Set("Content-Length", strconv.Itoa(n))
	}
}
