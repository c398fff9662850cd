package balance

import (
	"time"

	"github.com/silverdeck/silverdeck/gateway/advisory"
)

// Rate limits declared by endpoints.
const (
	// minProbeRate is the lowest rate, in requests per second, at which requests are sent
	// to a rate-limited endpoint: only its responses show when the limit has ended.
	minProbeRate = 0.2
	// limitTTL is how long a gateway honors a limit without further confirmation. It is
	// several times as long as another gateway needs to take over an endpoint from a holder
	// that died.
	limitTTL = 5 * time.Second
)

// LimitInterval returns the time between two requests to an endpoint that is limited to
// perSecond requests per second.
func LimitInterval(perSecond float64) time.Duration {
	return time.Duration(float64(time.Second) / max(perSecond, minProbeRate))
}

// rateLimit is the known limit on the rate of requests that an endpoint accepts from all
// gateways together: one that it declares, or one that applies while it is cold. One gateway, the
// holder, sends requests at that rate, one at a time; the others send none. The total rate
// therefore depends neither on the number of gateways nor on how late they learn of each other's
// requests.
type rateLimit struct {
	// declared is set while the endpoint declares a limit; rate is that limit in requests
	// per second.
	declared bool
	rate     float64
	// heardAt and confirmedAt are as in advisory.Record.
	heardAt, confirmedAt time.Time
	// nextSendAt is when the holder may send the next request.
	nextSendAt time.Time
	// holderBlockedAt is when the holder last could not send a request of its own.
	// lastGranted is set if the last request was granted to another gateway.
	holderBlockedAt time.Time
	lastGranted     bool
	// requesters are the gateways that recently requested a token from the holder, by name.
	requesters map[string]*tokenRequester
	// tokenFrom and tokenUntil are the period in which this gateway, if it is not the
	// holder, may send the one request that the holder granted it. nextTokenRequestAt is
	// when it may request the next token.
	tokenFrom, tokenUntil, nextTokenRequestAt time.Time
	// coldUntil is the time until which the endpoint is cold, and coldRate the number of requests
	// per second that it gets meanwhile; 0 if there is no such limit. coldTime is how long it is
	// cold after a start.
	coldUntil time.Time
	coldRate  float64
	coldTime  time.Duration
}

// cold reports whether the endpoint is cold and therefore limited.
func (l *rateLimit) cold(now time.Time) bool {
	return l.coldRate > 0 && now.Before(l.coldUntil)
}

// interval returns the time between two requests, for the lower of the limits that apply.
func (l *rateLimit) interval(now time.Time) time.Duration {
	switch {
	case !l.cold(now):
		return LimitInterval(l.rate)
	case l.declared:
		return LimitInterval(min(l.rate, l.coldRate))
	}
	return LimitInterval(l.coldRate)
}

// active reports whether a limit applies. held is set if this gateway is the holder.
func (l *rateLimit) active(held bool, now time.Time) bool {
	return l.cold(now) || l.declared && (held || now.Before(later(l.heardAt, l.confirmedAt).Add(limitTTL)))
}

// noteSent records that a request is sent.
func (l *rateLimit) noteSent(now time.Time) {
	if l.declared || l.cold(now) {
		l.nextSendAt, l.tokenUntil = now.Add(l.interval(now)), time.Time{}
		l.lastGranted = false
	}
}

// startHolding makes this gateway the holder. If a limit applies, the first interval starts now
// because the previous holder may just have sent a request.
func (l *rateLimit) startHolding(now time.Time) {
	l.nextSendAt = now
	if l.declared || l.cold(now) {
		l.nextSendAt = now.Add(l.interval(now))
	}
}

// LimitChange is the effect of a response on the known limit of an endpoint.
type LimitChange int

// Limit changes.
const (
	// LimitUnchanged means that the endpoint declares what it declared before.
	LimitUnchanged LimitChange = iota
	// LimitDeclared means that the endpoint declares a new or different limit.
	LimitDeclared
	// LimitEnded means that the endpoint no longer declares a limit.
	LimitEnded
)

// limitNames are the names used in log lines.
var limitNames = map[LimitChange]string{LimitUnchanged: "same", LimitDeclared: "named", LimitEnded: "ended"}

// String returns the name used in log lines.
func (c LimitChange) String() string {
	return limitNames[c]
}

// observe applies the limit from the response to a request sent at sentAt. Response headers
// on different connections arrive out of order, so a limit has ended only if the request
// was sent after the limit was last declared.
func (l *rateLimit) observe(declared advisory.Limit, sentAt, now time.Time) LimitChange {
	change := LimitUnchanged
	switch declared := declared.(type) {
	case advisory.PerSecond:
		change = l.set(declared, now, now)
	case advisory.Unlimited:
		if l.declared && sentAt.After(l.heardAt) {
			change = l.set(declared, now, now)
		}
	case advisory.Unknown:
	}
	return change
}

// set replaces the known limit with one received from the endpoint at heardAt.
func (l *rateLimit) set(limit advisory.Limit, heardAt, now time.Time) LimitChange {
	rate, limited := limit.(advisory.PerSecond)
	before := *l
	l.declared, l.rate, l.heardAt = limited, float64(rate), heardAt
	switch {
	case before.declared == limited && before.rate == l.rate:
		return LimitUnchanged
	case !limited:
		return LimitEnded
	case before.declared: // the new interval also counts from the last request
		l.nextSendAt = l.nextSendAt.Add(LimitInterval(l.rate) - LimitInterval(before.rate))
	default:
		l.nextSendAt = now.Add(LimitInterval(l.rate))
	}
	return LimitDeclared
}

// merge applies a limit reported by another gateway. Of the two, the limit that was
// received from the endpoint later wins.
func (l *rateLimit) merge(r *advisory.Record, now time.Time) LimitChange {
	l.confirmedAt = later(l.confirmedAt, r.ConfirmedAt)
	if !r.HeardAt.After(l.heardAt) {
		return LimitUnchanged
	}
	return l.set(r.Limit, r.HeardAt, now)
}

// advertised returns the limit to send to other gateways.
func (l *rateLimit) advertised() advisory.Limit {
	if l.declared {
		return advisory.PerSecond(l.rate)
	}
	return advisory.Unlimited{}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
