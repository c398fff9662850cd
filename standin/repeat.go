package standin

import (
	"net"
	"sync"
)

// RepeatingListener accepts connections on which answers may come a second time, each in the place where
// the answer to the next request is due.
type RepeatingListener struct {
	net.Listener
	// Again returns whether the last answer is sent once more. It is called for each request on a
	// connection but the first.
	Again func() bool
}

// Accept implements net.Listener.
func (l *RepeatingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &repeatingConn{Conn: c, again: l.Again}, nil
}

// maxRepeated is the size limit of an answer that is sent again, in bytes.
const maxRepeated = 64 << 10

// repeatingConn keeps the last answer. It is whole once the next request arrives, since clients wait for
// it before they send one.
type repeatingConn struct {
	net.Conn
	again func() bool

	mu     sync.Mutex
	answer []byte
	// answered is set while nothing was read since the last write.
	answered bool
}

// Read implements net.Conn.
func (c *repeatingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	if n == 0 || !c.answered {
		return n, err
	}
	if len(c.answer) <= maxRepeated && c.again() {
		_, _ = c.Conn.Write(c.answer) // if it fails, so does the next answer
	}
	c.answer, c.answered = nil, false
	return n, err
}

// Write implements net.Conn.
func (c *repeatingConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.answer) <= maxRepeated {
		c.answer = append(c.answer, p...)
	}
	c.answered = true
	return c.Conn.Write(p)
}
