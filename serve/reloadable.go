package serve

import (
	"context"
	"errors"
	"maps"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/charmbracelet/log"
)

// Limits bounds the request headers of a connection and its idle time.
type Limits struct {
	// HeaderBytes is the maximum size of a request header.
	HeaderBytes int
	// HeaderTimeout is the maximum time for reading a request header, IdleTimeout the
	// maximum time between two requests.
	HeaderTimeout, IdleTimeout time.Duration
}

// Reloadable is an HTTP server on one address whose limits can be replaced while it runs.
// A connection keeps the limits under which it was accepted. It is safe for concurrent use.
type Reloadable struct {
	handler  http.Handler
	log      *log.Logger
	listener *net.TCPListener

	mu sync.Mutex
	// current receives new connections.
	current *limitedServer
	// servers holds all servers by their limits; those other than current only serve the
	// connections that they already have.
	servers map[Limits]*limitedServer
	// stopping is set once a shutdown has begun.
	stopping bool

	// conns holds the open connections from the moment they are accepted.
	conns *connections
	// acceptDone is closed once the accept loop has ended; closeErr then holds the result
	// of closing the listener.
	acceptDone chan struct{}
	closeErr   error
}

// limitedServer is an http.Server that serves the connections handed to it.
type limitedServer struct {
	http.Server
	conns *handoffListener
}

// Listen starts a Reloadable that serves h at addr, over IPv4.
func Listen(addr string, h http.Handler, limits Limits, l *log.Logger) (*Reloadable, error) {
	listener, err := listenTCP(addr)
	if err != nil {
		return nil, err
	}
	s := &Reloadable{
		handler: h, log: l, listener: listener, servers: map[Limits]*limitedServer{},
		conns: newConnections(), acceptDone: make(chan struct{}),
	}
	s.SetLimits(limits)
	go s.accept()
	return s, nil
}

// Addr returns the address at which the server listens.
func (s *Reloadable) Addr() net.Addr {
	return s.listener.Addr()
}

func listenTCP(addr string) (*net.TCPListener, error) {
	a, err := net.ResolveTCPAddr("tcp4", addr)
	if err != nil {
		return nil, err
	}
	return net.ListenTCP("tcp4", a)
}

// SetLimits applies limits to connections accepted from now on. It has no effect after
// Shutdown.
func (s *Reloadable) SetLimits(limits Limits) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopping {
		return // Shutdown would not close a server that is started now
	}
	if s.servers[limits] == nil {
		s.servers[limits] = s.startServer(limits)
	}
	s.current = s.servers[limits]
}

func (s *Reloadable) startServer(limits Limits) *limitedServer {
	server := &limitedServer{
		Server: http.Server{
			Handler:           s.handler,
			ReadHeaderTimeout: limits.HeaderTimeout,
			IdleTimeout:       limits.IdleTimeout,
			MaxHeaderBytes:    limits.HeaderBytes,
			ErrorLog:          s.log.StandardLog(),
			ConnState:         onConnState,
			ConnContext:       withConnection,
		},
		conns: &handoffListener{addr: s.listener.Addr(), conns: make(chan net.Conn), closed: make(chan struct{})},
	}
	go serve(&server.Server, server.conns, s.log)
	return server
}

// Timing of the accept loop.
const (
	// acceptRetryDelay is the delay after a failed accept, for example when the process is
	// out of file descriptors.
	acceptRetryDelay = 10 * time.Millisecond
	// finalAcceptWindow is how long a shutdown keeps accepting connections that are queued
	// at the listener. The kernel resets those that are left when the listener is closed.
	finalAcceptWindow = 10 * time.Millisecond
	// finalAcceptSlack is how far the window may be overrun. A longer overrun means that
	// the process was suspended in between, and the window is repeated.
	finalAcceptSlack = finalAcceptWindow
)

// accept hands new connections to the current server until a shutdown sets a deadline on the
// listener. It then accepts the connections still queued there and closes it.
func (s *Reloadable) accept() {
	defer close(s.acceptDone)
	defer func() { s.closeErr = s.listener.Close() }()
	for {
		err := s.acceptNext()
		switch {
		case errors.Is(err, os.ErrDeadlineExceeded):
			s.acceptQueued()
			return
		case err != nil:
			s.log.Warn("connection not accepted", "addr", s.listener.Addr().String(), "err", err)
			time.Sleep(acceptRetryDelay)
		}
	}
}

func (s *Reloadable) acceptNext() error {
	conn, err := s.listener.Accept()
	if err == nil {
		s.currentServer().conns.deliver(s.conns.add(conn))
	}
	return err
}

// acceptQueued accepts the connections that were queued at the listener before the shutdown.
func (s *Reloadable) acceptQueued() {
	for {
		until := time.Now().Add(finalAcceptWindow)
		_ = s.listener.SetDeadline(until) // does not fail while the listener is open
		for s.acceptNext() == nil {       // ends with the error of the deadline
		}
		if time.Since(until) < finalAcceptSlack {
			return
		}
	}
}

func (s *Reloadable) currentServer() *limitedServer {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.current
}

// BusyConnections returns the number of connections on which a request is being read or
// answered.
func (s *Reloadable) BusyConnections() int {
	return s.conns.busy()
}

// Shutdown stops accepting connections, closes the idle ones and waits until the others have
// written their response, or until ctx is done. It replaces http.Server.Shutdown, which
// closes a connection while its next request is being read and does not wait for a
// connection that was just accepted.
func (s *Reloadable) Shutdown(ctx context.Context) error {
	s.mu.Lock()
	s.stopping = true
	s.mu.Unlock()
	_ = s.listener.SetDeadline(time.Now()) // unblocks accept; a repeated Shutdown finds the listener closed
	<-s.acceptDone
	err := s.closeErr
	for _, server := range s.allServers() {
		err = errors.Join(err, server.conns.Close())
	}
	return errors.Join(err, s.conns.shutdown(ctx))
}

func (s *Reloadable) allServers() []*limitedServer {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Collect(maps.Values(s.servers))
}

// handoffListener is a net.Listener for connections that another listener accepted.
type handoffListener struct {
	addr   net.Addr
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

// deliver passes conn to Accept, or closes it if the listener is closed.
func (h *handoffListener) deliver(conn net.Conn) {
	select {
	case h.conns <- conn:
	case <-h.closed:
		_ = conn.Close() // no server is left to report an error to
	}
}

// Accept implements net.Listener.
func (h *handoffListener) Accept() (net.Conn, error) {
	select {
	case conn := <-h.conns:
		return conn, nil
	case <-h.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (h *handoffListener) Close() error {
	h.once.Do(func() { close(h.closed) })
	return nil
}

// Addr implements net.Listener.
func (h *handoffListener) Addr() net.Addr {
	return h.addr
}
