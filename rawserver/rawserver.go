// Package rawserver is a server for tests that answers each request with given bytes, which need not be a response.
package rawserver

import (
	"bufio"
	"io"
	"net"
	"net/http"
)

// Server answers one request on each connection.
type Server struct {
	// Addr is the address at which it listens.
	Addr     string
	listener net.Listener
}

// New returns a server that answers a request with text and closes the connection. The caller closes it. New panics
// if there is no free port.
func New(text string) *Server {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go answer(c, text)
		}
	}()
	return &Server{Addr: l.Addr().String(), listener: l}
}

// Close ends the server. Connections end once they are answered.
func (s *Server) Close() {
	_ = s.listener.Close()
}

func answer(c net.Conn, text string) {
	defer func() { _ = c.Close() }()
	r, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, r.Body) // data that is not read would reset the connection
	_, _ = io.WriteString(c, text)
}
