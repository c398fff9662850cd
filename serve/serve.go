// Package serve provides the HTTP servers of the programs that run on the users' platform:
// a plain one, and one whose limits can be replaced while it runs.
package serve

import (
	"errors"
	"net"
	"net/http"

	"github.com/charmbracelet/log"
)

// HTTP listens at addr, over IPv4, and serves s in the background until s is closed. It
// returns once the listener is open, or the error of opening it.
func HTTP(s *http.Server, addr string, l *log.Logger) error {
	listener, err := net.Listen("tcp4", addr)
	if err != nil {
		return err
	}
	go serve(s, listener, l)
	return nil
}

// serve runs s on listener until either is closed. Any other error is logged.
func serve(s *http.Server, listener net.Listener, l *log.Logger) {
	if err := s.Serve(listener); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
		l.Error("HTTP server failed", "addr", listener.Addr().String(), "err", err)
	}
}
