package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"syscall"
	"time"
)

// Mix says what happens during a soak.
type Mix string

// The mixes.
const (
	// MixFaults has faults of all kinds, one after the other.
	MixFaults Mix = "faults"
	// MixLong has planned work in quick succession beside streams of seconds: stops,
	// reloads, configurations and new weights, on busy VMs where processes and engines
	// stand still for a while. None of it excuses a request that is lost.
	MixLong Mix = "long"
	// MixCrash has a request that ends each endpoint that begins it, sent again and again by
	// several callers through all gateways, beside endpoints that end by themselves, killed
	// gateways and planned work.
	MixCrash Mix = "crash"
	// MixAnswers has runners that tell of themselves in their answers, beside gateways that
	// are killed, stopped and frozen and a store that is away.
	MixAnswers Mix = "answers"
	// MixPlaces has zones that are evacuated, runners that start cold and streams that may be
	// processed in some regions only, beside gateways that are disturbed and a store that is
	// away.
	MixPlaces Mix = "places"
	// MixOverload has more streams of two ranks and two client accounts than the runners can
	// serve, and callers and runners that read slowly, large answers and large requests, beside
	// gateways that are killed, stopped, frozen and cut off.
	MixOverload Mix = "overload"
	// MixUnframed has runners whose answers have neither a length nor chunks, half of them cut,
	// beside runners that end and gateways that are killed, stopped and frozen.
	MixUnframed Mix = "unframed"
	// MixParts has requests that differ and share a part of their prompt which ends each endpoint that
	// answers it, beside endpoints that end by themselves or set no mark to the end of their answers,
	// gateways that are killed, one by one and all at once, stopped, frozen and cut off from others.
	MixParts Mix = "parts"
	// MixRestored has a store that returns from copies again and again, beside configurations, runners
	// that leave, new weights, and gateways that are killed, stopped and frozen.
	MixRestored Mix = "restored"
	// MixLate has runners that send answers a second time where the next one is due, and refuse requests,
	// and a store that applies writes late, beside runners that leave or go, and gateways that are
	// killed, stopped and frozen.
	MixLate Mix = "late"
	// MixSpoiled has runners that break off answers, send bytes that are no answer, more than one answer or
	// one without an end, beside runners that refuse, end or leave, and gateways that are killed, stopped
	// and frozen.
	MixSpoiled Mix = "spoiled"
	// MixStarts has all processes killed at the same moment, soon after new weights were named, and runners
	// that take a while to load weights and refuse requests meanwhile, beside runners that end or leave, and
	// gateways that are killed, stopped and frozen.
	MixStarts Mix = "starts"
)

// UnmarshalText implements encoding.TextUnmarshaler.
func (m *Mix) UnmarshalText(text []byte) error {
	*m = Mix(text)
	if all := []Mix{MixFaults, MixLong, MixCrash, MixAnswers, MixPlaces, MixOverload, MixUnframed, MixRestored, MixParts, MixLate, MixSpoiled, MixStarts}; !slices.Contains(all, *m) {
		return fmt.Errorf("soak: no mix %q, only %q", text, all)
	}
	return nil
}

// Pace of standstills in MixLong.
const (
	// leastStill and spreadStill bound how long a gateway stands still: shorter than the
	// time after which others believe it gone, up to longer than a stream's idle limit.
	leastStill = 300 * time.Millisecond
	// spreadStill is drawn from, on top of leastStill.
	spreadStill = 1200 * time.Millisecond
	// spreadStall bounds in the same way how long engines stall.
	spreadStall = 2200 * time.Millisecond
	// stormGap is the time between configurations in quick succession, stormLength how
	// many there are.
	stormGap = 150 * time.Millisecond
	// stormLength is what stormGap says.
	stormLength = 4
)

// drawOf returns what happens next in the mix of the settings.
func (w *world) drawOf(r, chance *rand.Rand) fault {
	switch w.cfg.Mix {
	case MixLong:
		return w.drawLong(r)
	case MixCrash:
		return w.drawCrash(r)
	case MixAnswers:
		return w.drawAnswers(r)
	case MixPlaces:
		return w.drawPlaces(r)
	case MixOverload:
		return w.drawOverload(r)
	case MixUnframed:
		return w.drawUnframed(r)
	case MixRestored:
		return w.drawRestored(r)
	case MixParts:
		return w.drawParts(r)
	case MixLate:
		return w.drawLate(r)
	case MixSpoiled:
		return w.drawSpoiled(r)
	case MixStarts:
		return w.drawStarts(r)
	}
	return w.draw(r, chance)
}

// drawCrash returns what happens beside a request that ends endpoints.
func (w *world) drawCrash(r *rand.Rand) fault {
	entry := w.entries[r.IntN(len(w.entries))]
	sidecar := w.sidecars[r.IntN(len(w.sidecars))]
	runner := w.runners[1+r.IntN(len(w.runners)-1)]
	down := leastDown + time.Duration(r.Int64N(int64(spreadDown)))
	all := []fault{
		{"runner ends by itself", func() { runner.crash(down, 0) }, nil, true},
		{"entry killed", func() { entry.signal(syscall.SIGKILL) }, nil, false},
		{"entry stopped", entry.askToStop, nil, false},
		{"sidecar stopped", sidecar.askToStop, nil, false},
		{"configuration", w.configure, nil, false},
	}
	return all[r.IntN(len(all))]
}

func (w *world) drawLong(r *rand.Rand) fault {
	entry, sidecar := w.entries[r.IntN(len(w.entries))], w.sidecars[r.IntN(len(w.sidecars))]
	still := leastStill + time.Duration(r.Int64N(int64(spreadStill)))
	stall := leastStill + time.Duration(r.Int64N(int64(spreadStall)))
	first := r.IntN(len(w.runners))
	stop := fault{"entry stopped", entry.askToStop, nil, false}
	all := []fault{
		stop, stop, stop,
		{"entry reloads", func() { entry.signal(syscall.SIGHUP) }, nil, false},
		{"entry stands still", func() { entry.standStill(still) }, nil, false},
		{"all entries stand still", func() { w.allStandStill(still) }, nil, false},
		{"sidecar stands still", func() { sidecar.standStill(still) }, nil, false},
		{"a third of the engines stall", func() { w.stallThird(first, stall) }, nil, false},
		{"all engines stall", func() { w.stallAll(stall) }, nil, false},
		{"configuration", w.configure, nil, false},
		{"configurations in quick succession", w.storm, nil, false},
		{"new weights", w.nameVersion, nil, false},
	}
	return all[r.IntN(len(all))]
}

func (w *world) allStandStill(d time.Duration) {
	for _, p := range w.entries {
		p.standStill(d)
	}
}

func (w *world) stallAll(d time.Duration) {
	for _, s := range w.runners {
		s.stall(d)
	}
}

// stallThird makes every third engine from the first one on stall.
func (w *world) stallThird(first int, d time.Duration) {
	for i := first % 3; i < len(w.runners); i += 3 {
		w.runners[i].stall(d)
	}
}

// storm writes several configurations, one shortly after the other.
func (w *world) storm() {
	for i := range stormLength {
		time.AfterFunc(time.Duration(i)*stormGap, w.configure)
	}
}
