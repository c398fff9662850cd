// Package conncheck checks the state of a connection's socket without reading from it. It
// keeps no state.
package conncheck

import (
	"net"
	"syscall"
)

// IsIdle reports whether c has no unread data and its peer has not closed it. A connection
// that is not backed by a socket counts as idle.
func IsIdle(c net.Conn) bool {
	socket, ok := c.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	idle := false
	err = raw.Control(func(fd uintptr) { // unlike Read, Control does not block while another goroutine is reading
		var buf [1]byte
		_, _, readErr := syscall.Recvfrom(int(fd), buf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		idle = readErr == syscall.EAGAIN || readErr == syscall.EWOULDBLOCK
	})
	return err == nil && idle
}
