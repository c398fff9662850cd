package soak

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/silverdeck/silverdeck/standin"
)

// Cold runners in MixPlaces.
const (
	// coldTime is how long a runner is cold after a start.
	coldTime = 3 * time.Second
	// coldPerSecond is how many requests per second a cold runner bears.
	coldPerSecond = 14
	// coldWindow is the time in which requests to a cold runner are counted.
	coldWindow = time.Second
)

// Evacuations in MixPlaces.
const (
	// leastEvacuation and spreadEvacuation bound how long an evacuation lasts.
	leastEvacuation = 3 * time.Second
	// spreadEvacuation is drawn from, on top of leastEvacuation.
	spreadEvacuation = 3 * time.Second
	// regionsMemory is how long after a configuration was replaced requests may still follow it:
	// the time in which gateways apply a configuration, and the longest that a request takes.
	regionsMemory = 4 * time.Second
)

// regionOf returns the region of a zone in MixPlaces.
func regionOf(zone string) string {
	return map[string]string{"a": "east", "b": "west"}[zone]
}

// allowedRegions are what configurations in MixPlaces allow.
var allowedRegions = [][]string{nil, {"east"}, {"west"}, {"east", "west"}}

// regionsSpan is a time in which a configuration allowed the given regions for streams.
type regionsSpan struct {
	regions []string
	from    time.Time
}

// evacuation is a time in which a zone was evacuated.
type evacuation struct {
	zone string
	Span
}

// delivery is a request that reached a runner in a zone.
type delivery struct {
	runner, zone, service, id string
	at                        time.Time
}

// places records where requests were allowed to go, and where they went. It is safe for concurrent
// use.
type places struct {
	mu          sync.Mutex
	regions     []regionsSpan
	evacuations []*evacuation
	// outages are the times in which the store was away.
	outages []*Span
	// coldUntil holds until when runners are cold, by ID.
	coldUntil  map[string]time.Time
	deliveries []delivery
}

func newPlaces() *places {
	return &places{coldUntil: map[string]time.Time{}}
}

// delivered records that a request reached a runner.
func (p *places) delivered(service, zone, runner, id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.deliveries = append(p.deliveries, delivery{runner: runner, zone: zone, service: service, id: id, at: time.Now()})
}

// prepare makes the runners of a slot start cold and records what reaches them. The plain runner,
// without a model, is never cold.
func (p *places) prepare(s *slot) {
	service, zone := s.cfg.Service, s.cfg.Zone
	s.cfg.OnArrival = func(runner, id string) { p.delivered(service, zone, runner, id) }
	if s.cfg.Model != "" {
		s.cfg.Cold, s.onStart = coldTime, p.started
	}
}

// started records that a runner was started and is cold.
func (p *places) started(runner string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.coldUntil[runner] = time.Now().Add(coldTime)
}

// allowed records the regions that a new configuration allows.
func (p *places) allowed(regions []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.regions = append(p.regions, regionsSpan{regions: regions, from: time.Now()})
}

// storeAway records that the store is away, and returns a function that records its return.
func (p *places) storeAway() func() {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := &Span{From: time.Now()}
	p.outages = append(p.outages, s)
	return p.endOf(s)
}

// endOf returns a function that records the end of a span.
func (p *places) endOf(s *Span) func() {
	return func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		s.To = time.Now()
	}
}

// evacuated records that a zone is evacuated, and returns a function that records the end. It
// returns nil if a zone is being evacuated already, since the other has to serve.
func (p *places) evacuated(zone string) func() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if n := len(p.evacuations); n > 0 && p.evacuations[n-1].To.IsZero() {
		return nil
	}
	e := &evacuation{zone: zone, Span: Span{From: time.Now()}}
	p.evacuations = append(p.evacuations, e)
	return p.endOf(&e.Span)
}

// judge returns a line for each way in which requests went where they must not.
func (p *places) judge(held heldFunc, b Bounds) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Concat(p.judgeRegions(held, b), p.judgeEvacuations(held, b), p.judgeCold())
}

// judgeRegions returns a line for each stream that reached a region that no configuration which
// its gateway may have applied allows. The caller holds the lock.
func (p *places) judgeRegions(held heldFunc, b Bounds) []string {
	var out []string
	for _, a := range p.deliveries {
		knows := held(a.gateway(), a.at.Add(-b.Contact), a.at) && !p.storeWasAway(a.at.Add(-b.Contact-regionsMemory), a.at)
		if a.service == modelService && knows && !p.mayBeIn(regionOf(a.zone), a.at) {
			out = append(out, fmt.Sprintf("request %s reached %s in region %s at %s, which it must not leave its regions for", a.id, a.runner, regionOf(a.zone), a.at.Format("15:04:05.000")))
		}
	}
	return out
}

// mayBeIn returns whether a configuration that may be in force at a time allows a region.
func (p *places) mayBeIn(region string, at time.Time) bool {
	for i, s := range p.regions {
		replaced := i+1 < len(p.regions) && p.regions[i+1].from.Add(regionsMemory).Before(at)
		if s.from.Before(at) && !replaced && (len(s.regions) == 0 || slices.Contains(s.regions, region)) {
			return true
		}
	}
	return false
}

// judgeEvacuations returns a line for each evacuation in which requests reached the zone. The
// caller holds the lock.
func (p *places) judgeEvacuations(held heldFunc, b Bounds) []string {
	var out []string
	for _, e := range p.evacuations {
		binds := e.From.Add(standin.EvacuationLimit)
		if p.storeWasAway(e.From.Add(-b.Contact), binds) {
			binds = binds.Add(b.Contact)
		}
		late := 0
		for _, a := range p.deliveries {
			if a.zone == e.zone && a.at.After(binds) && a.at.Before(e.To) && held(a.gateway(), a.at.Add(-b.Contact), a.at) && !p.storeWasAway(a.at.Add(-b.Contact), a.at) {
				late++
			}
		}
		if late > 0 {
			out = append(out, fmt.Sprintf("zone %s got %d requests while it was evacuated", e.zone, late))
		}
	}
	return out
}

// storeWasAway returns whether the store was away within a span.
func (p *places) storeWasAway(from, to time.Time) bool {
	return slices.ContainsFunc(p.outages, func(s *Span) bool {
		return s.From.Before(to) && (s.To.IsZero() || s.To.After(from))
	})
}

// judgeCold returns a line for each runner that got too many requests while it was cold. The
// caller holds the lock.
func (p *places) judgeCold() []string {
	times := map[string][]time.Time{}
	for _, a := range p.deliveries {
		if a.at.Before(p.coldUntil[a.runner]) {
			times[a.runner] = append(times[a.runner], a.at)
		}
	}
	var out []string
	for runner, at := range times {
		if n := mostWithin(at, coldWindow); float64(n) > standin.ColdOverage*coldPerSecond+standin.ColdSlack {
			out = append(out, fmt.Sprintf("%s was cold and got %d requests within %s", runner, n, coldWindow))
		}
	}
	return out
}

// gateway returns the gateway that sent a request: its ID begins with that.
func (a *delivery) gateway() string {
	name, _, _ := strings.Cut(a.id, "/")
	return name
}
