package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"syscall"
	"time"

	"github.com/silverdeck/silverdeck/standin"
)

// drawPlaces returns what happens in MixPlaces: evacuations, cold runners and regions that change,
// beside gateways that are disturbed and a store that is away.
func (w *world) drawPlaces(r *rand.Rand) fault {
	entry := w.entries[r.IntN(len(w.entries))]
	runner := w.runners[1+r.IntN(len(w.runners)-1)]
	zone := zone(r.IntN(2))
	lasts := leastEvacuation + time.Duration(r.Int64N(int64(spreadEvacuation)))
	regions := allowedRegions[r.IntN(len(allowedRegions))]
	evacuate := fault{"zone " + zone + " evacuated", func() { w.evacuate(zone, lasts) }, nil, true}
	restart := fault{"runner restarted cold", func() { w.restartCold(runner) }, nil, true}
	all := []fault{
		evacuate, evacuate, restart, restart, restart,
		{"zone " + zone + " restarted cold", func() { w.restartZone(zone) }, nil, true},
		{fmt.Sprint("streams allowed in ", regions), func() { w.allowRegions(regions) }, nil, true},
		{"streams allowed anywhere", func() { w.allowRegions(nil) }, nil, true},
		{"entry killed", func() { entry.signal(syscall.SIGKILL) }, nil, false},
		{"entry stopped", entry.askToStop, nil, false},
		{"entry frozen", func() { entry.signal(syscall.SIGSTOP) }, func() { entry.signal(syscall.SIGCONT) }, false},
		w.outageOfPlaces(),
	}
	return all[r.IntN(len(all))]
}

// outageOfPlaces returns an outage of the store that is recorded.
func (w *world) outageOfPlaces() fault {
	var back func()
	return fault{"store down", func() {
		back = w.places.storeAway()
		w.store.SetFault(standin.StoreFault{Status: http.StatusServiceUnavailable})
	}, func() {
		w.store.SetFault(standin.StoreFault{})
		back()
	}, false}
}

// evacuate evacuates a zone for d, unless a zone is being evacuated already.
func (w *world) evacuate(zone string, d time.Duration) {
	end := w.places.evacuated(zone)
	if end == nil {
		return
	}
	w.store.Evacuate(zone, true)
	time.AfterFunc(d, func() {
		end()
		w.store.Evacuate(zone, false)
	})
}

// allowRegions writes a configuration that allows the given regions for streams.
func (w *world) allowRegions(regions []string) {
	w.mu.Lock()
	w.streamRegions = regions
	w.mu.Unlock()
	w.places.allowed(regions)
	w.configure()
}

// restartCold puts a new life into a slot, which is cold.
func (w *world) restartCold(s *slot) {
	s.restart(w.firstVersion(s))
}

// restartZone restarts all runners of a zone but the plain one.
func (w *world) restartZone(zone string) {
	for _, s := range w.runners[1:] {
		if s.cfg.Zone == zone {
			w.restartCold(s)
		}
	}
}

// endPlaces ends evacuations and lets streams go anywhere, so that everything can be served.
func (w *world) endPlaces() {
	if w.cfg.Mix != MixPlaces {
		return
	}
	for _, zone := range []string{"a", "b"} {
		w.store.Evacuate(zone, false)
	}
	w.allowRegions(nil)
}
