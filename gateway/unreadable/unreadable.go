// Package unreadable reports records of the platform's store that cannot be used. Other
// programs also write to the store, at any rate: every such record is counted, but log lines
// are rate-limited.
package unreadable

import (
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/rcrowley/go-metrics"
)

// logInterval is the shortest interval between two log lines about records of one kind. Without
// it, a program that writes ten times per second would fill the log.
const logInterval = 10 * time.Second

// Reporter reports unusable records of one kind. It is safe for concurrent use.
type Reporter struct {
	kind    string
	counter metrics.Counter
	log     *log.Logger

	mu           sync.Mutex
	lastLoggedAt time.Time
}

// New returns a Reporter for records of kind that counts them in the registry under
// "gateway.unreadable." and the kind.
func New(kind string, r metrics.Registry, l *log.Logger) *Reporter {
	return &Reporter{kind: kind, counter: metrics.GetOrRegisterCounter("gateway.unreadable."+kind, r), log: l}
}

// Report counts the record as unusable because of err, and logs it unless the last line is too
// recent.
func (r *Reporter) Report(name string, err error) {
	r.counter.Inc(1)
	if r.shouldLog(time.Now()) {
		r.log.Warn("record not used", "kind", r.kind, "name", name, "err", err, "records", r.counter.Count())
	}
}

func (r *Reporter) shouldLog(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.lastLoggedAt.IsZero() && now.Sub(r.lastLoggedAt) < logInterval {
		return false
	}
	r.lastLoggedAt = now
	return true
}
