package serve

import (
	"errors"
	"net"
	"net/http"
)

// errNoReset means that a connection was not accepted by this package.
var errNoReset = errors.New("serve: the connection can't be reset")

// Reset resets the connection of the request that w answers. Its peer sees an error instead of the
// end of the response, and data on the way to it may be lost. The handler must not use w afterwards.
func Reset(w http.ResponseWriter) error {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return err
	}
	c, ok := conn.(*connection)
	if !ok {
		_ = conn.Close() // nobody else owns it
		return errNoReset
	}
	if socket, ok := c.Conn.(*net.TCPConn); ok {
		_ = socket.SetLinger(lingerReset) // fails only on a closed connection
	}
	return c.Close()
}
