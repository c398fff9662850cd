package soak

import (
	"fmt"
	"sync"
	"time"
)

// ledger keeps when requests ended, by gateway, and those without a whole answer. It is
// safe for concurrent use.
type ledger struct {
	mu   sync.Mutex
	ends map[string][]time.Time
	cut  []*Exchange
}

func newLedger() *ledger {
	return &ledger{ends: map[string][]time.Time{}}
}

// ended notes the end of a request that a gateway took.
func (l *ledger) ended(gateway string, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ends[gateway] = append(l.ends[gateway], at)
}

// cutOff notes a request whose connection ended before its answer was whole.
func (l *ledger) cutOff(e *Exchange) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = append(l.cut, e)
}

// judge returns a line for each way in which requests were lost. history returns what was
// done to a gateway.
func (l *ledger) judge(history func(gateway string) *History, b Bounds) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []string
	kept := map[string]int{}
	beside, elsewhere := map[string][]*Exchange{}, map[string]int{}
	for _, e := range l.cut {
		h := history(e.Gateway)
		if LeftWithoutAnswer(e, h, b) {
			kept[e.Gateway]++
		}
		switch loss := Judge(e, h, b); loss {
		case NotLost: // what is allowed is no measure of how often a gateway cuts
		case LostAtChange:
			beside[e.Gateway] = append(beside[e.Gateway], e)
		default:
			elsewhere[e.Gateway]++
			out = append(out, e.lost(loss))
		}
	}
	for gateway, cuts := range beside {
		in, other := l.count(gateway, history(gateway), b)
		if TooOften(len(cuts), in, elsewhere[gateway], other) {
			for _, e := range cuts {
				out = append(out, e.lost(LostAtChange))
			}
		}
	}
	for gateway, n := range kept {
		if n > maxKept {
			out = append(out, fmt.Sprintf("%s closed %d kept connections without an answer after it had passed their requests on", gateway, n))
		}
	}
	return out
}

// count returns how many requests of a gateway ended beside configurations, and how many
// at other times. The caller holds the lock.
func (l *ledger) count(gateway string, h *History, b Bounds) (int, int) {
	beside := 0
	for _, at := range l.ends[gateway] {
		if h.Beside(at, b) {
			beside++
		}
	}
	return beside, len(l.ends[gateway]) - beside
}

// lost returns the line of a lost request.
func (e *Exchange) lost(beside Loss) string {
	return fmt.Sprintf("request %s was lost at %s beside %s: sent %s, cut %d ms later, %d ms before its limit, begun %t, at work %t",
		e.ID, e.Gateway, beside, e.Sent.Format("15:04:05.000"), e.End.Sub(e.Sent).Milliseconds(),
		e.Limit.Sub(e.End).Milliseconds(), e.Begun, e.Working)
}
