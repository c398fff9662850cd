package proxy

import "github.com/silverdeck/silverdeck/gateway/upstream"

// framingFor returns how a response is framed to the caller. length is its length, or -1 if that is
// not known.
func (c *call) framingFor(length int64) upstream.Framing {
	switch {
	case length >= 0:
		return upstream.FramedByLength
	case c.http10:
		return upstream.FramedByClose
	}
	return upstream.FramedByChunks
}
