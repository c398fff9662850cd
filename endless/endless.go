// Package endless is a server for tests that answers each request with bytes that never end.
package endless

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
)

// Sizes in bytes.
const (
	// writeBuffer is what the system may hold of what was written, besides what it holds for the reader.
	writeBuffer = 16 << 10
	// block is the least size of one write.
	block = 16 << 10
)

// Server writes to each connection until that is closed.
type Server struct {
	// Addr is the address at which it listens.
	Addr     string
	listener net.Listener
	sent     atomic.Int64
	// greeting is sent before the client's first bytes after its request, or empty.
	greeting string
}

// NewServer returns a server that reads the head of one request on each connection, and answers it with first
// and then with next again and again. The caller closes it. NewServer panics if there is no free port.
func NewServer(first, next string) *Server {
	return NewTunnel("", first, next)
}

// NewTunnel is like NewServer, but the server answers the request with greeting, and what the client sends
// then with first and next.
func NewTunnel(greeting, first, next string) *Server {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	s := &Server{Addr: l.Addr().String(), listener: l, greeting: greeting}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go s.answer(c, first, strings.Repeat(next, block/len(next)+1))
		}
	}()
	return s
}

// Close ends the server. Connections end when their clients close them.
func (s *Server) Close() {
	_ = s.listener.Close()
}

// Sent returns the bytes that were written on all connections. Up to MaxUnread of them may not have been read.
func (s *Server) Sent() int64 {
	return s.sent.Load()
}

// maxBufferFile holds the smallest, usual and largest size of a socket's receive buffer, in bytes; see tcp(7).
const maxBufferFile = "/proc/sys/net/ipv4/tcp_rmem"

// MaxUnread returns the most bytes of a connection that the system holds for its reader. It grows the receive
// buffer of one that reads fast.
func MaxUnread() int64 {
	text, err := os.ReadFile(maxBufferFile)
	if err != nil {
		panic(err)
	}
	fields := strings.Fields(string(text))
	n, err := strconv.ParseInt(fields[len(fields)-1], 10, 64)
	if err != nil {
		panic(err)
	}
	return n + 2*writeBuffer
}

func (s *Server) answer(c net.Conn, first, next string) {
	defer func() { _ = c.Close() }()
	_ = c.(*net.TCPConn).SetWriteBuffer(writeBuffer) // if this fails, more is counted
	r := bufio.NewReader(c)
	if _, err := http.ReadRequest(r); err != nil {
		return
	}
	if s.greeting != "" {
		_, _ = io.WriteString(c, s.greeting) // if this fails, so does the next read
		if _, err := r.ReadByte(); err != nil {
			return
		}
	}
	for text := first; ; text = next {
		n, err := io.WriteString(c, text)
		s.sent.Add(int64(n))
		if err != nil {
			return
		}
	}
}
