package gateway

import (
	"github.com/rcrowley/go-metrics"

	"github.com/silverdeck/silverdeck/member"
)

// SentCounters counts the bytes of datagrams sent to other gateways.
type SentCounters struct {
	// Heartbeats counts heartbeats; Digests counts a relay's digests together with the
	// heartbeats that accompany them.
	Heartbeats, Digests metrics.Counter
}

// NewSentCounters registers the counters in r.
func NewSentCounters(r metrics.Registry) *SentCounters {
	return &SentCounters{
		Heartbeats: metrics.GetOrRegisterCounter("gateway.sent.heartbeat_bytes", r),
		Digests:    metrics.GetOrRegisterCounter("gateway.sent.digest_bytes", r),
	}
}

// Count adds a datagram of the given size that was sent to the given number of gateways.
func (c *SentCounters) Count(kind member.Kind, bytes, gateways int) {
	n := int64(bytes * gateways)
	switch kind {
	case member.KindHeartbeat:
		c.Heartbeats.Inc(n)
	case member.KindDigest:
		c.Digests.Inc(n)
	}
}
