package balance

import (
	"time"

	"github.com/silverdeck/silverdeck/gateway/advisory"
)

// Limits that endpoints name.
const (
	// probeRate is the least rate, in requests a second, at which an endpoint with a limit is
	// sent requests: its answers alone tell when the limit has ended.
	probeRate = 0.2
	// keepLimit is for how long a gateway keeps to a limit of which it hears nothing more:
	// several times as long as it takes another gateway to hold the endpoint of one that died.
	keepLimit = 5 * time.Second
)

// LimitInterval returns the time between two requests to an endpoint that names a limit of so
// many a second.
func LimitInterval(perSecond float64) time.Duration {
	return time.Duration(float64(time.Second) / max(perSecond, probeRate))
}

// limit is what is known of the rate of requests that an endpoint takes of all gateways
// together. One gateway holds the endpoint and sends at that rate, one request at a time; the
// others send none. So the sum does not depend on how many gateways there are, nor on how
// late they hear of each other's requests.
type limit struct {
	// named is set while the endpoint names one, rate is that in requests a second.
	named bool
	rate  float64
	// heardAt and confirmedAt are as in advisory.Record.
	heardAt, confirmedAt time.Time
	// opensAt is when the gateway that holds the endpoint may send the next request.
	opensAt time.Time
	// wantedAt is when the holder last had no room for a request of its own; lent is set where
	// the last one went to another gateway.
	wantedAt time.Time
	lent     bool
	// askers are the gateways that asked the holder for a token of late, by name.
	askers map[string]*asker
	// tokenFrom and tokenUntil are from when and until when another gateway may send one
	// request that the holder gave it, askAt is when it may ask for the next.
	tokenFrom, tokenUntil, askAt time.Time
}

// stands returns whether the limit is kept to, by a gateway that holds the endpoint or not.
func (l *limit) stands(held bool, now time.Time) bool {
	return l.named && (held || now.Before(later(l.heardAt, l.confirmedAt).Add(keepLimit)))
}

// take notes that a request is sent.
func (l *limit) take(now time.Time) {
	if l.named {
		l.opensAt, l.tokenUntil = now.Add(LimitInterval(l.rate)), time.Time{}
		l.lent = false
	}
}

// hold makes the gateway begin to hold the endpoint: the one that held it before may have sent
// a request just now.
func (l *limit) hold(now time.Time) {
	l.opensAt = now.Add(LimitInterval(l.rate))
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
	change := LimitSame
	switch told := told.(type) {
	case advisory.PerSecond:
		change = l.set(told, now, now)
	case advisory.Unlimited:
		if l.named && sentAt.After(l.heardAt) {
			change = l.set(told, now, now)
		}
	case advisory.Unknown:
	}
	return change
}

// set makes told what is known, heard at a time.
func (l *limit) set(told advisory.Limit, heardAt, now time.Time) LimitChange {
	rate, named := told.(advisory.PerSecond)
	before := *l
	l.named, l.rate, l.heardAt = named, float64(rate), heardAt
	switch {
	case before.named == named && before.rate == l.rate:
		return LimitSame
	case !named:
		return LimitEnded
	case before.named: // the last request was sent as it was
		l.opensAt = l.opensAt.Add(LimitInterval(l.rate) - LimitInterval(before.rate))
	default:
		l.opensAt = now.Add(LimitInterval(l.rate))
	}
	return LimitNamed
}

// learn takes in what another gateway tells. What was heard later from the endpoint holds.
func (l *limit) learn(r *advisory.Record, now time.Time) LimitChange {
	l.confirmedAt = later(l.confirmedAt, r.ConfirmedAt)
	if !r.HeardAt.After(l.heardAt) {
		return LimitSame
	}
	return l.set(r.Limit, r.HeardAt, now)
}

// told returns the limit as other gateways are told it.
func (l *limit) told() advisory.Limit {
	if l.named {
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
