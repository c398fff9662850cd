package proxy

import (
	"strings"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/silverdeck/silverdeck/gateway/work"
)

const (
	// maxRatioRoutes is the number of routes that RouteRatios tells apart, which bounds its memory to
	// some 100 KB. Later ones are counted as otherRoutes.
	maxRatioRoutes = 24
	otherRoutes    = "other"
	// ratioSample is the number of values in the uniform sample of each of its histograms.
	ratioSample = 256
)

// Ratios are histograms of the times to the first event and to the end of streams at the endpoint that
// served them, in percent of what was expected.
type Ratios struct {
	FirstEvent, End metrics.Histogram
}

// newRatios registers Ratios in r. prefix precedes their names.
func newRatios(r metrics.Registry, prefix string, sample int) Ratios {
	return Ratios{
		FirstEvent: metrics.NewRegisteredHistogram(prefix+"first_event_expected_percent", r, metrics.NewUniformSample(sample)),
		End:        metrics.NewRegisteredHistogram(prefix+"end_expected_percent", r, metrics.NewUniformSample(sample)),
	}
}

// update records a stream that took seen where expected was expected.
func (h Ratios) update(seen, expected work.Times) {
	h.FirstEvent.Update(percentOf(seen.FirstEvent, expected.FirstEvent))
	h.End.Update(percentOf(seen.End, expected.End))
}

func percentOf(seen, expected time.Duration) int64 {
	return int64(100 * seen / max(expected, 1))
}

// RouteRatios holds Ratios by route. It is safe for concurrent use.
type RouteRatios struct {
	registry metrics.Registry

	mu     sync.Mutex
	byName map[string]Ratios
}

func newRouteRatios(r metrics.Registry) *RouteRatios {
	out := &RouteRatios{registry: r, byName: map[string]Ratios{}}
	out.byName[otherRoutes] = newRatios(r, routePrefix(otherRoutes), ratioSample)
	return out
}

// Of returns the ratios of a route. Routes whose names differ only in characters that a metric's name
// can't have share theirs.
func (r *RouteRatios) Of(route string) Ratios {
	name := metricLabel(route)
	r.mu.Lock()
	defer r.mu.Unlock()
	found, ok := r.byName[name]
	switch {
	case ok:
		return found
	case len(r.byName) > maxRatioRoutes:
		return r.byName[otherRoutes]
	}
	r.byName[name] = newRatios(r.registry, routePrefix(name), ratioSample)
	return r.byName[name]
}

func routePrefix(name string) string {
	return "gateway.route." + name + "."
}

// metricLabel replaces what a metric's name can't have.
func metricLabel(s string) string {
	return strings.Map(func(c rune) rune {
		if c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' {
			return c
		}
		return '_'
	}, s)
}
