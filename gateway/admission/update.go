package admission

import (
	"math"
	"time"
)

// Times after which room and news are looked at again.
const (
	// shortageInterval applies during a shortage. It is shorter than the interval of heartbeats.
	shortageInterval = 50 * time.Millisecond
	// calmInterval applies otherwise. It bounds how late a shortage is seen.
	calmInterval = 200 * time.Millisecond
)

// refresh updates the limits and admits waiting requests.
func (s *service) refresh(g *Gate, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.update(g, now)
	s.dispatch(g, now)
}

// update brings conditions, levels and limit up to date. The caller must hold s.mu.
func (s *service) update(g *Gate, now time.Time) {
	interval := calmInterval
	if s.shortage {
		interval = shortageInterval
	}
	if now.Sub(s.refreshedAt) < interval {
		return
	}
	s.refreshedAt = now
	supply, news := g.cfg.Supply(s.name, now), g.cfg.News(s.name, now)
	if !mostLost(news) || s.mostHeardAt.IsZero() {
		s.mostHeardAt = now
	}
	news.LostFor = now.Sub(s.mostHeardAt)
	news.Last = s.lastHeard(&supply, &news, now)
	s.elsewhere, s.open, s.coming = min(supply.Elsewhere, s.running), supply.Open, supply.Coming
	s.conditions = ConditionsFrom(supply, news, s.demand.demand(now))
	s.hear(news, now)
	short := InShortage(&s.conditions, s.shortage, now.Sub(s.changedAt))
	changed := short != s.shortage
	if changed {
		s.shortage, s.changedAt = short, now
	}
	levels := FullLevels()
	if short {
		levels = LevelsFor(s.conditions.Target(), s.conditions.Fleet.Recent)
	}
	changed = changed || levelsDiffer(levels, s.reported)
	s.levels = levels
	s.limit = math.Floor(Limit(&s.conditions) + g.rounding)
	if changed {
		s.reported = levels
		g.cfg.OnChange(s.status(now))
	}
}

// lastHeard returns what was known when most of the known gateways were last heard, if the room was
// short then: they are lost one after the other, and the last one says little of all. Otherwise a gateway that is cut off must notice a shortage by itself. The caller must hold s.mu.
func (s *service) lastHeard(supply *Supply, news *News, now time.Time) Heard {
	if news.usable() && 2*news.Covers >= news.Known {
		s.heard = Heard{}
		if s.shortage {
			s.heard = Heard{Demand: news.Demand, Running: supply.Running - supply.Own, Covers: news.Covers}
		}
		s.heardAt = now
	}
	out := s.heard
	out.Age = now.Sub(s.heardAt)
	return out
}

// reportedChange is the change of a level that is reported to operators.
const reportedChange = 0.25

// levelsDiffer returns whether operators are told of a change of levels.
func levelsDiffer(a, b Levels) bool {
	for r := range a {
		if math.Abs(a[r]-b[r]) >= reportedChange {
			return true
		}
	}
	return false
}

func (s *service) currentDemand(now time.Time) Demand {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.demand.demand(now)
}

func (s *service) statusNow() Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.status(s.refreshedAt)
}

// status returns the state for operators. The caller must hold s.mu.
func (s *service) status(now time.Time) Status {
	s.returns.advance(now)
	told := 0
	for _, n := range s.returns.own {
		told += n
	}
	return Status{Service: s.name, Shortage: s.shortage, Conditions: s.conditions, Levels: s.levels,
		Limit: s.limit, Admitted: s.running, Waiting: len(s.queue.waiting), Told: told}
}
