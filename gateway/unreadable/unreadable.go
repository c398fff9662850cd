// Package unreadable accounts for records of the platform's store that can't be used.
// Others write there as well, as often as they like: each such record is counted, and a
// line is written now and then.
//
// It owns the time of its last line, under a lock.
package unreadable

import (
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/rcrowley/go-metrics"
)

// lineEvery is the least time between two lines about records of one kind: a writer that
// writes ten times a second would else fill the log.
const lineEvery = 10 * time.Second

// Records accounts for records of one kind. It is safe for concurrent use.
type Records struct {
	kind    string
	counter metrics.Counter
	log     *log.Logger

	mu     sync.Mutex
	lineAt time.Time
}

// New returns Records of a kind, which are counted in r under a name of their own.
func New(kind string, r metrics.Registry, l *log.Logger) *Records {
	return &Records{kind: kind, counter: metrics.GetOrRegisterCounter("gateway.unreadable."+kind, r), log: l}
}

// Note notes that the record name can't be used, and why.
func (r *Records) Note(name string, err error) {
	r.counter.Inc(1)
	if r.due(time.Now()) {
		r.log.Warn("record not used", "kind", r.kind, "name", name, "err", err, "records", r.counter.Count())
	}
}

func (r *Records) due(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.lineAt.IsZero() && now.Sub(r.lineAt) < lineEvery {
		return false
	}
	r.lineAt = now
	return true
}
