// Package quiet looks at what waits in a connection's socket without reading it. It owns
// nothing.
package quiet

import (
	"net"
	"syscall"
)

// Is returns whether nothing came on c that was not read, and its other side has not closed
// it. A connection that is no socket counts as quiet.
func Is(c net.Conn) bool {
	socket, ok := c.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Control(func(fd uintptr) { // beside a goroutine that may be reading
		var one [1]byte
		_, _, readErr := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = readErr == syscall.EAGAIN || readErr == syscall.EWOULDBLOCK
	})
	return err == nil && quiet
}
