package soak

import (
	"context"
	"net/http/httptrace"
	"sync"
	"time"
)

// sending is how far the sending of a request came. It is safe for concurrent use.
type sending struct {
	mu              sync.Mutex
	connected, kept bool
	at              time.Time
}

// trace returns ctx so that a request with it is followed.
func (s *sending) trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.connected, s.kept = true, info.Reused
		},
		WroteRequest: func(info httptrace.WroteRequestInfo) {
			s.mu.Lock()
			defer s.mu.Unlock()
			if info.Err == nil {
				s.at = time.Now()
			}
		},
	})
}

// result returns whether the connection was a kept one, when the last byte was sent, and
// whether it was.
func (s *sending) result() (bool, time.Time, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.kept, s.at, !s.at.IsZero()
}

// isConnected returns whether there was a connection for the request.
func (s *sending) isConnected() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.connected
}
