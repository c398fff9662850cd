package agent

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"github.com/silverdeck/silverdeck/peer"
)

// Timing of reports.
const (
	// ReportEvery is how often an agent reports to each home entry.
	ReportEvery = time.Second
	reportLimit = 2 * time.Second
)

// EntryService is the net/rpc name of what entries serve to agents and to each other.
const EntryService = "Entry"

// reporter tells the home entries what this endpoint is and does, and takes
// their directives.
type reporter struct {
	pool  *peer.Pool
	seeds []string
	fill  func(*peer.Report)
	apply func(peer.Directive)
	log   *log.Logger

	mu          sync.Mutex
	homes       []string
	incarnation uint64
	seq         uint64
	lastState   string
	hash        uint64
	revision    int64
	wake        chan struct{}
}

// homeList returns the entries to report to.
func (r *reporter) homeList() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.homes) > 0 {
		return append([]string(nil), r.homes...)
	}
	return append([]string(nil), r.seeds...)
}

// run reports until ctx ends.
func (r *reporter) run(ctx context.Context) {
	t := time.NewTicker(ReportEvery)
	defer t.Stop()
	for ctx.Err() == nil {
		r.reportAll(ctx)
		select {
		case <-ctx.Done():
		case <-t.C:
		case <-r.wake:
		}
	}
}

// now makes run report at once.
func (r *reporter) now() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// reportAll reports to all homes, and to the seeds when no home answers.
func (r *reporter) reportAll(ctx context.Context) {
	report := r.next()
	if r.reportTo(ctx, r.homeList(), report) > 0 {
		return
	}
	r.mu.Lock()
	r.homes = nil
	r.mu.Unlock()
	r.reportTo(ctx, r.seeds, report)
}

func (r *reporter) reportTo(ctx context.Context, addrs []string, report peer.Report) int {
	answers := make(chan bool, len(addrs))
	for _, addr := range addrs {
		go func() { answers <- r.reportOne(ctx, addr, report) }()
	}
	n := 0
	for range addrs {
		if <-answers {
			n++
		}
	}
	return n
}

func (r *reporter) reportOne(ctx context.Context, addr string, report peer.Report) bool {
	rctx, cancel := context.WithTimeout(ctx, reportLimit)
	defer cancel()
	var d peer.Directive
	if err := r.pool.Call(rctx, addr, EntryService+".Report", report, &d); err != nil {
		r.log.Debug("report failed", "entry", addr, "err", err)
		return false
	}
	r.take(d)
	return true
}

// take keeps a directive unless it is of an older configuration.
func (r *reporter) take(d peer.Directive) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if d.Incarnation > r.incarnation {
		r.incarnation = d.Incarnation + 1
	}
	if d.Unchanged || d.Revision < r.revision {
		return
	}
	r.revision = d.Revision
	r.hash = d.Hash
	if len(d.Homes) > 0 {
		r.homes = d.Homes
	}
	r.apply(d)
}

// next returns the report to send. Its sequence number grows only when
// something other than the load has changed.
func (r *reporter) next() peer.Report {
	var report peer.Report
	r.fill(&report)
	r.mu.Lock()
	defer r.mu.Unlock()
	state := fmt.Sprintf("%s %d %v %+v", report.State, report.Revision, report.Loaded, report.Progress)
	if state != r.lastState {
		r.lastState = state
		r.seq++
	}
	report.Incarnation = r.incarnation
	report.Seq = r.seq
	report.DirectiveHash = r.hash
	return report
}
