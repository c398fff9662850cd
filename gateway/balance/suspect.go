package balance

import "time"

// Suspicion of endpoints that entries share.
const (
	// suspicionTime is how long, after an endpoint may be tried again, others are
	// told to leave the trial to this entry.
	suspicionTime = 2 * time.Second
	// suspectShare is the part of a service's endpoints above which an entry
	// puts their failures down to itself.
	suspectShare = 0.34
	// heardFresh is how recent an endpoint's last byte must be to count for more
	// than the suspicion of others.
	heardFresh = 400 * time.Millisecond
)

// Listen makes f tell which endpoints other entries suspect. It is to be called
// before the first Pick.
func (b *Balancer) Listen(f func(id string) bool) {
	b.suspected = f
}

// usable returns whether requests may be sent to e. An endpoint that others
// suspect is left to their trials, unless this entry hears from it or has its
// own trial to make.
func (b *Balancer) usable(e *endpoint, now time.Time) bool {
	if !e.health.usable(now) {
		return false
	}
	if e.health.ejections > 0 || now.Sub(time.Unix(0, e.heardAt.Load())) < heardFresh {
		return true
	}
	return !b.suspected(e.record.ID)
}

// Suspects returns the endpoints that were silent on several requests at once,
// while this entry leaves them alone or is about to try them, by ID.
func (b *Balancer) Suspects(now time.Time) []string {
	b.mu.RLock()
	defer b.mu.RUnlock()
	var out []string
	for _, s := range b.services {
		out = append(out, s.suspects(now)...)
	}
	return out
}

func (s *shard) suspects(now time.Time) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []string
	for id, e := range s.endpoints {
		if e.health.dark && e.health.ejections > 0 && now.Before(e.health.until.Add(suspicionTime)) {
			out = append(out, id)
		}
	}
	if len(out) > 1 && float64(len(out)) > suspectShare*float64(len(s.endpoints)) {
		return nil
	}
	return out
}
