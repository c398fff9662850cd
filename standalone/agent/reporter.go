package agent

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"github.com/silverdeck/silverdeck/peerconn"
	"github.com/silverdeck/silverdeck/standalone/peer"
)

// Timing of reports.
const (
	// ReportEvery is how often an agent reports to each home entry.
	ReportEvery = time.Second
	// reportLimit bounds one report, which an entry may hold for HoldReport.
	reportLimit = 2 * time.Second
	// HoldReport is how long an entry may hold its answer for news.
	HoldReport = 800 * time.Millisecond
	// silenceLimit is how long no home may answer before the seeds are asked.
	silenceLimit = 3 * time.Second
	// progressSteps is in how many steps a fetch counts as news. Entries pass
	// news on to each other, so a step for each chunk would be too much.
	progressSteps = 10
)

// EntryService is the net/rpc name of what entries serve to agents and to each other.
const EntryService = "Entry"

// reporter tells the home entries what this endpoint is and does, and takes
// their directives.
type reporter struct {
	pool  *peerconn.Pool
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
	answeredAt  time.Time
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

// reportAll reports to all homes, and to the seeds as well when no home has
// answered for a while. It does not wait: an entry may hold its answer until
// there is news.
func (r *reporter) reportAll(ctx context.Context) {
	report := r.next()
	addrs := r.homeList()
	if r.silent() {
		for _, seed := range r.seeds {
			if !slices.Contains(addrs, seed) {
				addrs = append(addrs, seed)
			}
		}
	}
	for _, addr := range addrs {
		go r.reportOne(ctx, addr, report)
	}
}

func (r *reporter) silent() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Since(r.answeredAt) > silenceLimit
}

func (r *reporter) reportOne(ctx context.Context, addr string, report peer.Report) {
	rctx, cancel := context.WithTimeout(ctx, reportLimit)
	defer cancel()
	var d peer.Directive
	if err := r.pool.Call(rctx, addr, EntryService+".Report", report, &d); err != nil {
		r.log.Debug("report failed", "entry", addr, "err", err)
		return
	}
	r.take(d)
}

// take keeps a directive unless it is of an older configuration.
func (r *reporter) take(d peer.Directive) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.answeredAt = time.Now()
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
	state := fmt.Sprintf("%s %d %v %s", report.State, report.Revision, report.Loaded, milestones(report.Progress))
	if state != r.lastState {
		r.lastState = state
		r.seq++
	}
	report.Incarnation = r.incarnation
	report.Seq = r.seq
	report.DirectiveHash = r.hash
	return report
}

// milestones returns what of the progress is news.
func milestones(progress []peer.Progress) string {
	var b strings.Builder
	for _, p := range progress {
		step := progressSteps * p.Stats.Have / max(p.Stats.Total, 1)
		fmt.Fprintf(&b, "%s %d %t %s %s;", p.Root.Short(), step, p.Live, p.Failed, p.Stats.Blocked)
	}
	return b.String()
}
