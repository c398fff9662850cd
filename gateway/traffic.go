package gateway

import (
	"github.com/rcrowley/go-metrics"

	"github.com/silverdeck/silverdeck/member"
)

// SentCounters count the bytes of datagrams to other gateways.
type SentCounters struct {
	// Heartbeats has those of heartbeats, Digests those of a relay's digests with the
	// heartbeats beside them.
	Heartbeats, Digests metrics.Counter
}

// NewSentCounters registers the counters in r.
func NewSentCounters(r metrics.Registry) *SentCounters {
	return &SentCounters{
		Heartbeats: metrics.GetOrRegisterCounter("gateway.sent.heartbeat_bytes", r),
		Digests:    metrics.GetOrRegisterCounter("gateway.sent.digest_bytes", r),
	}
}

// Count counts a datagram of so many bytes that went to so many gateways.
func (c *SentCounters) Count(kind member.Kind, bytes, gateways int) {
	n := int64(bytes * gateways)
	switch kind {
	case member.KindHeartbeat:
		c.Heartbeats.Inc(n)
	case member.KindDigest:
		c.Digests.Inc(n)
	}
}
