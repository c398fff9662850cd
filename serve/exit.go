package serve

import (
	"context"
	"net"
)

// connectionKey is the context key of the connection on which a request arrived.
type connectionKey struct{}

// withConnection is the ConnContext hook of an http.Server.
func withConnection(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, conn)
}

// Linger times of a socket, in seconds; see net.TCPConn.SetLinger.
const (
	// lingerDefault makes the kernel send what is left, and then the end of the data.
	lingerDefault = -1
	// lingerReset makes the kernel reset the connection.
	lingerReset = 0
)

// ResetOnExit sets whether the connection on which the request with context ctx arrived is reset, rather
// than closed, once this process ends. The end of a response that ends with its connection can't be told
// from a kill otherwise. It must be unset again before such a response ends. It has no effect on requests
// that did not arrive through a Reloadable.
func ResetOnExit(ctx context.Context, on bool) {
	c, ok := ctx.Value(connectionKey{}).(*connection)
	if !ok {
		return
	}
	linger := lingerDefault
	if on {
		linger = lingerReset
	}
	if socket, ok := c.Conn.(*net.TCPConn); ok {
		_ = socket.SetLinger(linger) // fails only on a closed connection
	}
}
