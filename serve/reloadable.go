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

// Limits bound what a caller may send on a connection, and for how long it may rest.
type Limits struct {
	// HeaderBytes is the largest head of a request, in bytes.
	HeaderBytes int
	// HeaderTimeout is how long a head may take, IdleTimeout how long a connection may
	// rest between two requests.
	HeaderTimeout, IdleTimeout time.Duration
}

// Reloadable serves one address with limits that can be replaced while it runs. A
// connection keeps the limits that it began with. It is safe for concurrent use.
type Reloadable struct {
	handler  http.Handler
	log      *log.Logger
	listener *net.TCPListener

	mu sync.Mutex
	// current takes new connections.
	current *limitedServer
	// servers are all servers by their limits; those that are not current serve the
	// connections that they have.
	servers map[Limits]*limitedServer
	// stopping is set once no new connections are taken.
	stopping bool

	// conns are the open connections, from the moment at which they are accepted.
	conns *connections
	// accepted is closed once no more are; closing is what came of closing the listener.
	accepted chan struct{}
	closing  error
}

// limitedServer is an http.Server that takes the connections handed to it.
type limitedServer struct {
	http.Server
	conns *handoff
}

// Listen returns a Reloadable that serves h at addr, by IPv4.
func Listen(addr string, h http.Handler, limits Limits, l *log.Logger) (*Reloadable, error) {
	listener, err := listenTCP(addr)
	if err != nil {
		return nil, err
	}
	s := &Reloadable{
		handler: h, log: l, listener: listener, servers: map[Limits]*limitedServer{},
		conns: newConnections(), accepted: make(chan struct{}),
	}
	s.SetLimits(limits)
	go s.accept()
	return s, nil
}

func listenTCP(addr string) (*net.TCPListener, error) {
	a, err := net.ResolveTCPAddr("tcp4", addr)
	if err != nil {
		return nil, err
	}
	return net.ListenTCP("tcp4", a)
}

// SetLimits makes limits hold for connections that are accepted from now on.
func (s *Reloadable) SetLimits(limits Limits) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopping {
		return // a server that starts now would not be waited for
	}
	if s.servers[limits] == nil {
		s.servers[limits] = s.start(limits)
	}
	s.current = s.servers[limits]
}

// start starts a server with limits.
func (s *Reloadable) start(limits Limits) *limitedServer {
	server := &limitedServer{
		Server: http.Server{
			Handler:           s.handler,
			ReadHeaderTimeout: limits.HeaderTimeout,
			IdleTimeout:       limits.IdleTimeout,
			MaxHeaderBytes:    limits.HeaderBytes,
			ErrorLog:          s.log.StandardLog(),
			ConnState:         noteState,
		},
		conns: &handoff{addr: s.listener.Addr(), conns: make(chan net.Conn), closed: make(chan struct{})},
	}
	go serve(&server.Server, server.conns, s.log)
	return server
}

// Times of accepting.
const (
	// acceptPause is the time between two tries to accept after one failed, as when the
	// process is out of descriptors.
	acceptPause = 10 * time.Millisecond
	// lastAccepts is for how long a shutdown accepts what waits at the listener, which the
	// kernel resets once that is closed.
	lastAccepts = 10 * time.Millisecond
	// acceptsLate is how much later than that it may come to close it. After that this
	// process stood still, and accepts once more.
	acceptsLate = lastAccepts
)

// accept hands each new connection to the current server, until a shutdown. Then it closes
// the listener.
func (s *Reloadable) accept() {
	defer close(s.accepted)
	defer func() { s.closing = s.listener.Close() }()
	for {
		err := s.acceptNext()
		switch {
		case errors.Is(err, os.ErrDeadlineExceeded):
			s.acceptWaiting()
			return
		case err != nil:
			s.log.Warn("connection not accepted", "addr", s.listener.Addr().String(), "err", err)
			time.Sleep(acceptPause)
		}
	}
}

func (s *Reloadable) acceptNext() error {
	conn, err := s.listener.Accept()
	if err == nil {
		s.newest().conns.give(s.conns.add(conn))
	}
	return err
}

// acceptWaiting accepts what came to the listener before the shutdown.
func (s *Reloadable) acceptWaiting() {
	for {
		until := time.Now().Add(lastAccepts)
		_ = s.listener.SetDeadline(until) // fails on no open listener
		for s.acceptNext() == nil {       // the error says that the time is over
		}
		if time.Since(until) < acceptsLate {
			return
		}
	}
}

func (s *Reloadable) newest() *limitedServer {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.current
}

// Reading returns on how many connections a request is read or answered.
func (s *Reloadable) Reading() int {
	return s.conns.busy()
}

// Shutdown takes no new connections and closes those at rest. It waits until the others
// have answered, or for ctx. In place of http.Server.Shutdown, which closes a connection
// while its next request is being read, and does not wait for one that was just accepted.
func (s *Reloadable) Shutdown(ctx context.Context) error {
	s.mu.Lock()
	s.stopping = true
	s.mu.Unlock()
	_ = s.listener.SetDeadline(time.Now()) // wakes accept; a second shutdown finds it closed
	<-s.accepted
	err := s.closing
	for _, server := range s.all() {
		err = errors.Join(err, server.conns.Close())
	}
	return errors.Join(err, s.conns.shutdown(ctx))
}

func (s *Reloadable) all() []*limitedServer {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Collect(maps.Values(s.servers))
}

// handoff is a net.Listener of connections that another one accepted.
type handoff struct {
	addr   net.Addr
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

// give hands conn to whoever accepts, or closes it where nobody does any more.
func (h *handoff) give(conn net.Conn) {
	select {
	case h.conns <- conn:
	case <-h.closed:
		_ = conn.Close() // the server has ended: nobody is told of it
	}
}

// Accept implements net.Listener.
func (h *handoff) Accept() (net.Conn, error) {
	select {
	case conn := <-h.conns:
		return conn, nil
	case <-h.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (h *handoff) Close() error {
	h.once.Do(func() { close(h.closed) })
	return nil
}

// Addr implements net.Listener.
func (h *handoff) Addr() net.Addr {
	return h.addr
}
