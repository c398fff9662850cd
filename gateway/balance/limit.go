package balance

import (
	"time"

	"github.com/silverdeck/silverdeck/gateway/advisory"
)

// limit is what an endpoint has named of the rate of requests that it takes of all gateways
// together.
type limit struct {
	// named is set while it names one, rate is that in requests a second.
	named bool
	rate  float64
	// heardAt is when a gateway last heard so from the endpoint itself.
	heardAt time.Time
}

// LimitChange is how an answer changed what is known of an endpoint's limit.
type LimitChange int

// The changes.
const (
	// LimitSame means that the endpoint says what it said before.
	LimitSame LimitChange = iota
	// LimitNamed means that it names a limit, or another one.
	LimitNamed
	// LimitEnded means that it names none any more.
	LimitEnded
)

// limitNames are the names in log lines.
var limitNames = map[LimitChange]string{LimitSame: "same", LimitNamed: "named", LimitEnded: "ended"}

// String returns the change's name.
func (c LimitChange) String() string {
	return limitNames[c]
}

// hear takes in what an answer to a request that was sent at sentAt says. Heads of several
// connections come out of order: a limit has ended only where the request was sent after it
// was last named.
func (l *limit) hear(told advisory.Limit, sentAt, now time.Time) LimitChange {
	switch told := told.(type) {
	case advisory.PerSecond:
		same := l.named && l.rate == float64(told)
		*l = limit{named: true, rate: float64(told), heardAt: now}
		if !same {
			return LimitNamed
		}
	case advisory.Unlimited:
		if l.named && sentAt.After(l.heardAt) {
			*l = limit{heardAt: now}
			return LimitEnded
		}
	case advisory.Unknown:
	}
	return LimitSame
}

// Heard is what an answer's head changed in what is known of its endpoint.
type Heard struct {
	Limit LimitChange
	// FirstUnreadable is set for the first head of an endpoint's life that could not be read
	// whole.
	FirstUnreadable bool
}

// Hear takes in what the endpoint said of itself in the head of an answer to a request that
// was sent at sentAt.
func (l *Lease) Hear(a advisory.Advisory, sentAt, now time.Time) Heard {
	l.shard.mu.Lock()
	defer l.shard.mu.Unlock()
	e := l.endpoint
	first := len(a.Unreadable) > 0 && !e.unreadable
	e.unreadable = e.unreadable || first
	return Heard{Limit: e.limit.hear(a.Limit, sentAt, now), FirstUnreadable: first}
}
