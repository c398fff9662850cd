package hop

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync/atomic"

	"github.com/silverdeck/silverdeck/verdict"
)

// Progress follows how far a request to the next hop has come.
type Progress struct {
	at atomic.Int32
}

// At returns how far the request has come.
func (p *Progress) At() verdict.Progress {
	return verdict.Progress(p.at.Load())
}

// Track returns a context under which an HTTP request shows its progress.
func Track(ctx context.Context) (context.Context, *Progress) {
	p := &Progress{}
	set := func(v verdict.Progress) { p.at.Store(int32(v)) }
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn:              func(httptrace.GotConnInfo) { set(verdict.Connected) },
		WroteHeaders:         func() { set(verdict.Written) },
		GotFirstResponseByte: func() { set(verdict.Answering) },
	}), p
}

// OnceBody returns a body that net/http can't rewind, so that it never sends a
// request a second time by itself once bytes of it were written. That holds
// for an empty body too: net/http repeats a GET without one.
func OnceBody(b []byte) io.Reader {
	return struct{ io.Reader }{bytes.NewReader(b)}
}

// IsStream returns whether the answer is a stream of server-sent events.
func IsStream(h http.Header) bool {
	return strings.HasPrefix(h.Get("Content-Type"), "text/event-stream")
}

// IsDone returns whether line is the last event of an OpenAI-style stream.
func IsDone(line []byte) bool {
	return string(bytes.TrimSpace(line)) == "data: [DONE]"
}

// EndsDone returns whether b ends with the last event of a stream, and has
// nothing behind it but empty lines.
func EndsDone(b []byte) bool {
	b = bytes.TrimSpace(b)
	return IsDone(b[bytes.LastIndexByte(b, '\n')+1:])
}
