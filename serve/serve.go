// Package serve opens the listeners of the programs on the users' platform and
// serves HTTP there, where wanted with limits that are replaced while it runs.
package serve

import (
	"errors"
	"net"
	"net/http"

	"github.com/charmbracelet/log"
)

// HTTP listens at addr, by IPv4, and serves s there until it is closed. It returns
// once connections are taken, or why they can't be.
func HTTP(s *http.Server, addr string, l *log.Logger) error {
	listener, err := net.Listen("tcp4", addr)
	if err != nil {
		return err
	}
	go serve(s, listener, l)
	return nil
}

// serve serves s at listener until it is closed; another end is logged.
func serve(s *http.Server, listener net.Listener, l *log.Logger) {
	if err := s.Serve(listener); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
		l.Error("server ended", "addr", listener.Addr().String(), "err", err)
	}
}
