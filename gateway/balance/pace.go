package balance

import (
	"time"

	"github.com/silverdeck/silverdeck/gateway/work"
	"github.com/silverdeck/silverdeck/roster"
)

// paceTTL is how long a pace counts after a sidecar last told it. Sidecars of slow endpoints repeat
// it several times within that time, so that only a sidecar that ended is forgotten.
const paceTTL = 30 * time.Second

// toldPace is the pace that a sidecar told of the endpoint at an address.
type toldPace struct {
	pace  float64
	until time.Time
}

// SetServices sets what is known about the model engines of services, by service.
func (b *Balancer) SetServices(services map[string]work.Service) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.engines = services
	for name, s := range b.services {
		b.setEngines(s, services[name])
	}
}

// setEngines sets what is known about the engines of s. The lock of b must be held.
func (b *Balancer) setEngines(s *shard, engines work.Service) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.engines = engines
	for _, e := range s.endpoints {
		b.applyPace(s, e)
		s.updateSpeed(e)
	}
}

// updateSpeed recomputes the speed of e after its slots, its pace, or the engine's figures changed.
// The lock must be held.
func (s *shard) updateSpeed(e *endpoint) {
	e.speed = work.SpeedOf(&s.engines, e.record.Slots, e.pace)
}

// setPace sets the pace of the endpoint at an address, which its sidecar told. The record of an
// endpoint may follow its sidecar's notice.
func (b *Balancer) setPace(addr string, pace float64, now time.Time) {
	b.mu.Lock()
	if b.paces == nil {
		b.paces = map[string]toldPace{}
	}
	b.paces[addr] = toldPace{pace: pace, until: now.Add(paceTTL)}
	b.mu.Unlock()
	b.applyPaceAt(addr)
}

// ExpirePaces drops what sidecars told that have been silent for long, and what streams showed of
// endpoints that got none for long. An endpoint of which nothing is known counts as working at its
// engine's figures.
func (b *Balancer) ExpirePaces(now time.Time) {
	for _, addr := range b.expireTold(now) {
		b.applyPaceAt(addr)
	}
	b.eachShard(func(s *shard) {
		for e := range s.observedSlow {
			expired := e.observed.Expire(now)
			if expired {
				b.applyPace(s, e)
			}
			if expired || !s.isCurrent(e) {
				delete(s.observedSlow, e)
			}
		}
	})
}

// expireTold drops what sidecars told that have been silent for long, and returns their endpoints'
// addresses.
func (b *Balancer) expireTold(now time.Time) []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []string
	for addr, told := range b.paces {
		if now.After(told.until) {
			delete(b.paces, addr)
			out = append(out, addr)
		}
	}
	return out
}

// applyPaceAt applies the told pace of an address to the endpoints there.
func (b *Balancer) applyPaceAt(addr string) {
	b.eachShard(func(s *shard) {
		for _, e := range s.at(addr) {
			b.applyPace(s, e)
		}
	})
}

// applyPace determines the pace of e: what its sidecar told or else, if the engine's figures are known,
// what its streams show. The locks of b and s must be held.
func (b *Balancer) applyPace(s *shard, e *endpoint) {
	pace, told := b.paces[e.record.Addr]
	switch {
	case s.engines.Engine == nil:
		b.changePace(s, e, 1)
	case told:
		b.changePace(s, e, work.ClampPace(pace.pace))
	default:
		b.changePace(s, e, e.observed.Pace())
	}
}

func (b *Balancer) changePace(s *shard, e *endpoint, pace float64) {
	if pace == e.pace {
		return
	}
	slow := e.pace >= work.SlowPace
	e.pace = pace
	s.updateSpeed(e)
	if slow != (pace >= work.SlowPace) {
		b.cfg.OnPaceChange(PaceEvent{Endpoint: e.record.ID, Pace: pace, Places: e.speed.Places})
	}
}

// observe corrects the estimate of the pace of e.
func (b *Balancer) observe(s *shard, e *endpoint, events int, duration time.Duration, now time.Time) {
	b.mu.RLock()
	defer b.mu.RUnlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	e.observed.Observe(&s.ratio, &e.speed, events, duration, now)
	s.noteObserved(e)
	b.applyPace(s, e)
}

// noteObserved updates observedSlow. The lock must be held.
func (s *shard) noteObserved(e *endpoint) {
	if e.observed.Pace() == 1 || !s.isCurrent(e) {
		delete(s.observedSlow, e)
		return
	}
	if s.observedSlow == nil {
		s.observedSlow = map[*endpoint]bool{}
	}
	s.observedSlow[e] = true
}

// PaceEvent reports that an endpoint has become slow, or no longer is.
type PaceEvent struct {
	// Endpoint is the endpoint's ID.
	Endpoint string
	// Pace is the factor by which it is slower than its engine's figures.
	Pace float64
	// Places is the number of mean requests that it now serves in time concurrently.
	Places float64
}

// Paces returns the paces of the endpoints that are slow.
func (b *Balancer) Paces() map[roster.Incarnation]float64 {
	out := map[roster.Incarnation]float64{}
	b.eachShard(func(s *shard) {
		for _, e := range s.endpoints {
			if e.slow() {
				out[e.record.Incarnation()] = e.pace
			}
		}
	})
	return out
}

// slow reports whether the endpoint is slower than its engine's figures.
func (e *endpoint) slow() bool {
	return e.pace >= work.SlowPace
}
