package peerconn

import (
	"bufio"
	"encoding/gob"
	"errors"
	"io"
	"net/rpc"
	"sync/atomic"
)

// maxMessage limits a call or a reply, in bytes. net/rpc itself reads up to 8 GB of one.
const maxMessage = 32 << 20

// Errors of connections that are closed because of what the peer sends.
var (
	errLongMessage = errors.New("peerconn: message too long")
	errUnasked     = errors.New("peerconn: reply without a call")
)

// messageReader limits the bytes of a message. It fails for good once one is too long: what follows has no
// beginning.
type messageReader struct {
	r      io.Reader
	left   int64
	failed bool
}

// begin begins the next message.
func (m *messageReader) begin() {
	if !m.failed {
		m.left = maxMessage
	}
}

// Read implements io.Reader.
func (m *messageReader) Read(b []byte) (int, error) {
	if m.left <= 0 {
		m.failed = true
		return 0, errLongMessage
	}
	n, err := m.r.Read(b[:min(int64(len(b)), m.left)])
	m.left -= int64(n)
	return n, err
}

// codec encodes the messages of a connection as net/rpc does.
type codec struct {
	conn   io.ReadWriteCloser
	in     messageReader
	dec    *gob.Decoder
	out    *bufio.Writer
	enc    *gob.Encoder
	closed atomic.Bool
}

func newCodec(conn io.ReadWriteCloser) *codec {
	c := &codec{conn: conn, in: messageReader{r: conn}, out: bufio.NewWriter(conn)}
	c.dec, c.enc = gob.NewDecoder(&c.in), gob.NewEncoder(c.out)
	return c
}

// readHeader begins to read the next message.
func (c *codec) readHeader(header any) error {
	c.in.begin()
	return c.dec.Decode(header)
}

// readBody reads the rest of a message. A body of nil discards it.
func (c *codec) readBody(body any) error {
	return c.dec.Decode(body)
}

// write sends a message. The connection is closed if part of one may have been sent.
func (c *codec) write(header, body any) error {
	err := c.enc.Encode(header)
	if err == nil {
		err = c.enc.Encode(body)
	}
	if err != nil {
		_ = c.Close()
		return err
	}
	return c.out.Flush()
}

// Close closes the connection.
func (c *codec) Close() error {
	if c.closed.Swap(true) {
		return nil
	}
	return c.conn.Close()
}

// clientCodec implements rpc.ClientCodec.
type clientCodec struct {
	*codec
	// pending is the number of calls without a reply.
	pending atomic.Int64
}

// WriteRequest implements rpc.ClientCodec.
func (c *clientCodec) WriteRequest(r *rpc.Request, body any) error {
	c.pending.Add(1)
	return c.write(r, body)
}

// ReadResponseHeader implements rpc.ClientCodec.
func (c *clientCodec) ReadResponseHeader(r *rpc.Response) error {
	err := c.readHeader(r)
	if err == nil && c.pending.Add(-1) < 0 {
		err = errUnasked
	}
	return c.closeAfter(err)
}

// ReadResponseBody implements rpc.ClientCodec.
func (c *clientCodec) ReadResponseBody(body any) error {
	return c.closeAfter(c.readBody(body))
}

// closeAfter closes the connection if err is not nil: net/rpc reads no more then. It returns err.
func (c *clientCodec) closeAfter(err error) error {
	if err != nil {
		_ = c.Close()
	}
	return err
}

// serverCodec implements rpc.ServerCodec.
type serverCodec struct {
	*codec
}

// ReadRequestHeader implements rpc.ServerCodec.
func (c serverCodec) ReadRequestHeader(r *rpc.Request) error {
	return c.readHeader(r)
}

// ReadRequestBody implements rpc.ServerCodec.
func (c serverCodec) ReadRequestBody(body any) error {
	return c.readBody(body)
}

// WriteResponse implements rpc.ServerCodec.
func (c serverCodec) WriteResponse(r *rpc.Response, body any) error {
	return c.write(r, body)
}
