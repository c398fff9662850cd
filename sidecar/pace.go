package sidecar

import (
	"context"
	"math"
	"sync"
	"time"

	"github.com/silverdeck/silverdeck/member"
	"github.com/silverdeck/silverdeck/sidecar/stage"
)

const (
	// paceStep is the relative change of a pace that gateways are told of. A smaller one changes
	// their choices less than a single request does.
	paceStep = 0.1
	// paceRepeatInterval is the interval at which gateways are told again of a pace above 1, for
	// those that lost a notice. It is a third of the time for which they keep it.
	paceRepeatInterval = 10 * time.Second
)

// Pace is the endpoint's pace, with the gateways that were told of it. Pace is safe for concurrent
// use.
type Pace struct {
	mu sync.Mutex
	// current is the pace that gateways are told; 0 until the endpoint reported one other than 1.
	current   float64
	changedAt time.Time
	told      map[string]bool
}

// Observe records the pace that the endpoint reports, or 0 if it reports none. It returns which of
// the gateways at addrs are to be told of the current one, and counts them as told.
func (p *Pace) Observe(reported float64, addrs []string, now time.Time) (untold []string, current float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	known := max(p.current, 1)
	if reported > 0 && math.Abs(reported-known) > paceStep*known {
		p.current, p.changedAt, p.told = reported, now, map[string]bool{}
	}
	if p.current > 1 && now.Sub(p.changedAt) >= paceRepeatInterval {
		p.changedAt, p.told = now, map[string]bool{}
	}
	if p.current == 0 {
		return nil, 0
	}
	for _, addr := range addrs {
		if !p.told[addr] {
			p.told[addr] = true
			untold = append(untold, addr)
		}
	}
	return untold, p.current
}

// Current returns the endpoint's pace, or 1 if it reported none.
func (p *Pace) Current() float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.current == 0 {
		return 1
	}
	return p.current
}

// endpointWithPace is the endpoint on this VM, whose pace is passed on with each report.
type endpointWithPace struct {
	stage.Endpoint
	onPace func(pace float64)
}

// Report implements stage.Endpoint.
func (e endpointWithPace) Report(ctx context.Context) (*stage.Report, error) {
	report, err := e.Endpoint.Report(ctx)
	if err == nil {
		e.onPace(report.Pace)
	}
	return report, err
}

// handlePace tells gateways of the endpoint's pace. During a pause it waits for the next report: a
// notice without a pause would end it.
func (c *Sidecar) handlePace(reported float64) {
	c.noticeMu.Lock()
	defer c.noticeMu.Unlock()
	now := time.Now()
	if c.pause.Active(now) {
		return
	}
	if untold, pace := c.pace.Observe(reported, c.gateways.Recipients(now), now); len(untold) > 0 {
		c.notify(untold, member.Notice{Addr: c.cfg.Endpoint, Pace: pace})
	}
}
